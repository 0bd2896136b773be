package baseline

import "math/rand/v2"

// RoundRobin picks the targets in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(targets []Target, _ *rand.Rand) int {
	p.next++
	return p.next % len(targets)
}
