// Package latency measures what callers wait for: the first token of a
// generation and the time between tokens.
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

// publishInterval is the window of the published quantiles.
const publishInterval = 10 * time.Second

// Streams keeps the latencies of all streams of this instance. Its gauges show
// the quantiles of the last complete window, in milliseconds.
type Streams struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram

	scope tally.Scope
}

// New returns empty histograms that publish to scope.
func New(scope tally.Scope) *Streams {
	return &Streams{
		first: hdrhistogram.New(1, maxMicros, significantFigures),
		gap:   hdrhistogram.New(1, maxMicros, significantFigures),
		scope: scope,
	}
}

// First records the time from the request to its first token.
func (s *Streams) First(d time.Duration) { s.record(s.first, d) }

// Gap records the time between two tokens.
func (s *Streams) Gap(d time.Duration) { s.record(s.gap, d) }

func (s *Streams) record(h *hdrhistogram.Histogram, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros)) // in range by the bounds
}

// Run publishes each window until ctx ends.
func (s *Streams) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Publish()
		}
	}
}

// Publish sets the gauges from the window and begins the next one.
func (s *Streams) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range map[string]*hdrhistogram.Histogram{"entry.first_token": s.first, "entry.token_gap": s.gap} {
		for suffix, q := range map[string]float64{"_p50_ms": 50, "_p95_ms": 95, "_p99_ms": 99} {
			s.scope.Gauge(name + suffix).Update(float64(h.ValueAtQuantile(q)) / 1000)
		}
		h.Reset()
	}
}
