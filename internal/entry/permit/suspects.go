package permit

import (
	"slices"
	"sync"
	"time"
)

// Bounds on what is kept of targets that refused a connection. A target that
// has died is granted by its owner until its announcement expires (3 s), and
// even preferred, since whatever is sent there ends at once. The time is
// shorter than Timing.Settle, so that a request outlasts it when there is no
// other target.
const (
	suspectFor  = 700 * time.Millisecond
	maxSuspects = 1024
	// maxExcluded is how many targets an owner lets a request exclude.
	maxExcluded = 64
)

type suspectKey struct{ team, service, target string }

// suspects are the targets that lately refused a connection of this instance.
type suspects struct {
	mu    sync.Mutex
	until map[suspectKey]time.Time
}

func (s *suspects) add(team, service, target string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, until := range s.until {
		if !now.Before(until) {
			delete(s.until, k)
		}
	}
	if s.until == nil {
		s.until = map[suspectKey]time.Time{}
	}
	if len(s.until) < maxSuspects {
		s.until[suspectKey{team, service, target}] = now.Add(suspectFor)
	}
}

// exclude returns the targets that a request should not get: those that failed
// for it, then the suspects.
func (s *suspects) exclude(w Wanted, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := w.Exclude
	for k, until := range s.until {
		if k.team == w.Team && k.service == w.Service && now.Before(until) && !slices.Contains(out, k.target) {
			out = append(slices.Clip(out), k.target)
		}
	}
	return out[:min(len(out), maxExcluded)]
}

// Suspect notes that a target refused a connection: for a short time no
// request of this instance goes there.
func (a *Acquirer) Suspect(team, service, target string, now time.Time) {
	a.suspects.add(team, service, target, now)
}
