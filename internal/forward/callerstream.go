package forward

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/stream"
)

var (
	// errOutOfOrder means that an event is not the one that follows the caller's newest one.
	errOutOfOrder = errors.New("the event does not follow the newest one")
	// errCallerGone means that writing to the caller failed.
	errCallerGone = errors.New("the caller has disconnected")
)

// callerStream is the response to one caller's stream. Once its first event is written,
// nothing else writes to the caller.
//
// Invariant: the caller gets the events of one run in order, each once, beginning after the
// event that it named. An event of a further target is written only if its ID proves that
// it follows the newest one.
type callerStream struct {
	out *callerResponse
	// last is the ID of the newest event that the caller has; 0 if it has none with an ID.
	last   int64
	newest []byte // bytes of the newest event with an ID
	// uncounted is set while the caller has events without a number after last. No target
	// can then be told where to go on. It is also read by the mover.
	uncounted atomic.Bool

	// State of the current leg, see startLeg.
	header    http.Header
	comments  []byte // comments before the first event, written with it
	legEvents int
}

// callerPosition returns the ID of the event after which a caller takes its stream up; 0 if
// it names none. What it names must be one plain number, since this system and the target
// could read anything else differently.
func (f *Forwarder) callerPosition(q *request) (int64, error) {
	name := f.config.Headers.LastEventID
	values := q.header.Values(name)
	if len(values) == 0 || len(values) == 1 && values[0] == "" {
		return 0, nil
	}
	last, ok := parseEventID([]byte(values[0]))
	if len(values) > 1 || !ok {
		return 0, resultcode.Newf(resultcode.BadRequest, "%s must be one event number, not %.40q", name, values)
	}
	return last, nil
}

// startLeg begins a leg, whose target answered with the header.
func (s *callerStream) startLeg(header http.Header) {
	s.header, s.comments, s.legEvents = header, nil, 0
}

// admit decides whether an event of the current leg is written. It returns false for a
// comment that is kept until the leg's first event, and for a repeat of the newest event.
func (s *callerStream) admit(e *streamEvent) (bool, error) {
	first := s.legEvents == 0
	switch {
	case e.isComment() && first:
		return false, s.keepComment(e)
	case e.isComment():
		return true, nil
	case e.numbered && e.number == s.last+1:
		return true, nil
	case e.numbered && !first && e.number == s.last && bytes.Equal(e.raw, s.newest):
		return false, nil
	case e.hasID && (e.numbered || s.last > 0) && !(e.number == 0 && s.isNew()):
		return false, fmt.Errorf("%w: %.40q after %d", errOutOfOrder, e.id, s.last)
	case first && !s.isNew():
		return false, fmt.Errorf("%w: an event without a number after %d", errOutOfOrder, s.last)
	}
	return true, nil
}

// isNew reports whether the caller has no event, neither from here nor from elsewhere.
func (s *callerStream) isNew() bool { return !s.begun() && s.last == 0 }

// begun reports whether an event was written, after the response's header.
func (s *callerStream) begun() bool { return s.out.begun }

func (s *callerStream) keepComment(e *streamEvent) error {
	if len(s.comments)+len(e.raw) > maxEventBytes {
		return stream.ErrTooLong
	}
	s.comments = append(s.comments, e.raw...)
	return nil
}

// write writes an admitted event to the caller, after the response's header if it is the
// first one. Until then a failure can still be reported with an error status.
func (s *callerStream) write(e *streamEvent) error {
	if !s.begun() {
		copyHeaders(s.out.Header(), s.header)
		s.out.WriteHeader(http.StatusOK)
	}
	if len(s.comments) > 0 {
		if _, err := s.out.Write(s.comments); err != nil {
			return errCallerGone
		}
		s.comments = nil
	}
	if _, err := s.out.Write(e.raw); err != nil {
		return errCallerGone
	}
	if e.isComment() {
		return nil
	}
	s.legEvents++
	if e.numbered && e.number > 0 {
		s.last, s.newest = e.number, append(s.newest[:0], e.raw...)
	}
	s.uncounted.Store(!e.numbered || e.number == 0)
	return nil
}

// flush sends what was written, if anything was.
func (s *callerStream) flush() error {
	if s.begun() && http.NewResponseController(s.out).Flush() != nil {
		return errCallerGone
	}
	return nil
}

// canContinue reports whether another target can be told where to go on.
func (s *callerStream) canContinue() bool { return !s.uncounted.Load() }
