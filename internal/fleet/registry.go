package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Limits on the announcements that a control instance keeps.
const (
	// silentIntervals is how many announcement intervals may pass before a
	// target counts as silent; one announcement may be lost or seconds late.
	silentIntervals = 3
	// silentMargin is added to silentIntervals announcement intervals, since an announcement may be late.
	silentMargin = time.Second
	// recordRetention is how long the record of a target that is not ready is
	// kept, so that a delayed announcement does not add it again.
	recordRetention = 2 * time.Minute
	// maxTargets bounds the number of records, one for each target.
	maxTargets = 8192
	// The history keeps at most historyPerRecord changes for each record plus
	// minHistory.
	historyPerRecord = 2
	minHistory       = 64
)

// Registry holds the announcements that one control instance has received. Each
// change gets the next number. Readers request the changes after their cursor.
type Registry struct {
	interval time.Duration
	now      func() time.Time

	mu         sync.Mutex
	lastNumber uint64 // number of the newest change
	records    map[string]*record
	// history holds the changes in order. Since skips changes whose record has
	// changed again or was deleted.
	history []change
	changed chan struct{}
}

// change is one numbered change of a record.
type change struct {
	number uint64
	record *record
	urgent bool
}

// record is the newest announcement of a target and its place in the history.
type record struct {
	Announcement
	number        uint64
	lastAnnounced time.Time
	coldUntil     time.Time
}

// NewRegistry returns an empty Registry. interval is the time between two
// announcements of a target.
func NewRegistry(interval time.Duration, now func() time.Time) *Registry {
	return &Registry{interval: interval, now: now, records: map[string]*record{}, changed: make(chan struct{})}
}

// Announce records an announcement. A reader whose cursor has reached the returned
// number has received the announcement. ok is false if the registry is full. relayed
// is set if another control instance received the announcement from the target.
func (r *Registry) Announce(a Announcement, relayed bool) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	rec := r.records[a.ID]
	switch {
	case rec == nil && len(r.records) >= maxTargets:
		return 0, false
	case rec == nil:
		if !r.claimAddress(&a) {
			a.State = Gone
		}
		rec = &record{Announcement: a}
		r.records[a.ID] = rec
		r.publish(rec, !relayed)
	case a.isBareWithdrawal() && rec.isBareWithdrawal():
		r.publish(rec, !relayed) // it may be of a later incarnation than the former one
	case !a.supersedes(&rec.Announcement):
		return rec.number, true
	default:
		r.updateRecord(rec, a, relayed, now)
	}
	rec.lastAnnounced = now
	rec.coldUntil = now.Add(a.ColdRemaining)
	return rec.number, true
}

// resolve returns the announcement with the incarnation that is known here, if it names none.
func (r *Registry) resolve(a Announcement) Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[a.ID]; rec != nil && a.Incarnation == 0 {
		return a.merge(&rec.Announcement)
	}
	return a
}

// updateRecord replaces a record's announcement. It publishes the record only if a
// property that readers need has changed; periodic repetitions are not
// published. A change of the place where the target is reached or of whether it gets
// work is urgent.
func (r *Registry) updateRecord(rec *record, a Announcement, relayed bool, now time.Time) {
	next := a.merge(&rec.Announcement)
	wasCold := rec.coldUntil.After(now)
	urgent := next.State != rec.State || next.Incarnation != rec.Incarnation || next.Address != rec.Address
	changed := urgent || next.Slots != rec.Slots || (next.ColdRemaining > 0) != wasCold
	if next.Incarnation != rec.Incarnation {
		r.claimAddress(&next)
	}
	rec.Announcement = next
	if changed {
		r.publish(rec, urgent && !relayed)
	}
}

// claimAddress marks the other targets at a's address as gone unless they have started
// later: an address belongs to the target that has started last. It returns false if a
// later one has announced itself, so that a's sender has ended.
func (r *Registry) claimAddress(a *Announcement) bool {
	if a.Address == "" {
		return true
	}
	claimed := true
	for id, other := range r.records {
		if id == a.ID || other.Address != a.Address || other.State == Gone {
			continue
		}
		if other.Incarnation > a.Incarnation {
			claimed = false
			continue
		}
		other.State = Gone
		r.publish(other, true)
	}
	return claimed
}

// publish gives the record the next number, adds it to the history and wakes
// the readers.
func (r *Registry) publish(rec *record, urgent bool) {
	r.lastNumber++
	rec.number = r.lastNumber
	r.history = append(r.history, change{r.lastNumber, rec, urgent})
	if len(r.history) > historyPerRecord*len(r.records)+minHistory {
		r.history = slices.DeleteFunc(r.history, func(c change) bool { return !r.isCurrent(c) })
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// isCurrent reports whether a change is the last one of a record that still
// exists.
func (r *Registry) isCurrent(c change) bool {
	return c.number == c.record.number && r.records[c.record.ID] == c.record
}

// Sweep marks ready targets whose announcements have stopped as silent, and
// deletes the records of targets that are not ready and whose last announcement
// is older than recordRetention.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for id, rec := range r.records {
		age := now.Sub(rec.lastAnnounced)
		switch {
		case rec.State != Ready && age > recordRetention:
			delete(r.records, id)
		case rec.State == Ready && age > silentIntervals*r.interval+silentMargin:
			rec.State = Silent
			r.publish(rec, false)
		}
	}
}

// Versions returns the software versions that the known targets of a service run or ran,
// sorted.
func (r *Registry) Versions(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, rec := range r.records {
		if rec.Service == service {
			out = append(out, rec.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Since returns the announcements that changed after the given number, in order
// of change, the newest number, and a channel that is closed at the next change.
func (r *Registry) Since(number uint64) ([]Announcement, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number >= r.lastNumber {
		return nil, r.lastNumber, r.changed
	}
	now := r.now()
	history := r.historyAfter(number)
	out := make([]Announcement, 0, len(history))
	for _, c := range history {
		if !r.isCurrent(c) {
			continue
		}
		a := c.record.Announcement
		a.ColdRemaining = max(0, c.record.coldUntil.Sub(now))
		if a.isBareWithdrawal() {
			a.Age = now.Sub(c.record.lastAnnounced)
		}
		out = append(out, a)
	}
	return out, r.lastNumber, r.changed
}

// UrgentSince reports whether there is an urgent change after the given number. The
// channel is closed at the next change.
func (r *Registry) UrgentSince(number uint64) (urgent bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.historyAfter(number), func(c change) bool { return c.urgent }), r.changed
}

// historyAfter returns the changes after the given number. The caller must hold r.mu.
func (r *Registry) historyAfter(number uint64) []change {
	first, _ := slices.BinarySearchFunc(r.history, number+1, func(c change, n uint64) int { return cmp.Compare(c.number, n) })
	return r.history[first:]
}
