package baseline

import "math/rand/v2"

// LeastOutstanding picks the target with the fewest outstanding requests.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(targets []Target, _ *rand.Rand) int {
	best := 0
	for i, t := range targets {
		if t.Outstanding < targets[best].Outstanding {
			best = i
		}
	}
	return best
}
