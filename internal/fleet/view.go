package fleet

import (
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Target is one incarnation of a target as an instance knows it.
type Target struct {
	Announcement
	// Heard is when the newest statement arrived.
	Heard time.Time
	// ColdUntil is when the target is, or became, warm by its own account; zero
	// if it was never heard to be cold.
	ColdUntil time.Time
}

// View is everything that an instance knows of the deployment. It is
// immutable.
type View struct {
	// Index is the log index of the failure domains out of service.
	Index uint64
	// Manifest is nil until the first one arrives.
	Manifest *manifest.Index
	// OutOfService are the failure domains that get no new work.
	OutOfService map[string]bool
	// Targets are the known targets by id, those that have left included for a
	// while.
	Targets map[string]*Target
	// Entries are the instances that share the targets, by name, as far as any
	// control instance lists them.
	Entries map[string]Watcher

	serving map[string]bool // services with a usable target
}

// Sharers is the number of instances that share the targets; at least 1.
func (v *View) Sharers() int { return max(1, len(v.Entries)) }

// Usable reports whether a target may get new work.
func (v *View) Usable(t *Target) bool {
	return !t.State.leaving() && !v.OutOfService[t.FailureDomain]
}

// Serves reports whether any target of a service may get new work.
func (v *View) Serves(service string) bool { return v.serving[service] }

// Holder keeps the newest view and merges what control instances send. The
// replicated part never goes back: an older index is ignored.
type Holder struct {
	decode func(document []byte) (*manifest.Manifest, error)
	now    func() time.Time

	mu      sync.Mutex
	view    *View
	version uint64               // of the manifest held
	wanted  uint64               // newest version of the manifest that is known to exist
	lists   map[string][]Watcher // entry instances by the control instance that lists them
	changed chan struct{}
}

// NewHolder returns a holder without knowledge. decode reads a manifest
// document that the control group accepted.
func NewHolder(decode func([]byte) (*manifest.Manifest, error), now func() time.Time) *Holder {
	return &Holder{
		decode: decode, now: now, changed: make(chan struct{}), lists: map[string][]Watcher{},
		view: &View{OutOfService: map[string]bool{}, Targets: map[string]*Target{}, Entries: map[string]Watcher{}},
	}
}

// View returns the newest view and a channel that is closed when it changes.
func (h *Holder) View() (*View, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}

// Entries returns the instances that share the targets, by name.
func (h *Holder) Entries() map[string]Watcher {
	view, _ := h.View()
	return view.Entries
}

// Limits returns what the manifest lets callers send; unbounded without one.
func (h *Holder) Limits() manifest.Limits {
	view, _ := h.View()
	if view.Manifest == nil {
		return manifest.Limits{}
	}
	return view.Manifest.Limits()
}

// index returns the index of the replicated state.
func (h *Holder) index() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Index
}

// missing reports whether a newer manifest exists than the one held, and
// returns a channel that is closed when that may have changed.
func (h *Holder) missing() (bool, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wanted > h.version, h.changed
}

// SetManifest takes a manifest; one that is not newer is ignored.
func (h *Holder) SetManifest(version uint64, document []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return nil
	}
	m, err := h.decode(document)
	if err != nil {
		return err
	}
	next := *h.view
	next.Manifest, h.version = manifest.NewIndex(m), version
	h.replace(&next)
	return nil
}

// Merge takes the news of one control instance.
func (h *Holder) Merge(state *State, news []Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := *h.view
	changed := h.mergeState(&next, state)
	if h.mergeTargets(&next, news) || changed {
		h.replace(&next)
	}
}

func (h *Holder) replace(next *View) {
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

// setEntries takes the entry instances that a control instance lists; nil
// forgets its list.
func (h *Holder) setEntries(control string, list []Watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list == nil {
		delete(h.lists, control)
	} else {
		h.lists[control] = list
	}
	next := *h.view
	next.Entries = map[string]Watcher{}
	for _, l := range h.lists {
		for _, w := range l {
			next.Entries[w.Name] = w
		}
	}
	h.replace(&next)
}

func (h *Holder) mergeState(next *View, state *State) bool {
	if state == nil || state.Index <= next.Index {
		return false
	}
	h.wanted = max(h.wanted, state.ManifestVersion)
	next.Index = state.Index
	next.OutOfService = map[string]bool{}
	for _, d := range state.OutOfService {
		next.OutOfService[d] = true
	}
	return true
}

func (h *Holder) mergeTargets(next *View, news []Announcement) bool {
	if len(news) == 0 {
		return false
	}
	now := h.now()
	targets := make(map[string]*Target, len(next.Targets)+len(news))
	for id, t := range next.Targets {
		if t.State.leaving() && now.Sub(t.Heard) > forgetAfter {
			continue
		}
		targets[id] = t
	}
	changed := false
	for _, a := range news {
		old, known := targets[a.ID]
		if known && !a.supersedes(&old.Announcement) {
			continue
		}
		if known {
			a = a.merge(&old.Announcement)
		} else if a.Address == "" {
			continue // a leave of a target that is not known here
		}
		targets[a.ID] = &Target{Announcement: a, Heard: now, ColdUntil: coldUntil(&a, old, now)}
		changed = true
	}
	next.Targets = targets
	return changed
}

// coldUntil is when a target is or became warm; old is what was known of it.
func coldUntil(a *Announcement, old *Target, now time.Time) time.Time {
	switch {
	case a.Cold > 0:
		return now.Add(a.Cold)
	case old == nil || old.Born != a.Born:
		return time.Time{}
	case old.ColdUntil.After(now):
		return now // it is warm sooner than it said
	}
	return old.ColdUntil
}
