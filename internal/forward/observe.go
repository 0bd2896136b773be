package forward

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/latency"
)

const (
	// publishInterval separates publications of the latency quantiles; each covers one interval.
	publishInterval = 5 * time.Second
	// logSampleInterval sets the sampling rate of the log: one in logSampleInterval
	// uneventful requests is logged.
	logSampleInterval = 16
)

// Names of the latency histograms.
const (
	responseLatency   = "latency.answer" // time from a request's arrival to its complete plain response
	firstEventLatency = "latency.first"  // time from a request's arrival to the first event of its stream
	gapLatency        = "latency.gap"    // time between two events of a stream
	moveLatency       = "latency.move"   // time from the start of a run's first copy to the end of its final copy
)

// observer records latencies and selects the uneventful requests that are logged.
// A request is uneventful if its first attempt succeeded.
type observer struct {
	*latency.Windows

	mu         sync.Mutex
	uneventful int
}

func newObserver(scope tally.Scope) *observer {
	return &observer{Windows: latency.NewWindows(scope, publishInterval)}
}

// sampleForLog counts an uneventful request and reports whether it is to be
// logged.
func (o *observer) sampleForLog() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.uneventful++
	return o.uneventful%logSampleInterval == 1
}
