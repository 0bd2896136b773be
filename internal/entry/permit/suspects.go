package permit

import (
	"slices"
	"sync"
	"time"
)

// Limits of the record of suspect targets. The owner of a target that has died
// continues to grant permits for it until its announcement expires (3 s), and even
// prefers it, since requests sent there end at once. suspectDuration is shorter than
// Timing.NoTargetGrace, so that a request can wait until the suspicion has ended if
// there is no other target.
const (
	suspectDuration = 700 * time.Millisecond
	maxSuspects     = 1024
	// maxExcludedTargets is how many targets an owner allows a request to exclude.
	maxExcludedTargets = 64
)

type suspectKey struct{ team, service, target string }

// suspects records the targets that recently could not be reached from this instance.
type suspects struct {
	mu        sync.Mutex
	expiresAt map[suspectKey]time.Time
}

func (s *suspects) add(team, service, target string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, until := range s.expiresAt {
		if !now.Before(until) {
			delete(s.expiresAt, k)
		}
	}
	if s.expiresAt == nil {
		s.expiresAt = map[suspectKey]time.Time{}
	}
	if len(s.expiresAt) < maxSuspects {
		s.expiresAt[suspectKey{team, service, target}] = now.Add(suspectDuration)
	}
}

// targetsToExclude returns the targets to exclude for a request: those that failed
// for it, then the suspects, at most maxExcludedTargets.
func (s *suspects) targetsToExclude(req Requirements, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := req.ExcludedTargets
	for k, until := range s.expiresAt {
		if k.team == req.Team && k.service == req.Service && now.Before(until) && !slices.Contains(out, k.target) {
			out = append(slices.Clip(out), k.target)
		}
	}
	return out[:min(len(out), maxExcludedTargets)]
}

// MarkSuspect records that a target could not be reached at now. This instance requests no
// permits for it until suspectDuration has passed.
func (a *Acquirer) MarkSuspect(team, service, target string, now time.Time) {
	a.suspects.add(team, service, target, now)
}
