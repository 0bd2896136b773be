// Package latency records latencies in named histograms and publishes their
// quantiles as gauges at the end of each time window.
package latency

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

// Range and precision of the histograms, in microseconds.
const (
	maxMicros          = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 2
)

// quantiles maps the suffix of each published gauge to its quantile in percent.
var quantiles = map[string]float64{"_p50_ms": 50, "_p95_ms": 95, "_p99_ms": 99}

// Windows holds the histograms of the current window by name. It is safe for
// concurrent use.
type Windows struct {
	scope  tally.Scope
	length time.Duration

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewWindows returns empty histograms for windows of the given length. Run or
// Publish publishes them to scope.
func NewWindows(scope tally.Scope, length time.Duration) *Windows {
	return &Windows{scope: scope, length: length, histograms: map[string]*hdrhistogram.Histogram{}}
}

// Record adds a latency to the named histogram. Values outside 1 µs to 10
// minutes are counted at the nearer bound.
func (w *Windows) Record(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMicros, significantFigures)
		w.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // cannot fail because the value is in range
}

// Run publishes at the end of each window until ctx ends.
func (w *Windows) Run(ctx context.Context) {
	ticker := time.NewTicker(w.length)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Publish()
		}
	}
}

// Publish sets the gauges, in milliseconds, from the current window and starts
// an empty one.
func (w *Windows) Publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, h := range w.histograms {
		for suffix, q := range quantiles {
			w.scope.Gauge(name + suffix).Update(float64(h.ValueAtQuantile(q)) / 1000)
		}
		h.Reset()
	}
}
