package sleep

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sleep that outlasts its context, and against a wrong result:
// it must be true after a complete sleep and false after one that ended early
// because the context was done.
func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, For(ctx, time.Millisecond))
	assert.Assert(t, For(ctx, 0))
	time.AfterFunc(5*time.Millisecond, cancel)
	assert.Assert(t, !For(ctx, time.Minute))
	assert.Assert(t, !For(ctx, 0))
}
