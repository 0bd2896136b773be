// Package watchdog notices that a process makes no progress although it runs: a lock
// that every request needs is held for good, or a loop does not end. Such a process
// accepts connections and answers its readiness check, but serves nothing.
//
// Invariant: a check that has returned is healthy again. Crash case: none, since nothing is
// kept; a process that starts is healthy.
package watchdog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// interval is the time between two rounds of checks.
	interval = 500 * time.Millisecond
	// maxMissedRounds is how many rounds in a row may find a check still running. Rounds
	// are counted, not time: a process that was frozen has run none of them meanwhile.
	maxMissedRounds = 4
)

// Check is one step that every request takes.
type Check struct {
	Name string
	// Run takes the step. It returns at once while the process makes progress.
	Run func()
}

// state is what is known of one check.
type state struct {
	Check
	running bool
	missed  int // rounds in a row that found it running
	stuck   bool
}

// Watchdog runs checks in rounds.
type Watchdog struct {
	log      zerolog.Logger
	metrics  tally.Scope
	onChange func(healthy bool)

	mu     sync.Mutex
	states []*state
}

// New returns a Watchdog. It calls onChange, one call at a time, whenever the process gets
// stuck or makes progress again.
func New(log zerolog.Logger, metrics tally.Scope, onChange func(healthy bool), checks ...Check) *Watchdog {
	w := &Watchdog{log: log, metrics: metrics, onChange: onChange}
	for _, c := range checks {
		w.states = append(w.states, &state{Check: c})
	}
	return w
}

// Run runs the checks until ctx ends.
func (w *Watchdog) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.round()
		}
	}
}

// Healthy reports whether no check is stuck.
func (w *Watchdog) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healthy()
}

func (w *Watchdog) healthy() bool {
	return !slices.ContainsFunc(w.states, func(s *state) bool { return s.stuck })
}

// round starts the checks that do not run yet and counts those that still do.
func (w *Watchdog) round() {
	w.mu.Lock()
	before := w.healthy()
	for _, s := range w.states {
		w.advance(s)
	}
	after := w.healthy()
	w.mu.Unlock()
	if before == after {
		return
	}
	w.onChange(after)
}

// advance starts a check, or counts that it still runs. The caller holds w.mu.
func (w *Watchdog) advance(s *state) {
	if !s.running {
		if s.stuck {
			w.log.Warn().Str("check", s.Name).Int("rounds", s.missed).Msg("no longer stuck")
		}
		s.running, s.missed, s.stuck = true, 0, false
		go func() {
			s.Run()
			w.mu.Lock()
			defer w.mu.Unlock()
			s.running = false
		}()
		return
	}
	s.missed++
	if s.missed < maxMissedRounds || s.stuck {
		return
	}
	s.stuck = true
	w.metrics.Counter("watchdog.stuck").Inc(1)
	w.log.Error().Str("check", s.Name).Dur("for", time.Duration(s.missed)*interval).Msg("stuck: the instance is not ready")
}
