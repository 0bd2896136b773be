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

// Guards against a result code that is missing from docs/result-codes.md or is
// listed there with another name or status.
func TestEveryCodeIsInTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/result-codes.md")
	assert.NilError(t, err)
	for code, info := range Codes() {
		row := fmt.Sprintf("| %d | %s | %d |", int(code), info.Name, info.Status)
		assert.Assert(t, strings.Contains(string(page), row), "no row %q", row)
	}
}

// Guards against losing the code, the execution or the retry delay of an error
// on its way between two processes.
func TestTwirpRoundTrip(t *testing.T) {
	want := Newf(OutcomeUnknown, "lost").WithExecution(Unknown).WithRetryAfter(250 * time.Millisecond)
	var got *Error
	assert.Assert(t, errors.As(FromTwirp(ToTwirp(want)), &got))
	assert.DeepEqual(t, got, want)
}

// Guards against reporting a call as "not run" when its response was lost: the
// control instance may have carried it out.
func TestTransportErrorIsUnknown(t *testing.T) {
	assert.Equal(t, From(FromTwirp(errors.New("connection reset"))).Execution, Unknown)
}
