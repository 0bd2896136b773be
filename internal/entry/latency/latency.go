// Package latency measures the latencies that callers of streams see: the time to
// the first token and the time between tokens.
package latency

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/latency"
)

// publishInterval is the length of the time window of published quantiles.
const publishInterval = 10 * time.Second

// Names of the histograms.
const (
	firstTokenMetric = "entry.first_token"
	tokenGapMetric   = "entry.token_gap"
)

// Streams records the latencies of all streams of this instance. It publishes the
// quantiles of the last complete time window, in milliseconds, as gauges.
type Streams struct {
	*latency.Windows
}

// New returns a recorder that publishes its gauges to scope.
func New(scope tally.Scope) *Streams {
	return &Streams{latency.NewWindows(scope, publishInterval)}
}

// RecordFirstToken records the time from a request to its first token.
func (s *Streams) RecordFirstToken(d time.Duration) { s.Record(firstTokenMetric, d) }

// RecordTokenGap records the time between two consecutive tokens of a stream.
func (s *Streams) RecordTokenGap(d time.Duration) { s.Record(tokenGapMetric, d) }
