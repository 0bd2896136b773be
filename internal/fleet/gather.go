package fleet

import (
	"context"
	"slices"
	"time"
)

// GatherTimes is how long changes of announcements are gathered before a watcher is
// sent them, by whether one of them is urgent. Announcements arrive in bursts, and
// each response costs a call at the watcher and at the control instance, so the times
// grow with the number of watchers.
type GatherTimes struct{ Urgent, Other time.Duration }

// The time per live watcher and the longest time for which changes are gathered.
// Instances to which callers are not sent do not need changes at once: a target that
// leaves continues to serve for much longer than maxGatherIdle.
const (
	gatherUrgentPerWatcher = 100 * time.Microsecond
	maxGatherUrgent        = 50 * time.Millisecond
	gatherOtherPerWatcher  = time.Millisecond
	maxGatherOther         = 250 * time.Millisecond
	gatherIdlePerWatcher   = 1500 * time.Microsecond
	maxGatherIdle          = 400 * time.Millisecond
)

// GatherTimes returns how long changes are gathered for the named watcher.
func (w *Watchers) GatherTimes(name string) GatherTimes {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refreshEntries()
	n := time.Duration(len(w.byName))
	if !slices.ContainsFunc(w.entryInstances, func(x Watcher) bool { return x.Name == name }) {
		idle := min(maxGatherIdle, n*gatherIdlePerWatcher)
		return GatherTimes{Urgent: idle, Other: idle}
	}
	return GatherTimes{Urgent: min(maxGatherUrgent, n*gatherUrgentPerWatcher), Other: min(maxGatherOther, n*gatherOtherPerWatcher)}
}

// gatherChanges waits for further announcements after the cursor, so that one
// response carries several. It returns earlier when the replicated state changes.
func (s *Server) gatherChanges(ctx context.Context, cursor uint64, times GatherTimes, stateChanged <-chan struct{}) {
	started := time.Now()
	timer := time.NewTimer(times.Other)
	defer timer.Stop()
	for {
		urgent, changed := s.registry.UrgentSince(cursor)
		if urgent {
			timer.Reset(max(0, times.Urgent-time.Since(started)))
			changed = nil
		}
		select {
		case <-timer.C:
			return
		case <-stateChanged:
			return
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
