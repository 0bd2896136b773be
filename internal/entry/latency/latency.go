// Package latency measures what callers wait for: the first token of a
// generation and the time between tokens.
package latency

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/latency"
)

// publishInterval is the window of the published quantiles.
const publishInterval = 10 * time.Second

// Names of the histograms.
const (
	firstToken = "entry.first_token"
	tokenGap   = "entry.token_gap"
)

// Streams keeps the latencies of all streams of this instance. Its gauges show
// the quantiles of the last complete window, in milliseconds.
type Streams struct {
	*latency.Windows
}

// New returns empty histograms that publish to scope.
func New(scope tally.Scope) *Streams {
	return &Streams{latency.NewWindows(scope, publishInterval)}
}

// First records the time from the request to its first token.
func (s *Streams) First(d time.Duration) { s.Record(firstToken, d) }

// Gap records the time between two tokens.
func (s *Streams) Gap(d time.Duration) { s.Record(tokenGap, d) }
