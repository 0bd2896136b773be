package scheduler

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/routing"
)

// maxOvertakenTime is how long other requests may overtake one that fits in no
// target's free memory. After that a target is reserved for it; otherwise
// requests with long prompts would starve.
const maxOvertakenTime = time.Second

// reservation keeps new work off a target until a request that others overtook
// for too long fits. There is at most one per model.
type reservation struct {
	ticket Ticket
	target string
}

// reservedForOther reports whether the target is reserved for another request.
// Requests of short classes may use a reserved target, because their outputs have
// only a few tokens and so end soon.
func (s *Shard) reservedForOther(w *waitingRequest, target string) bool {
	if w.short {
		return false
	}
	for _, r := range s.reservations {
		if r.target == target && r.ticket != w.ticket && s.tickets[r.ticket] != nil {
			return true
		}
	}
	return false
}

// reserveTarget reserves a target for the request: the one in overMemory with
// the smallest predicted memory use relative to its memory. It does nothing if the model's reservation
// belongs to another request that still waits, or if the request's reserved
// target is still in the list.
func (s *Shard) reserveTarget(w *waitingRequest, overMemory []*routing.Candidate) {
	model := w.request.Class.GetModel()
	r, exists := s.reservations[model]
	if exists && r.ticket != w.ticket && s.tickets[r.ticket] != nil {
		return
	}
	best := overMemory[0]
	for _, c := range overMemory {
		if w.reserved && c.Name == r.target {
			return
		}
		if c.PeakTokens/c.MemoryTokens < best.PeakTokens/best.MemoryTokens || c.PeakTokens/c.MemoryTokens == best.PeakTokens/best.MemoryTokens && c.Name < best.Name {
			best = c
		}
	}
	w.reserved = true
	s.reservations[model] = reservation{w.ticket, best.Name}
}
