package sleep

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause that outlasts its context, or that tells a pause cut
// short from a whole one wrongly.
func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, For(ctx, time.Millisecond))
	assert.Assert(t, For(ctx, 0))
	time.AfterFunc(5*time.Millisecond, cancel)
	assert.Assert(t, !For(ctx, time.Minute))
	assert.Assert(t, !For(ctx, 0))
}
