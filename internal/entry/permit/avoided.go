package permit

import (
	"slices"
	"sync"
	"time"
)

// Limits of the records of avoided targets. The owner of a target that has died
// continues to grant permits for it until its announcement expires (3 s), and even
// prefers it, since requests sent there end at once. suspectDuration is shorter than
// Timing.NoTargetGrace, so that a request can wait until the suspicion has ended if
// there is no other target.
const (
	suspectDuration = 700 * time.Millisecond
	maxAvoided      = 1024
	// maxExcludedTargets is how many targets an owner allows a request to exclude.
	maxExcludedTargets = 64
)

// targetKey names an incarnation of a target in its service; incarnation is empty if all are
// meant.
type targetKey struct{ team, service, target, incarnation string }

// avoidedTargets records until when targets get no requests from this instance.
type avoidedTargets struct {
	mu    sync.Mutex
	until map[targetKey]time.Time
}

// add records until when a target gets no requests. A shorter time does not replace a longer
// one. Beyond maxAvoided the one that ends first gives way. It reports whether the target was
// not avoided before.
func (t *avoidedTargets) add(k targetKey, now, until time.Time) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, until := range t.until {
		if !now.Before(until) {
			delete(t.until, k)
		}
	}
	if t.until == nil {
		t.until = map[targetKey]time.Time{}
	}
	before, known := t.until[k]
	if !known && len(t.until) >= maxAvoided {
		t.dropFirst()
	}
	if until.After(before) {
		t.until[k] = until
	}
	return !known
}

// dropFirst forgets the target that is avoided for the shortest time. The caller holds t.mu.
func (t *avoidedTargets) dropFirst() {
	var first targetKey
	for k, until := range t.until {
		if end, found := t.until[first]; !found || until.Before(end) {
			first = k
		}
	}
	delete(t.until, first)
}

// end returns until when a target is avoided, and false if it is not.
func (t *avoidedTargets) end(k targetKey, now time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, known := t.until[k]
	return until, known && now.Before(until)
}

// ofService returns the avoided targets of a service, and the earliest time at which one of
// them is avoided no more.
func (t *avoidedTargets) ofService(team, service string, now time.Time) (targets []targetKey, earliest time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, until := range t.until {
		if k.team != team || k.service != service || !now.Before(until) {
			continue
		}
		targets = append(targets, k)
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return targets, earliest
}

// targetsToExclude returns the targets to exclude for a request: those that failed
// for it, then the suspects, at most maxExcludedTargets.
func (a *Acquirer) targetsToExclude(req Requirements, now time.Time) []string {
	out := req.ExcludedTargets
	suspects, _ := a.suspects.ofService(req.Team, req.Service, now)
	for _, k := range suspects {
		if !slices.Contains(out, k.target) {
			out = append(slices.Clip(out), k.target)
		}
	}
	return out[:min(len(out), maxExcludedTargets)]
}

// MarkSuspect records that a target could not be reached at now. This instance requests no
// permits for it until suspectDuration has passed.
func (a *Acquirer) MarkSuspect(team, service, target string, now time.Time) {
	a.suspects.add(targetKey{team: team, service: service, target: target}, now, now.Add(suspectDuration))
}
