package forward

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/latency"
)

const (
	// publishInterval is the window of the published latency quantiles.
	publishInterval = 5 * time.Second
	// logSampleInterval is the sampling rate of the log: one in this many
	// uneventful requests is logged.
	logSampleInterval = 16
)

// Names of the latency histograms.
const (
	answerLatency = "latency.answer" // from arrival to a complete plain answer
	firstLatency  = "latency.first"  // from arrival to the first event of a stream
	gapLatency    = "latency.gap"    // between two events of a stream
	moveLatency   = "latency.move"   // from the start of a run's first copy to the end of its final copy
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

// sampled counts an uneventful request and reports whether it is to be logged.
func (o *observer) sampled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.uneventful++
	return o.uneventful%logSampleInterval == 1
}
