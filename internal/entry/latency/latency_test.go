package latency

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Checks the published quantiles, and that a value is not published again in the next
// time window.
func TestPublishedQuantiles(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := New(scope)
	for i := range 100 {
		s.RecordTokenGap(time.Duration(i+1) * time.Millisecond)
	}
	s.RecordFirstToken(time.Hour) // this value is above the histogram's range, so its maximum is recorded
	s.Publish()
	gauge := func(name string) float64 { return scope.Snapshot().Gauges()[name+"+"].Value() }
	assertNear := func(name string, want float64) {
		t.Helper()
		got := gauge(name)
		assert.Assert(t, got > want*0.98 && got < want*1.02, "%s: %f", name, got)
	}
	assertNear("entry.token_gap_p50_ms", 50)
	assertNear("entry.token_gap_p95_ms", 95)
	assertNear("entry.first_token_p50_ms", 600_000)
	s.Publish()
	assert.Equal(t, gauge("entry.token_gap_p95_ms"), 0.0)
}
