package forward

import (
	"math/rand/v2"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Values of the Retry-After header for refused requests, by the reason for the
// refusal.
const (
	pauseNoTarget   = 300 * time.Millisecond
	pauseDraining   = 100 * time.Millisecond // short, because other instances still accept requests
	pauseNoManifest = 500 * time.Millisecond
	pauseOverloaded = 700 * time.Millisecond
	// pauseLastTarget is about the time in which a crashed target comes back.
	pauseLastTarget = 2 * time.Second
)

const (
	// minPause and maxPause bound the pause after a refusal because of what targets say:
	// until maxPause has passed, other targets may have come.
	minPause = 50 * time.Millisecond
	maxPause = 5 * time.Second
	// pauseSpread is the part of a pause by which those of several callers differ, and
	// minPauseSpread the least time.
	pauseSpread    = 0.25
	minPauseSpread = 100 * time.Millisecond
)

// defaultPause returns the pause after a refusal that names none; 0 if there is none.
func defaultPause(c resultcode.Code) time.Duration {
	switch c {
	case resultcode.NoTarget:
		return spreadPause(pauseNoTarget, rand.Float64)
	case resultcode.Draining:
		return pauseDraining // callers find other instances, so that no wave comes back
	case resultcode.ControlUnavailable:
		return spreadPause(pauseNoManifest, rand.Float64)
	case resultcode.Overloaded, resultcode.RetryBudget:
		return spreadPause(pauseOverloaded, rand.Float64)
	}
	return 0
}

// spreadPause returns the pause for a caller whose request can be accepted after wait. Not
// all callers return at the same moment. random returns values in [0, 1).
func spreadPause(wait time.Duration, random func() float64) time.Duration {
	pause := min(max(minPause, wait), maxPause)
	spread := max(float64(minPauseSpread), pauseSpread*float64(pause))
	return pause + time.Duration(random()*spread)
}
