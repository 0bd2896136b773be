package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Target is one incarnation of a target in an instance's view.
type Target struct {
	Announcement
	// FirstAnnounced and LastAnnounced are when the first and the newest announcement of the
	// incarnation arrived.
	FirstAnnounced, LastAnnounced time.Time
	// ColdUntil is when the target will be warm, or became warm, according to
	// its announcements; zero if it has never announced that it is cold.
	ColdUntil time.Time
}

// silentRetention is how long a target without announcements stays in the view. It exceeds
// the time for which a target that works may be unable to announce itself.
const silentRetention = 10 * time.Minute

// isForgotten reports whether the target left, or fell silent, so long ago that nothing is
// concluded from it any more.
func (t *Target) isForgotten(now time.Time) bool {
	age := now.Sub(t.LastAnnounced)
	return (t.State.isLeaving() && age > recordRetention) || (t.State == Silent && age > silentRetention)
}

// isSupersededBy reports whether a is newer than the target's announcement. A withdrawal that
// names no incarnation and had arrived before this one was heard of is of an earlier one.
func (t *Target) isSupersededBy(a *Announcement, now time.Time) bool {
	if a.isBareWithdrawal() && now.Add(-a.Age).Before(t.FirstAnnounced) {
		return false
	}
	return a.supersedes(&t.Announcement)
}

// View is an instance's copy of the deployment's state, merged from the responses
// of the control instances. It is immutable.
type View struct {
	// Index is the log index of the replicated state that OutOfService is from.
	Index uint64
	// Manifest is nil until the first one arrives.
	Manifest *manifest.Index
	// OutOfService is the set of failure domains that get no new work.
	OutOfService map[string]bool
	// Targets holds the known targets by ID. Targets that have left stay for
	// at least recordRetention.
	Targets map[string]*Target
	// Entries holds, by name, the entry instances to which at least one control
	// instance sends callers. They share the targets.
	Entries map[string]Watcher

	// Quarantines holds those of the replicated state. The caller must not modify the list.
	Quarantines []QuarantineRecord

	stateVersions []ServiceVersion // versions of the replicated state

	serving  map[string]bool     // names of the services with a usable target
	versions map[string][]string // software versions by service
	// settled holds the versions of the replicated state by service; nil if that is full.
	settled map[string][]string
}

// EntryCount returns the number of entry instances that share the targets, at
// least 1.
func (v *View) EntryCount() int { return max(1, len(v.Entries)) }

// Usable reports whether a target may get new work: it is not leaving and its
// failure domain is in service.
func (v *View) Usable(t *Target) bool {
	return !t.State.isLeaving() && !v.OutOfService[t.FailureDomain]
}

// Serves reports whether at least one target of a service may get new work.
func (v *View) Serves(service string) bool { return v.serving[service] }

// Versions returns the software versions that targets of a service run or, if they have
// left, ran, sorted. The caller must not modify the list.
func (v *View) Versions(service string) []string {
	return v.versions[service]
}

// StreamVersions returns the versions at which a stream of a service may begin that a caller
// may take up elsewhere; nil if any. They are those that the group has agreed on: whoever asks
// a majority of the control instances hears of them, also one that is cut off from the targets
// here. While none is, the service is new; if the state has no room for more, it tells everyone
// of several versions.
func (v *View) StreamVersions(service string) []string { return v.settled[service] }

// ViewStore holds the newest View and merges responses from control instances into
// it. It ignores replicated state that is not newer than the view's.
type ViewStore struct {
	decode func(document []byte) (*manifest.Manifest, error)
	now    func() time.Time

	mu                    sync.Mutex
	view                  *View
	manifestVersion       uint64               // version of view.Manifest
	newestManifestVersion uint64               // newest version that a control instance has reported
	entryLists            map[string][]Watcher // entry instances, by address of the control instance that lists them
	vouchers              vouchers
	changed               chan struct{}
}

// NewViewStore returns a ViewStore with an empty view. decode parses a manifest
// document that the control group has accepted.
func NewViewStore(decode func([]byte) (*manifest.Manifest, error), now func() time.Time) *ViewStore {
	return &ViewStore{
		decode: decode, now: now, changed: make(chan struct{}), entryLists: map[string][]Watcher{}, vouchers: newVouchers(),
		view: &View{OutOfService: map[string]bool{}, Targets: map[string]*Target{}, Entries: map[string]Watcher{}},
	}
}

// View returns the newest view and a channel that is closed when it changes.
func (s *ViewStore) View() (*View, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.changed
}

// Entries returns the entry instances in the newest view, by name. The caller
// must not modify the map.
func (s *ViewStore) Entries() map[string]Watcher {
	view, _ := s.View()
	return view.Entries
}

// Limits returns the manifest's limits on requests. Without a manifest it
// returns zero Limits, which set no bounds.
func (s *ViewStore) Limits() manifest.Limits {
	view, _ := s.View()
	if view.Manifest == nil {
		return manifest.Limits{}
	}
	return view.Manifest.Limits()
}

// stateIndex returns the log index of the newest replicated state.
func (s *ViewStore) stateIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Index
}

// manifestOutdated reports whether a control instance has a newer manifest than
// the view, and returns a channel that is closed when that may have changed.
func (s *ViewStore) manifestOutdated() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newestManifestVersion > s.manifestVersion, s.changed
}

// SetManifest decodes a manifest and puts it in force in the view. It ignores a
// manifest that is not newer. If decoding fails, the view keeps its manifest.
func (s *ViewStore) SetManifest(version uint64, document []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.manifestVersion {
		return nil
	}
	m, err := s.decode(document)
	if err != nil {
		return err
	}
	next := *s.view
	next.Manifest, s.manifestVersion = manifest.NewIndex(m), version
	s.publish(&next)
	return nil
}

// Merge merges the state, which may be nil, and the announcements from one
// control instance into the view.
func (s *ViewStore) Merge(state *State, announcements []Announcement) {
	s.MergeFrom("", false, state, announcements)
}

// MergeFrom is Merge for the control instance at an address. restarted says that it has
// forgotten what it said before.
func (s *ViewStore) MergeFrom(control string, restarted bool, state *State, announcements []Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if restarted {
		s.vouchers.drop(control, now)
	}
	s.vouchers.note(control, announcements)
	next := *s.view
	changed := s.mergeState(&next, state)
	changed = s.mergeTargets(&next, announcements) || changed
	if s.silenceOrphans(&next, now) || changed {
		s.publish(&next)
	}
}

// Forget records that a control instance is gone.
func (s *ViewStore) Forget(control string) {
	s.SetEntries(control, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vouchers.drop(control, s.now())
}

// silenceOrphans marks the ready targets as silent that no control instance has vouched for
// during orphanTime. It reports whether there are any.
func (s *ViewStore) silenceOrphans(next *View, now time.Time) bool {
	changed := false
	for _, id := range s.vouchers.takeSilent(now) {
		old := next.Targets[id]
		if old == nil || old.State != Ready {
			continue
		}
		if !changed {
			next.Targets, changed = maps.Clone(next.Targets), true
		}
		silent := *old
		silent.State, silent.LastAnnounced = Silent, now
		next.Targets[id] = &silent
	}
	return changed
}

// publish makes next the newest view. The caller must hold s.mu.
func (s *ViewStore) publish(next *View) {
	next.serving, next.versions = map[string]bool{}, map[string][]string{}
	for _, t := range next.Targets {
		if known := next.versions[t.Service]; !slices.Contains(known, t.Version) {
			next.versions[t.Service] = append(known, t.Version)
		}
		if next.Usable(t) {
			next.serving[t.Service] = true
		}
	}
	next.settled = nil
	if len(next.stateVersions) < maxVersions {
		next.settled = map[string][]string{}
	}
	for _, v := range next.stateVersions {
		if next.settled != nil {
			next.settled[v.Service] = append(next.settled[v.Service], v.Version)
		}
		if known := next.versions[v.Service]; !slices.Contains(known, v.Version) {
			next.versions[v.Service] = append(known, v.Version)
		}
	}
	for _, versions := range next.versions {
		slices.Sort(versions)
	}
	s.view = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEntries replaces the list of entry instances from one control instance. A
// nil list removes it.
func (s *ViewStore) SetEntries(control string, list []Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if list == nil {
		delete(s.entryLists, control)
	} else {
		s.entryLists[control] = list
	}
	next := *s.view
	next.Entries = map[string]Watcher{}
	for _, l := range s.entryLists {
		for _, w := range l {
			next.Entries[w.Name] = w
		}
	}
	s.publish(&next)
}

func (s *ViewStore) mergeState(next *View, state *State) bool {
	if state == nil || state.Index <= next.Index {
		return false
	}
	s.newestManifestVersion = max(s.newestManifestVersion, state.ManifestVersion)
	next.Index, next.stateVersions, next.Quarantines = state.Index, state.Versions, state.Quarantines
	next.OutOfService = map[string]bool{}
	for _, d := range state.OutOfService {
		next.OutOfService[d] = true
	}
	return true
}

func (s *ViewStore) mergeTargets(next *View, announcements []Announcement) bool {
	now := s.now()
	supersedesKnown := func(a Announcement) bool {
		old, known := next.Targets[a.ID]
		return !known || old.isSupersededBy(&a, now)
	}
	if !slices.ContainsFunc(announcements, supersedesKnown) {
		return false // each control instance reports every change
	}
	targets := make(map[string]*Target, len(next.Targets)+len(announcements))
	for id, t := range next.Targets {
		if t.isForgotten(now) {
			continue
		}
		targets[id] = t
	}
	changed := false
	for _, a := range announcements {
		old, known := targets[a.ID]
		if known && !old.isSupersededBy(&a, now) {
			continue
		}
		if known {
			a = a.merge(&old.Announcement)
		} else if a.Address == "" {
			continue // a Gone announcement of a target that is not in the view
		}
		first := now
		if known && old.Incarnation == a.Incarnation {
			first = old.FirstAnnounced
		}
		targets[a.ID] = &Target{Announcement: a, FirstAnnounced: first, LastAnnounced: now, ColdUntil: coldUntil(&a, old, now)}
		changed = true
	}
	next.Targets = targets
	return changed
}

// coldUntil returns the ColdUntil of a target after announcement a. old is its
// previous state, or nil.
func coldUntil(a *Announcement, old *Target, now time.Time) time.Time {
	switch {
	case a.ColdRemaining > 0:
		return now.Add(a.ColdRemaining)
	case old == nil || old.Incarnation != a.Incarnation:
		return time.Time{}
	case old.ColdUntil.After(now):
		return now // the target became warm earlier than it had announced
	}
	return old.ColdUntil
}
