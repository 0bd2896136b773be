package pause

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that all return at the same moment, and against pauses as long as a
// faulty target likes.
func TestPausesAreSpreadAndBounded(t *testing.T) {
	for n, random := range []float64{0, 0.999} {
		got := Spread(2*time.Second, func() float64 { return random })
		assert.Assert(t, got >= 2*time.Second && got <= 2500*time.Millisecond, "%d: %s", n, got)
	}
	assert.Assert(t, Spread(time.Hour, func() float64 { return 1 }) < 2*Max)
}
