package forward

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/latency"
)

const (
	// publishInterval is the window of the published quantiles.
	publishInterval = 5 * time.Second
	// logEvery is the share of uneventful requests that get a log line: one in
	// this many.
	logEvery = 16
)

// Names of the histograms.
const (
	answerLatency = "latency.answer" // from arrival to a whole plain answer
	firstLatency  = "latency.first"  // from arrival to the first event of a stream
	gapLatency    = "latency.gap"    // between events
	moveLatency   = "latency.move"   // from the order to move a run to its last copy
)

// observer keeps the latencies of the last window and picks the uneventful
// requests that are logged.
type observer struct {
	*latency.Windows

	mu         sync.Mutex
	uneventful int
}

func newObserver(scope tally.Scope) *observer {
	return &observer{Windows: latency.NewWindows(scope, publishInterval)}
}

// sampled reports whether an uneventful request is logged.
func (o *observer) sampled() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.uneventful++
	return o.uneventful%logEvery == 1
}
