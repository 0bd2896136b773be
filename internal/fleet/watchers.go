package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
)

// watcherGrace is how long after the end of its last poll a watcher still
// counts as live.
const watcherGrace = time.Second

// Watcher describes an instance that watches a control instance.
type Watcher struct {
	Name          string
	Region        string
	FailureDomain string
	// Address is where callers connect; empty if the instance accepts no callers.
	Address string
	// Leaving is set when the instance starts to shut down.
	Leaving bool
	// InternalAddress is the address to which other instances send datagrams.
	InternalAddress string
}

// listVersion returns a hash that identifies a list of instances; 0 for the
// empty list.
func listVersion(list []Watcher) uint64 {
	if len(list) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, w := range list {
		_, _ = h.WriteString(w.Name + "\x00" + w.InternalAddress + "\x00") // writing to a hash never fails
	}
	return h.Sum64()
}

func watcherToProto(w *Watcher) *api.FleetWatcher {
	return &api.FleetWatcher{
		Name: w.Name, Region: w.Region, FailureDomain: w.FailureDomain,
		Address: w.Address, Leaving: w.Leaving, Internal: w.InternalAddress,
	}
}

func watcherFromProto(p *api.FleetWatcher) Watcher {
	return Watcher{
		Name: p.GetName(), Region: p.GetRegion(), FailureDomain: p.GetFailureDomain(),
		Address: p.GetAddress(), Leaving: p.GetLeaving(), InternalAddress: p.GetInternal(),
	}
}

// Watchers is the set of instances that currently watch one control instance.
type Watchers struct {
	now func() time.Time

	mu      sync.Mutex
	byName  map[string]*watcherState
	changed chan struct{} // closed when a watcher starts a poll

	// The cached results of EntryInstances. They are rebuilt if entriesStale is set.
	entryInstances []Watcher
	entriesVersion uint64
	entriesStale   bool
}

// watcherState is the state of one watcher's polls.
type watcherState struct {
	Watcher
	pollNumber uint64
	liveUntil  time.Time
	// cursor is the number of the last announcement that the watcher applied.
	cursor uint64
}

// NewWatchers returns an empty set. now returns the current time.
func NewWatchers(now func() time.Time) *Watchers {
	return &Watchers{now: now, byName: map[string]*watcherState{}, changed: make(chan struct{})}
}

// BeginPoll records the start of a poll that may last for wait. cursor is the
// number of the last announcement that the watcher has applied. The caller must
// call end when the poll is over, with disconnected set if the watcher's
// connection broke.
func (w *Watchers) BeginPoll(watcher Watcher, cursor uint64, wait time.Duration) (end func(disconnected bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.byName[watcher.Name]
	if state == nil {
		state = &watcherState{}
		w.byName[watcher.Name] = state
	}
	w.entriesStale = w.entriesStale || state.Watcher != watcher
	state.Watcher, state.cursor = watcher, cursor
	state.pollNumber++
	state.liveUntil = w.now().Add(wait + watcherGrace)
	close(w.changed)
	w.changed = make(chan struct{})
	pollNumber := state.pollNumber
	return func(disconnected bool) { w.endPoll(state, pollNumber, disconnected) }
}

// endPoll sets when the watcher stops being live, unless a newer poll has begun.
func (w *Watchers) endPoll(state *watcherState, pollNumber uint64, disconnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state.pollNumber != pollNumber {
		return
	}
	state.liveUntil = w.now().Add(watcherGrace)
	if disconnected {
		state.liveUntil = w.now()
	}
}

// EntryInstances returns the live watchers that accept callers, sorted by name,
// and the version of this list. The caller must not modify the list. Every
// response to a watcher needs the list, so it is rebuilt only when it changes.
func (w *Watchers) EntryInstances() ([]Watcher, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for name, state := range w.byName {
		if now.After(state.liveUntil) {
			delete(w.byName, name)
			w.entriesStale = true
		}
	}
	if w.entriesStale {
		w.entryInstances, w.entriesStale = nil, false
		for _, state := range w.byName {
			if !state.Leaving && state.Address != "" {
				w.entryInstances = append(w.entryInstances, state.Watcher)
			}
		}
		slices.SortFunc(w.entryInstances, func(a, b Watcher) int { return strings.Compare(a.Name, b.Name) })
		w.entriesVersion = listVersion(w.entryInstances)
	}
	return w.entryInstances, w.entriesVersion
}

// AppliedByAll reports whether every live watcher has applied the announcement
// with the given number, and how many watchers are live. The channel is closed
// when that may have changed.
func (w *Watchers) AppliedByAll(number uint64) (all bool, live int, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all = true
	now := w.now()
	for _, state := range w.byName {
		if now.After(state.liveUntil) {
			continue
		}
		live++
		all = all && state.cursor >= number
	}
	return all, live, w.changed
}
