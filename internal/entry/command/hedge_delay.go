package command

import (
	"sync"
	"time"
)

// Parameters of the delay before the second attempt of a hedged read: the weight of a new
// sample in the exponential moving averages, the number of deviations above the mean, the
// delay before any sample exists, and the minimum.
const (
	averageWeight     = 1.0 / 8
	hedgeDeviations   = 4
	initialHedgeDelay = 200 * time.Millisecond
	minHedgeDelay     = 5 * time.Millisecond
)

// latencyEstimator keeps exponential moving averages of the call latency and its
// absolute deviation for each plain service.
type latencyEstimator struct {
	mu        sync.Mutex
	estimates map[serviceKey]*latencyEstimate
}

type serviceKey struct{ team, service string }

type latencyEstimate struct{ mean, deviation float64 }

func newLatencyEstimator() *latencyEstimator {
	return &latencyEstimator{estimates: map[serviceKey]*latencyEstimate{}}
}

func (e *latencyEstimator) recordLatency(team, service string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key, sample := serviceKey{team, service}, float64(d)
	estimate, ok := e.estimates[key]
	if !ok {
		e.estimates[key] = &latencyEstimate{mean: sample, deviation: sample / 2}
		return
	}
	diff := sample - estimate.mean
	estimate.mean += averageWeight * diff
	estimate.deviation += averageWeight * (max(diff, -diff) - estimate.deviation)
}

// hedgeDelay returns how long to wait for the response to a read before a second attempt is
// sent to another target: a latency that is unusually high for the service.
func (e *latencyEstimator) hedgeDelay(team, service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, ok := e.estimates[serviceKey{team, service}]
	if !ok {
		return initialHedgeDelay
	}
	return max(time.Duration(estimate.mean+hedgeDeviations*estimate.deviation), minHedgeDelay)
}
