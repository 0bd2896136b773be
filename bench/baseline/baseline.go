// Package baseline holds the policies that the system's own decisions are
// compared with. The product does not use them.
package baseline

import "math/rand/v2"

// Target is what a baseline knows of a target.
type Target struct {
	Outstanding int // sent and not finished, exact
	Reported    int // running by the target's last report, which lags
}

// Policy chooses a target for the next request, or -1 to let it wait.
type Policy interface {
	Pick(targets []Target, rng *rand.Rand) int
}
