package latency

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards the published quantiles, and against a window that includes the one
// before.
func TestPublishedQuantiles(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := New(scope)
	for i := range 100 {
		s.Gap(time.Duration(i+1) * time.Millisecond)
	}
	s.First(time.Hour) // beyond the range
	s.Publish()
	gauge := func(name string) float64 { return scope.Snapshot().Gauges()[name+"+"].Value() }
	near := func(name string, want float64) {
		t.Helper()
		got := gauge(name)
		assert.Assert(t, got > want*0.98 && got < want*1.02, "%s: %f", name, got)
	}
	near("entry.token_gap_p50_ms", 50)
	near("entry.token_gap_p95_ms", 95)
	near("entry.first_token_p50_ms", 600_000)
	s.Publish()
	assert.Equal(t, gauge("entry.token_gap_p95_ms"), 0.0)
}
