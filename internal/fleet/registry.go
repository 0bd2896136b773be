package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Bounds of the announcements that a control instance keeps.
const (
	// silentIntervals is how many announcement intervals may pass before a
	// target counts as silent; one announcement may be lost or seconds late.
	silentIntervals = 3
	// silentSlack is added for an announcement that is late.
	silentSlack = time.Second
	// forgetAfter is how long a target that has left is remembered, so that a
	// delayed announcement does not bring it back.
	forgetAfter = 2 * time.Minute
	// maxTargets bounds the table.
	maxTargets = 8192
	// historyShare and minHistory bound the changes that are kept, by the
	// number of records.
	historyShare = 2
	minHistory   = 64
)

// Registry holds the announcements that one control instance received. Each
// change gets the next number; readers ask for what is behind their cursor.
type Registry struct {
	interval time.Duration
	now      func() time.Time

	mu      sync.Mutex
	last    uint64 // number of the newest change
	records map[string]*record
	// history holds the changes in their order; those of records that have
	// changed again or are gone are left out by readers.
	history []change
	changed chan struct{}
}

// change is one published change of a record.
type change struct {
	number uint64
	record *record
}

type record struct {
	Announcement
	number    uint64
	heard     time.Time
	coldUntil time.Time
}

// NewRegistry returns an empty registry for targets that announce themselves
// at an interval.
func NewRegistry(interval time.Duration, now func() time.Time) *Registry {
	return &Registry{interval: interval, now: now, records: map[string]*record{}, changed: make(chan struct{})}
}

// Announce takes a target's statement. It returns the number after which a
// reader has seen it, and whether the table had room for it.
func (r *Registry) Announce(a Announcement) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	old := r.records[a.ID]
	switch {
	case old == nil && len(r.records) >= maxTargets:
		return 0, false
	case old == nil:
		r.supersedeAddress(&a)
		old = &record{Announcement: a}
		r.records[a.ID] = old
		r.publish(old)
	case !a.supersedes(&old.Announcement):
		return old.number, true
	default:
		r.update(old, a, now)
	}
	old.heard = now
	old.coldUntil = now.Add(a.Cold)
	return old.number, true
}

// update replaces a record and publishes what readers must know; an ordinary
// announcement that says nothing new is not published.
func (r *Registry) update(old *record, a Announcement, now time.Time) {
	next := a.merge(&old.Announcement)
	cold := old.coldUntil.After(now)
	news := next.State != old.State || next.Born != old.Born || next.Address != old.Address ||
		next.Slots != old.Slots || (next.Cold > 0) != cold
	if next.Born != old.Born {
		r.supersedeAddress(&next)
	}
	old.Announcement = next
	if news {
		r.publish(old)
	}
}

// supersedeAddress marks older targets at the address as gone: an address has
// one holder, and the newest start is the present one.
func (r *Registry) supersedeAddress(a *Announcement) {
	if a.Address == "" {
		return
	}
	for id, old := range r.records {
		if id != a.ID && old.Address == a.Address && old.State != Gone && old.Born <= a.Born {
			old.State = Gone
			r.publish(old)
		}
	}
}

func (r *Registry) publish(x *record) {
	r.last++
	x.number = r.last
	r.history = append(r.history, change{r.last, x})
	if len(r.history) > historyShare*len(r.records)+minHistory {
		r.history = slices.DeleteFunc(r.history, func(c change) bool { return !r.current(c) })
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// current reports whether a change is the newest of a record that is still
// kept.
func (r *Registry) current(c change) bool {
	return c.number == c.record.number && r.records[c.record.ID] == c.record
}

// Sweep marks targets that have fallen silent and forgets those that left long
// ago.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for id, x := range r.records {
		age := now.Sub(x.heard)
		switch {
		case x.State != Ready && age > forgetAfter:
			delete(r.records, id)
		case x.State == Ready && age > silentIntervals*r.interval+silentSlack:
			x.State = Silent
			r.publish(x)
		}
	}
}

// Since returns the announcements behind a number in their order, the newest
// number, and a channel that is closed at the next change.
func (r *Registry) Since(number uint64) ([]Announcement, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number >= r.last {
		return nil, r.last, r.changed
	}
	now := r.now()
	first, _ := slices.BinarySearchFunc(r.history, number+1, func(c change, n uint64) int { return cmp.Compare(c.number, n) })
	out := make([]Announcement, 0, len(r.history)-first)
	for _, c := range r.history[first:] {
		if !r.current(c) {
			continue
		}
		a := c.record.Announcement
		a.Cold = max(0, c.record.coldUntil.Sub(now))
		out = append(out, a)
	}
	return out, r.last, r.changed
}
