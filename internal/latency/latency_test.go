package latency

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against values of an earlier window in published quantiles.
func TestWindowsAreSeparate(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	w := NewWindows(scope, time.Second)
	for ms := range 100 {
		w.Record("x", time.Duration(ms+1)*time.Millisecond)
	}
	w.Publish()
	p50 := scope.Snapshot().Gauges()["x_p50_ms+"].Value()
	assert.Assert(t, p50 > 48 && p50 < 52, "%v", p50)
	w.Record("x", 7*time.Millisecond)
	w.Publish()
	p99 := scope.Snapshot().Gauges()["x_p99_ms+"].Value()
	assert.Assert(t, p99 > 6.8 && p99 < 7.2, "%v", p99)
}
