package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
)

const (
	// watcherGrace is how long after the end of its last poll a watcher still
	// counts as live.
	watcherGrace = time.Second
	// expiryCheckInterval is the time between two checks for watchers that are no
	// longer live.
	expiryCheckInterval = 50 * time.Millisecond
)

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
		for _, field := range []string{w.Name, w.InternalAddress, w.Address, w.Region, w.FailureDomain} {
			_, _ = h.WriteString(field + "\x00") // writing to a hash never fails
		}
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

	mu     sync.Mutex
	byName map[string]*watcherState

	// The cached results of EntryInstances. They are rebuilt if entriesStale is set.
	entryInstances []Watcher
	entriesVersion uint64
	entriesStale   bool
	servingSizes   map[string]int // number of entry instances to list, by failure domain
	expiryCheckAt  time.Time      // time of the next check for watchers that are no longer live
}

// watcherState is the state of one watcher's polls.
type watcherState struct {
	Watcher
	pollNumber uint64
	liveUntil  time.Time
	// cursor is the number of the last announcement that the watcher applied.
	cursor uint64
	// load is the watcher's work in multiples of what one instance is planned to do.
	load float64
}

// NewWatchers returns an empty set. now returns the current time.
func NewWatchers(now func() time.Time) *Watchers {
	return &Watchers{now: now, byName: map[string]*watcherState{}, servingSizes: map[string]int{}}
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
	if state.Watcher != watcher {
		w.entriesStale, w.expiryCheckAt = true, time.Time{}
	}
	state.Watcher, state.cursor = watcher, cursor
	state.pollNumber++
	state.liveUntil = w.now().Add(wait + watcherGrace)
	pollNumber := state.pollNumber
	return func(disconnected bool) { w.endPoll(state, pollNumber, disconnected) }
}

// SetLoad records the work that a watcher reports, in multiples of what one instance is
// planned to do.
func (w *Watchers) SetLoad(name string, load float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state := w.byName[name]; state != nil {
		state.load = load
	}
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
		w.expiryCheckAt = time.Time{}
	}
}

// EntryInstances returns the live watchers that callers are sent to, sorted by
// name, and the version of this list. The caller must not modify the list. Every
// response to a watcher needs the list, so it is rebuilt only when it changes.
func (w *Watchers) EntryInstances() ([]Watcher, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refreshEntries()
	return w.entryInstances, w.entriesVersion
}

// refreshEntries rebuilds the list of entry instances if it has changed. The caller
// must hold w.mu.
func (w *Watchers) refreshEntries() {
	if now := w.now(); !now.Before(w.expiryCheckAt) {
		w.expiryCheckAt = now.Add(expiryCheckInterval)
		for name, state := range w.byName {
			if now.After(state.liveUntil) {
				delete(w.byName, name)
				w.entriesStale = true
			}
		}
		w.updateServingSizes()
	}
	if !w.entriesStale {
		return
	}
	w.entriesStale = false
	var live []Watcher
	for _, state := range w.byName {
		if !state.Leaving && state.Address != "" {
			live = append(live, state.Watcher)
		}
	}
	w.entryInstances = selectServing(live, w.servingSizes)
	w.entriesVersion = listVersion(w.entryInstances)
}

// updateServingSizes adapts the number of listed instances to the load of each failure
// domain. The caller must hold w.mu.
func (w *Watchers) updateServingSizes() {
	loads := map[string]float64{}
	for _, state := range w.byName {
		loads[state.FailureDomain] += state.load
	}
	for domain, load := range loads {
		if size := servingSize(load, w.servingSizes[domain]); size != w.servingSizes[domain] {
			w.servingSizes[domain] = size
			w.entriesStale = true
		}
	}
}

// progress is how many watchers are live, and how many of them have applied an
// announcement.
type progress struct{ live, applied int }

// Progress returns how far the live watchers have applied the announcement with the
// given number.
func (w *Watchers) Progress(number uint64) progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	var p progress
	now := w.now()
	for _, state := range w.byName {
		if now.After(state.liveUntil) {
			continue
		}
		p.live++
		if state.cursor >= number {
			p.applied++
		}
	}
	return p
}
