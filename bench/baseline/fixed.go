package baseline

import "math/rand/v2"

// FixedConcurrency takes the target with the fewest requests, of which each
// gets at most Limit; other requests wait.
type FixedConcurrency struct{ Limit int }

// Pick implements Policy.
func (p FixedConcurrency) Pick(targets []Target, rng *rand.Rand) int {
	if best := (LeastOutstanding{}).Pick(targets, rng); targets[best].Outstanding < p.Limit {
		return best
	}
	return -1
}
