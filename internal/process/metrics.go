package process

import (
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often tally reports to metricStore, and thus the
// maximum age of the values that the metrics endpoint serves.
const reportInterval = time.Second

// metricStore holds the totals of counters and the latest values of gauges that
// tally reported.
type metricStore struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
}

var _ tally.StatsReporter = (*metricStore)(nil)

func newMetricStore() *metricStore {
	return &metricStore{counters: map[string]int64{}, gauges: map[string]float64{}}
}

// ReportCounter adds value, the change since the previous call, to the total.
func (t *metricStore) ReportCounter(name string, _ map[string]string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters[name] += value
}

// ReportGauge replaces the stored value.
func (t *metricStore) ReportGauge(name string, _ map[string]string, value float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gauges[name] = value
}

// ReportTimer does nothing: the packages that need latencies keep their own
// histograms.
func (t *metricStore) ReportTimer(string, map[string]string, time.Duration) {}

// ReportHistogramValueSamples does nothing.
func (t *metricStore) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples does nothing.
func (t *metricStore) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

// Capabilities returns the store itself, which tells tally that it reports without tags.
func (t *metricStore) Capabilities() tally.Capabilities { return t }

// Reporting returns true: values are stored.
func (t *metricStore) Reporting() bool { return true }

// Tagging returns false: tags are ignored.
func (t *metricStore) Tagging() bool { return false }

// Flush does nothing: reported values are stored at once.
func (t *metricStore) Flush() {}

func (t *metricStore) counterValues() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counters)
}

func (t *metricStore) gaugeValues() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.gauges)
}
