package scheduler

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/routing"
)

// overtakenPatience is how long other requests may overtake one that no
// target's memory can take. Then a target is kept free for it, or requests
// with long prompts would starve.
const overtakenPatience = time.Second

// reservation keeps a target free for a request that others overtook for too
// long. There is at most one per model.
type reservation struct {
	ticket Ticket
	target string
}

// keptFrom reports whether the target is kept free for another request. Short
// classes may use it: they are gone soon.
func (s *Shard) keptFrom(w *waiting, target string) bool {
	if w.short {
		return false
	}
	for _, r := range s.reserved {
		if r.target == target && r.ticket != w.ticket && s.tickets[r.ticket] != nil {
			return true
		}
	}
	return false
}

// reserve keeps the target with the most room free for the request.
func (s *Shard) reserve(w *waiting, tight []*routing.Candidate) {
	model := w.request.Class.GetModel()
	r, held := s.reserved[model]
	if held && r.ticket != w.ticket && s.tickets[r.ticket] != nil {
		return
	}
	best := tight[0]
	for _, c := range tight {
		if w.reserved && c.Name == r.target {
			return
		}
		if c.Peak/c.Memory < best.Peak/best.Memory || c.Peak/c.Memory == best.Peak/best.Memory && c.Name < best.Name {
			best = c
		}
	}
	w.reserved = true
	s.reserved[model] = reservation{w.ticket, best.Name}
}
