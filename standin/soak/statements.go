package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

const (
	// tellTime is how long instances may take to tell each other, or one that has restarted,
	// which target leaves.
	tellTime = 1500 * time.Millisecond
	// quietGrace is the time after a refusal with a quiet time in which requests may still
	// arrive; maxInQuiet may arrive from each instance after it.
	quietGrace = 500 * time.Millisecond
	maxInQuiet = 2
)

// statements is what a target says of itself in its answers, beside its announcements.
type statements struct {
	mu         sync.Mutex
	leaving    bool
	quietUntil time.Time
	// firstAt is when an answer first bore a statement, and arrivals are the requests since.
	firstAt  time.Time
	arrivals []time.Time
}

// sayLeaving makes all further answers say that the target leaves.
func (s *statements) sayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// wantQuiet makes the target turn away all requests until a time, and say so.
func (s *statements) wantQuiet(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quietUntil, s.firstAt, s.arrivals = until, time.Time{}, nil
}

// write adds the statements to an answer, and reports whether the request is turned away. A
// run that is continued from its memory there does not count as an arrival.
func (s *statements) write(w http.ResponseWriter, r *http.Request, now time.Time) (refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused = now.Before(s.quietUntil)
	if !s.firstAt.IsZero() && r.Header.Get(platformtest.CopyFromHeader) == "" {
		s.arrivals = append(s.arrivals, now)
	}
	if (refused || s.leaving) && s.firstAt.IsZero() {
		s.firstAt = now
	}
	if s.leaving {
		w.Header().Set(platformtest.LeavingHeader, "1")
	}
	if refused {
		w.Header().Set("Retry-After", strconv.FormatFloat(s.quietUntil.Sub(now).Seconds(), 'f', 3, 64))
	}
	return refused
}

// first returns when an answer first bore a statement; zero if none has.
func (s *statements) first() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstAt
}

// arrivedBetween counts the requests that arrived between two times after the first answer
// with a statement.
func (s *statements) arrivedBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// writeReport answers which incarnation the target is.
func (t *target) writeReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"born":%d}`, t.self.Incarnation.UnixMilli()) // error ignored: the caller may have disconnected
}
