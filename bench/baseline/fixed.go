package baseline

import "math/rand/v2"

// FixedConcurrency picks the target with the fewest outstanding requests. Each
// target runs at most Limit requests at a time; further requests wait.
type FixedConcurrency struct{ Limit int }

// Pick implements Policy.
func (p FixedConcurrency) Pick(targets []Target, rng *rand.Rand) int {
	if best := (LeastOutstanding{}).Pick(targets, rng); targets[best].Outstanding < p.Limit {
		return best
	}
	return -1
}
