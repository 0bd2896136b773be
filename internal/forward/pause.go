package forward

import (
	"math/rand/v2"
	"time"

	"github.com/endivetrack/endivetrack/internal/pause"
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

// defaultPause returns the pause after a refusal that names none; 0 if there is none.
func defaultPause(c resultcode.Code) time.Duration {
	switch c {
	case resultcode.NoTarget:
		return pause.Spread(pauseNoTarget, rand.Float64)
	case resultcode.Draining:
		return pauseDraining // callers find other instances, so that no wave comes back
	case resultcode.ControlUnavailable:
		return pause.Spread(pauseNoManifest, rand.Float64)
	case resultcode.Overloaded, resultcode.RetryBudget:
		return pause.Spread(pauseOverloaded, rand.Float64)
	}
	return 0
}
