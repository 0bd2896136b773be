package soak

import (
	"sync"
	"time"
)

// everyTarget stands for all targets and the links to them, beside the names of
// instances.
const everyTarget = "targets"

// span is a time in which a fault lasted; until is zero while it lasts.
type span struct {
	what    string
	planned bool // a planned stop
	from    time.Time
	until   time.Time
}

// history records which fault hit what and when. A promise with a time bound
// holds for instances that no fault has touched lately.
type history struct {
	mu    sync.Mutex
	spans []*span
}

// begin notes the start of a fault; the returned function notes its end.
func (h *history) begin(what string, planned bool) func() {
	s := &span{what: what, planned: planned, from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, s)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.until = time.Now()
	}
}

// calm reports whether no fault touched any of the named things in a time.
// Planned stops count as faults only if plannedToo is set.
func (h *history) calm(from, until time.Time, plannedToo bool, names ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.spans {
		if s.planned && !plannedToo || !s.overlaps(from, until) {
			continue
		}
		for _, name := range names {
			if s.what == name {
				return false
			}
		}
	}
	return true
}

// mostAtOnce is the largest number of the named things that faults touched at
// the same moment.
func (h *history) mostAtOnce(from, until time.Time, names []string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	most := 0
	for _, s := range h.spans {
		if !s.overlaps(from, until) {
			continue
		}
		at, touched := s.from, map[string]bool{}
		if at.Before(from) {
			at = from
		}
		for _, other := range h.spans {
			if other.overlaps(at, at) {
				touched[other.what] = true
			}
		}
		n := 0
		for _, name := range names {
			if touched[name] {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (s *span) overlaps(from, until time.Time) bool {
	return !s.from.After(until) && (s.until.IsZero() || !s.until.Before(from))
}
