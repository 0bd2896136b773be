// Package latency keeps named latency histograms and publishes the quantiles
// of each complete window as gauges.
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

// quantiles that are published, in percent, by the suffix of their gauge.
var quantiles = map[string]float64{"_p50_ms": 50, "_p95_ms": 95, "_p99_ms": 99}

// Windows are the histograms of the present window, by name.
type Windows struct {
	scope  tally.Scope
	length time.Duration

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewWindows returns empty histograms that publish to scope after each window.
func NewWindows(scope tally.Scope, length time.Duration) *Windows {
	return &Windows{scope: scope, length: length, histograms: map[string]*hdrhistogram.Histogram{}}
}

// Record notes one value.
func (w *Windows) Record(name string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMicros, significantFigures)
		w.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // in range by the bounds
}

// Run publishes each window until ctx ends.
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

// Publish sets the gauges from the window and begins the next one.
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
