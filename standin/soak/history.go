package soak

import (
	"sync"
	"time"
)

// allTargets is the fault subject for any target or link to a target. All other
// subjects are instance names.
const allTargets = "targets"

// faultSpan is the period in which a fault was active. until is zero while the
// fault is still active.
type faultSpan struct {
	subject string
	planned bool // whether the fault is a graceful stop rather than a failure
	from    time.Time
	until   time.Time
}

// history records the period and the subject of each fault. Guarantees with a
// time bound apply only to instances without a recent fault.
type history struct {
	mu    sync.Mutex
	spans []*faultSpan
}

// beginFault records the start of a fault. The returned function records its end.
func (h *history) beginFault(subject string, planned bool) func() {
	s := &faultSpan{subject: subject, planned: planned, from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, s)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.until = time.Now()
	}
}

// faultFree reports whether no fault of the named subjects was active between
// from and until. Planned stops count as faults only if includePlanned is set.
func (h *history) faultFree(from, until time.Time, includePlanned bool, names ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.spans {
		if s.planned && !includePlanned || !s.overlaps(from, until) {
			continue
		}
		for _, name := range names {
			if s.subject == name {
				return false
			}
		}
	}
	return true
}

// maxConcurrentlyFaulty returns the largest number of the named subjects that
// were faulty at the same moment between from and until.
func (h *history) maxConcurrentlyFaulty(from, until time.Time, names []string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0
	for _, s := range h.spans {
		if !s.overlaps(from, until) {
			continue
		}
		at, faulty := s.from, map[string]bool{}
		if at.Before(from) {
			at = from
		}
		for _, other := range h.spans {
			if other.overlaps(at, at) {
				faulty[other.subject] = true
			}
		}
		n := 0
		for _, name := range names {
			if faulty[name] {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (s *faultSpan) overlaps(from, until time.Time) bool {
	return !s.from.After(until) && (s.until.IsZero() || !s.until.Before(from))
}
