package command

import (
	"sync"
	"time"
)

// Weights of the running mean and deviation of latencies, and the bounds of
// the delay before a hedged read.
const (
	paceWeight      = 1.0 / 8
	paceDeviations  = 4
	firstHedgeDelay = 200 * time.Millisecond
	minHedgeDelay   = 5 * time.Millisecond
)

// pace keeps the usual latency of each plain service.
type pace struct {
	mu       sync.Mutex
	services map[paceKey]*paceState
}

type paceKey struct{ team, service string }

type paceState struct{ mean, deviation float64 }

func newPace() *pace { return &pace{services: map[paceKey]*paceState{}} }

func (p *pace) note(team, service string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, v := paceKey{team, service}, float64(d)
	st, ok := p.services[key]
	if !ok {
		p.services[key] = &paceState{mean: v, deviation: v / 2}
		return
	}
	diff := v - st.mean
	st.mean += paceWeight * diff
	st.deviation += paceWeight * (max(diff, -diff) - st.deviation)
}

// hedgeAfter is the latency beyond which a call is unusually slow.
func (p *pace) hedgeAfter(team, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	st, ok := p.services[paceKey{team, service}]
	if !ok {
		return firstHedgeDelay
	}
	return max(time.Duration(st.mean+paceDeviations*st.deviation), minHedgeDelay)
}
