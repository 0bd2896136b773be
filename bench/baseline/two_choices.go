package baseline

import "math/rand/v2"

// TwoChoices draws two targets at random and picks the one that reported less
// load.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(targets []Target, rng *rand.Rand) int {
	a, b := rng.IntN(len(targets)), rng.IntN(len(targets))
	if targets[b].Reported < targets[a].Reported {
		return b
	}
	return a
}
