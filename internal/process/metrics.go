package process

import (
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often tally hands counters over; the metrics page lags
// by at most this long.
const reportInterval = time.Second

// totals keeps the running totals of counters and the last value of gauges.
type totals struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
}

var _ tally.StatsReporter = (*totals)(nil)

func newTotals() *totals {
	return &totals{counters: map[string]int64{}, gauges: map[string]float64{}}
}

// ReportCounter adds the change since the last report.
func (t *totals) ReportCounter(name string, _ map[string]string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters[name] += value
}

// ReportGauge keeps the newest value.
func (t *totals) ReportGauge(name string, _ map[string]string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gauges[name] = value
}

// ReportTimer does nothing: latencies are kept in histograms where needed.
func (t *totals) ReportTimer(string, map[string]string, time.Duration) {}

// ReportHistogramValueSamples does nothing.
func (t *totals) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples does nothing.
func (t *totals) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

// Capabilities says that values are kept but not tagged.
func (t *totals) Capabilities() tally.Capabilities { return t }

// Reporting is always on.
func (t *totals) Reporting() bool { return true }

// Tagging is not supported.
func (t *totals) Tagging() bool { return false }

// Flush does nothing: values are kept as they come.
func (t *totals) Flush() {}

func (t *totals) counterValues() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counters)
}

func (t *totals) gaugeValues() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.gauges)
}
