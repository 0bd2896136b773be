// Package pause chooses the pauses that refused callers are asked to make.
package pause

import "time"

const (
	// Min and Max bound a pause that follows from what targets say: until Max has passed,
	// other targets may have come.
	Min = 50 * time.Millisecond
	Max = 5 * time.Second
	// spread is the part of a pause by which those of several callers differ, and minSpread
	// the least time.
	spread    = 0.25
	minSpread = 100 * time.Millisecond
)

// Spread returns the pause for a caller whose request can be accepted after wait. Not all
// callers return at the same moment. random returns values in [0, 1).
func Spread(wait time.Duration, random func() float64) time.Duration {
	shortest := min(max(Min, wait), Max)
	width := max(float64(minSpread), spread*float64(shortest))
	return shortest + time.Duration(random()*width)
}
