package resultcode

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a code that operators cannot look up.
func TestEveryCodeIsInTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/result-codes.md")
	assert.NilError(t, err)
	for code, info := range Codes() {
		row := fmt.Sprintf("| %d | %s | %d |", int(code), info.Name, info.Status)
		assert.Assert(t, strings.Contains(string(page), row), "no row %q", row)
	}
}

// Guards against a code, execution or advice lost between processes.
func TestTwirpRoundTrip(t *testing.T) {
	want := Newf(OutcomeUnknown, "lost").WithExecution(Unknown).WithRetryAfter(250 * time.Millisecond)
	var got *Error
	assert.Assert(t, errors.As(FromTwirp(ToTwirp(want)), &got))
	assert.DeepEqual(t, got, want)
}

// Guards against calling a lost control answer "not run".
func TestTransportErrorIsUnknown(t *testing.T) {
	assert.Equal(t, From(FromTwirp(errors.New("connection reset"))).Execution, Unknown)
}
