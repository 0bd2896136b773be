package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

const (
	// newStreamGrace is how long after the start of a planned stop new streams are
	// accepted. Callers that cache the instance's address longest still connect
	// until about then. A later stream would end incomplete when the process exits.
	newStreamGrace = 2800 * time.Millisecond
	// durationFactor times the duration of the slowest recent request is what the next one
	// is expected to take at most.
	durationFactor = 1.5
	// lastResponses is the time before the end of a planned stop in which requests that no
	// target has answered get a response that says so.
	lastResponses = 150 * time.Millisecond
)

// errStopping means that an attempt was given up because the process is about to end.
var errStopping = fmt.Errorf("the instance stops: %w", context.Canceled)

// plannedStop is the state of a planned stop of this process.
type plannedStop struct {
	mu        sync.Mutex
	startedAt time.Time // zero before the stop
	endsAt    time.Time // when the process closes its connections
	ending    bool      // lastResponses has begun
}

func (s *plannedStop) begin(startedAt, endsAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.endsAt = startedAt, endsAt
}

func (s *plannedStop) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
}

func (s *plannedStop) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// times returns when the stop began and when it ends; false if there is none.
func (s *plannedStop) times() (startedAt, endsAt time.Time, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt, s.endsAt, !s.startedAt.IsZero()
}

// Stop begins a planned stop, at whose end the process closes its connections. From then
// on every response asks the caller to close its connection, and requests that may not
// complete are refused before any part of them has run. Those that no target has answered
// shortly before the end get a response that says so.
func (f *Forwarder) Stop(endsAt time.Time) {
	f.stop.begin(time.Now(), endsAt)
	time.AfterFunc(time.Until(endsAt)-lastResponses, func() {
		f.stop.end()
		f.pending.cancelAll(errStopping)
	})
}

func (f *Forwarder) isStopping() bool {
	_, _, stopping := f.stop.times()
	return stopping
}

// acceptsStreams reports whether a new stream can still complete before the
// process exits.
func (f *Forwarder) acceptsStreams() bool {
	startedAt, _, stopping := f.stop.times()
	return !stopping || time.Since(startedAt) < newStreamGrace
}

// checkStop returns a refusal if the process stops before the request is sure to be
// answered. At another instance the caller gets its answer; here the request would be cut,
// and if it may not be repeated, for good.
func (f *Forwarder) checkStop(q *request, now time.Time) error {
	_, endsAt, stopping := f.stop.times()
	if !stopping {
		return nil
	}
	slowest, known := f.durations.slowest(q.route.Name, now)
	if completes(endsAt.Sub(now)-lastResponses, q.deadline.Sub(now), slowest, known) {
		return nil
	}
	f.config.Metrics.Counter("forward.stop_refused").Inc(1)
	return resultcode.Newf(resultcode.Draining, "the instance stops in %s, and the request may take longer (slowest: %s, known: %t)", endsAt.Sub(now), slowest, known)
}

// completes reports whether a request ends before a planned stop does: its caller waits no
// longer, or the slowest recent one of its route left enough time.
func completes(left, callerWaits, slowest time.Duration, known bool) bool {
	if callerWaits <= left {
		return true
	}
	return known && time.Duration(durationFactor*float64(slowest)) <= left
}
