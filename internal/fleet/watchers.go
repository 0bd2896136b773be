package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
)

// watcherSlack is how long after the end of its last poll a watcher still
// counts as live.
const watcherSlack = time.Second

// Watcher is an instance that watches a control instance.
type Watcher struct {
	Name          string
	Region        string
	FailureDomain string
	// Address is where callers connect; empty if the instance takes none.
	Address string
	// Leaving is set once the instance is about to stop.
	Leaving bool
	// Internal is where other instances send datagrams.
	Internal string
}

// listVersion identifies a list of instances; 0 is the empty list.
func listVersion(list []Watcher) uint64 {
	if len(list) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, w := range list {
		_, _ = h.WriteString(w.Name + "\x00" + w.Internal + "\x00") // never fails
	}
	return h.Sum64()
}

func watcherToProto(w *Watcher) *api.FleetWatcher {
	return &api.FleetWatcher{
		Name: w.Name, Region: w.Region, FailureDomain: w.FailureDomain,
		Address: w.Address, Leaving: w.Leaving, Internal: w.Internal,
	}
}

func watcherFromProto(p *api.FleetWatcher) Watcher {
	return Watcher{
		Name: p.GetName(), Region: p.GetRegion(), FailureDomain: p.GetFailureDomain(),
		Address: p.GetAddress(), Leaving: p.GetLeaving(), Internal: p.GetInternal(),
	}
}

// Watchers are the instances that watch one control instance at present.
type Watchers struct {
	now func() time.Time

	mu      sync.Mutex
	present map[string]*watching
	changed chan struct{} // closed when a watcher asks for later announcements

	// callable and version are the answer of Callable, made anew when stale.
	callable []Watcher
	version  uint64
	stale    bool
}

type watching struct {
	Watcher
	poll  uint64
	until time.Time
	// cursor is the announcement up to which the watcher has applied all.
	cursor uint64
}

// NewWatchers returns an empty set.
func NewWatchers(now func() time.Time) *Watchers {
	return &Watchers{now: now, present: map[string]*watching{}, changed: make(chan struct{})}
}

// Begin notes a poll that may last for wait. The returned function ends it;
// lost tells that the connection broke.
func (w *Watchers) Begin(x Watcher, cursor uint64, wait time.Duration) (end func(lost bool)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.present[x.Name]
	if p == nil {
		p = &watching{}
		w.present[x.Name] = p
	}
	w.stale = w.stale || p.Watcher != x
	p.Watcher, p.cursor = x, cursor
	p.poll++
	p.until = w.now().Add(wait + watcherSlack)
	close(w.changed)
	w.changed = make(chan struct{})
	poll := p.poll
	return func(lost bool) { w.end(p, poll, lost) }
}

func (w *Watchers) end(p *watching, poll uint64, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.poll != poll {
		return
	}
	p.until = w.now().Add(watcherSlack)
	if lost {
		p.until = w.now()
	}
}

// Callable returns the live watchers that take callers, in the order of their
// names, and the version of this list. The list must not be changed. Every
// answer to a watcher needs it, so it is made anew only when it differs.
func (w *Watchers) Callable() ([]Watcher, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for name, p := range w.present {
		if now.After(p.until) {
			delete(w.present, name)
			w.stale = true
		}
	}
	if w.stale {
		w.callable, w.stale = nil, false
		for _, p := range w.present {
			if !p.Leaving && p.Address != "" {
				w.callable = append(w.callable, p.Watcher)
			}
		}
		slices.SortFunc(w.callable, func(a, b Watcher) int { return strings.Compare(a.Name, b.Name) })
		w.version = listVersion(w.callable)
	}
	return w.callable, w.version
}

// Seen reports whether every live watcher has applied the announcement with a
// number, and how many watchers there are. The channel is closed when that may
// have changed.
func (w *Watchers) Seen(number uint64) (all bool, live int, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all = true
	now := w.now()
	for _, p := range w.present {
		if now.After(p.until) {
			continue
		}
		live++
		all = all && p.cursor >= number
	}
	return all, live, w.changed
}
