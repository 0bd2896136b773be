package fleet

import (
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Target is one incarnation of a target in an instance's view.
type Target struct {
	Announcement
	// Heard is when the newest announcement arrived.
	Heard time.Time
	// ColdUntil is when the target will be warm, or became warm, according to
	// its announcements; zero if it has never announced that it is cold.
	ColdUntil time.Time
}

// View is an instance's merged state of the deployment. It is immutable.
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
	// Entries holds the entry instances that share the targets, by name: those
	// that at least one control instance lists.
	Entries map[string]Watcher

	serving map[string]bool // services with a usable target
}

// Sharers returns the number of entry instances that share the targets, at least
// 1.
func (v *View) Sharers() int { return max(1, len(v.Entries)) }

// Usable reports whether a target may get new work: it is not leaving and its
// failure domain is in service.
func (v *View) Usable(t *Target) bool {
	return !t.State.isLeaving() && !v.OutOfService[t.FailureDomain]
}

// Serves reports whether at least one target of a service may get new work.
func (v *View) Serves(service string) bool { return v.serving[service] }

// Holder holds the newest View and merges responses from control instances into
// it. Replicated state with an older index is ignored.
type Holder struct {
	decode func(document []byte) (*manifest.Manifest, error)
	now    func() time.Time

	mu                    sync.Mutex
	view                  *View
	manifestVersion       uint64               // version of view.Manifest
	newestManifestVersion uint64               // newest one that a control instance has reported
	entryLists            map[string][]Watcher // entry instances, by address of the control instance that lists them
	changed               chan struct{}
}

// NewHolder returns a Holder with an empty view. decode parses a manifest
// document that the control group has accepted.
func NewHolder(decode func([]byte) (*manifest.Manifest, error), now func() time.Time) *Holder {
	return &Holder{
		decode: decode, now: now, changed: make(chan struct{}), entryLists: map[string][]Watcher{},
		view: &View{OutOfService: map[string]bool{}, Targets: map[string]*Target{}, Entries: map[string]Watcher{}},
	}
}

// View returns the newest view and a channel that is closed when it changes.
func (h *Holder) View() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}

// Entries returns the entry instances in the newest view, by name. The caller
// must not modify the map.
func (h *Holder) Entries() map[string]Watcher {
	view, _ := h.View()
	return view.Entries
}

// Limits returns the manifest's limits on requests. Without a manifest it
// returns zero Limits.
func (h *Holder) Limits() manifest.Limits {
	view, _ := h.View()
	if view.Manifest == nil {
		return manifest.Limits{}
	}
	return view.Manifest.Limits()
}

// stateIndex returns the log index of the newest replicated state.
func (h *Holder) stateIndex() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Index
}

// manifestOutdated reports whether a control instance has a newer manifest than
// the view, and returns a channel that is closed when that may have changed.
func (h *Holder) manifestOutdated() (bool, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestManifestVersion > h.manifestVersion, h.changed
}

// SetManifest decodes a manifest and puts it in force in the view. One that is
// not newer is ignored. If decoding fails, the view keeps its manifest.
func (h *Holder) SetManifest(version uint64, document []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.manifestVersion {
		return nil
	}
	m, err := h.decode(document)
	if err != nil {
		return err
	}
	next := *h.view
	next.Manifest, h.manifestVersion = manifest.NewIndex(m), version
	h.publish(&next)
	return nil
}

// Merge merges the state, which may be nil, and the announcements from one
// control instance into the view.
func (h *Holder) Merge(state *State, announcements []Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.view
	changed := h.mergeState(&next, state)
	if h.mergeTargets(&next, announcements) || changed {
		h.publish(&next)
	}
}

// publish makes next the newest view. The caller must hold h.mu.
func (h *Holder) publish(next *View) {
	next.serving = map[string]bool{}
	for _, t := range next.Targets {
		if next.Usable(t) {
			next.serving[t.Service] = true
		}
	}
	h.view = next
	close(h.changed)
	h.changed = make(chan struct{})
}

// setEntries replaces the list of entry instances from one control instance. A
// nil list removes it.
func (h *Holder) setEntries(control string, list []Watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list == nil {
		delete(h.entryLists, control)
	} else {
		h.entryLists[control] = list
	}
	next := *h.view
	next.Entries = map[string]Watcher{}
	for _, l := range h.entryLists {
		for _, w := range l {
			next.Entries[w.Name] = w
		}
	}
	h.publish(&next)
}

func (h *Holder) mergeState(next *View, state *State) bool {
	if state == nil || state.Index <= next.Index {
		return false
	}
	h.newestManifestVersion = max(h.newestManifestVersion, state.ManifestVersion)
	next.Index = state.Index
	next.OutOfService = map[string]bool{}
	for _, d := range state.OutOfService {
		next.OutOfService[d] = true
	}
	return true
}

func (h *Holder) mergeTargets(next *View, announcements []Announcement) bool {
	if len(announcements) == 0 {
		return false
	}
	now := h.now()
	targets := make(map[string]*Target, len(next.Targets)+len(announcements))
	for id, t := range next.Targets {
		if t.State.isLeaving() && now.Sub(t.Heard) > recordRetention {
			continue
		}
		targets[id] = t
	}
	changed := false
	for _, a := range announcements {
		old, known := targets[a.ID]
		if known && !a.supersedes(&old.Announcement) {
			continue
		}
		if known {
			a = a.merge(&old.Announcement)
		} else if a.Address == "" {
			continue // Gone for a target that is not in the view
		}
		targets[a.ID] = &Target{Announcement: a, Heard: now, ColdUntil: coldUntil(&a, old, now)}
		changed = true
	}
	next.Targets = targets
	return changed
}

// coldUntil returns the ColdUntil of a target after announcement a. old is its
// previous state, or nil.
func coldUntil(a *Announcement, old *Target, now time.Time) time.Time {
	switch {
	case a.Cold > 0:
		return now.Add(a.Cold)
	case old == nil || old.Born != a.Born:
		return time.Time{}
	case old.ColdUntil.After(now):
		return now // it became warm earlier than announced
	}
	return old.ColdUntil
}
