// Package baseline implements the load-balancing policies that the benchmarks
// compare the system's own decisions with. The product does not use them.
package baseline

import "math/rand/v2"

// Target is a target's load as a baseline sees it.
type Target struct {
	Outstanding int // exact number of requests sent to the target and not finished
	Reported    int // number of requests at the target according to its last report, which lags behind
}

// Policy chooses targets. Pick returns the index of the target for the next
// request, or -1 if the request must wait. targets must not be empty.
type Policy interface {
	Pick(targets []Target, rng *rand.Rand) int
}
