package forward

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

// Range and precision of the histograms, in microseconds.
const (
	maxMicros          = int64(2 * time.Minute / time.Microsecond)
	significantFigures = 2
	// publishInterval is the window of the published quantiles.
	publishInterval = 5 * time.Second
	// logEvery is the share of uneventful requests that get a log line: one in
	// this many.
	logEvery = 16
)

// quantiles that are published, in percent, by the suffix of their gauge.
var quantiles = map[string]float64{"p50_ms": 50, "p95_ms": 95, "p99_ms": 99}

// observer keeps the latencies of the last window.
type observer struct {
	scope tally.Scope

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	uneventful int
}

func newObserver(scope tally.Scope) *observer {
	return &observer{scope: scope, histograms: map[string]*hdrhistogram.Histogram{}}
}

// Names of the histograms.
const (
	answerLatency = "latency.answer" // from arrival to a whole plain answer
	firstLatency  = "latency.first"  // from arrival to the first event of a stream
	gapLatency    = "latency.gap"    // between events
	moveLatency   = "latency.move"   // from the order to move a run to its last copy
)

func (o *observer) record(name string, d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMicros, significantFigures)
		o.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // in range by the bounds
}

// sampled reports whether an uneventful request is logged.
func (o *observer) sampled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.uneventful++
	return o.uneventful%logEvery == 1
}

// run publishes each window until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.publish()
		}
	}
}

func (o *observer) publish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, h := range o.histograms {
		for suffix, q := range quantiles {
			o.scope.Gauge(name + "." + suffix).Update(float64(h.ValueAtQuantile(q)) / 1000)
		}
		o.scope.Counter(name + ".count").Inc(h.TotalCount())
		h.Reset()
	}
}
