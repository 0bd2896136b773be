package admission

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Bands is the number of priority bands; a higher band is served first.
const Bands = 10

// ageingShare is the share of its longest wait after which a request has
// risen to the top band, so that it is served before it is dropped.
const ageingShare = 0.75

// Item is a waiting request.
type Item[T any] struct {
	Account  string
	Weight   float64 // share of the account
	Cost     float64 // predicted tokens
	Priority int     // 0 to Bands-1
	Arrived  time.Time
	Deadline time.Time // dropped when still waiting then
	Value    T

	band int
}

// account is one client account's backlog in a band.
type account[T any] struct {
	name    string
	virtual float64 // service received, in tokens per weight
	items   []*Item[T]
}

// band serves its accounts by start-time fair queueing: the account with the
// least virtual time is next, and pays the cost of what it gets divided by its
// weight.
type band[T any] struct {
	accounts map[string]*account[T]
	virtual  float64 // of the account served last
}

// Queue orders waiting requests: by priority band with ageing, then by
// weighted fair queueing over client accounts, then by arrival.
type Queue[T any] struct {
	bands  [Bands]band[T]
	length int
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request. Its place within its account is by arrival time, so
// that a request that waited elsewhere keeps its place.
func (q *Queue[T]) Push(it *Item[T], now time.Time) {
	it.band = it.bandAt(now)
	q.bands[it.band].push(it)
	q.length++
}

// bandAt returns the band the item belongs to by its age.
func (it *Item[T]) bandAt(now time.Time) int {
	p := min(max(it.Priority, 0), Bands-1)
	longest := float64(it.Deadline.Sub(it.Arrived)) * ageingShare
	if longest <= 0 {
		return Bands - 1
	}
	risen := float64(Bands-1-p) * float64(now.Sub(it.Arrived)) / longest
	return min(Bands-1, p+max(0, int(risen)))
}

func (b *band[T]) push(it *Item[T]) {
	if b.accounts == nil {
		b.accounts = map[string]*account[T]{}
	}
	a := b.accounts[it.Account]
	if a == nil {
		a = &account[T]{name: it.Account, virtual: b.virtual}
		b.accounts[it.Account] = a
	}
	if len(a.items) == 0 {
		// An account gets no credit for the time it had nothing to run.
		a.virtual = max(a.virtual, b.virtual)
	}
	at, _ := slices.BinarySearchFunc(a.items, it, func(x, y *Item[T]) int {
		return cmp.Or(x.Arrived.Compare(y.Arrived), -1) // behind items that arrived at the same time
	})
	a.items = slices.Insert(a.items, at, it)
}

// Remove takes an item out without service.
func (q *Queue[T]) Remove(it *Item[T]) {
	b := &q.bands[it.band]
	a := b.accounts[it.Account]
	if a == nil {
		return
	}
	if i := slices.Index(a.items, it); i >= 0 {
		a.items = slices.Delete(a.items, i, i+1)
		q.length--
	}
}

// Serve takes an item out and charges its account.
func (q *Queue[T]) Serve(it *Item[T]) {
	q.Remove(it)
	b := &q.bands[it.band]
	a := b.accounts[it.Account]
	b.virtual = max(b.virtual, a.virtual)
	a.virtual += it.Cost / max(it.Weight, 1e-9)
}

// Advance raises the bands of requests that have waited long and returns the
// requests whose deadline has passed, which it removes.
func (q *Queue[T]) Advance(now time.Time) (dropped []*Item[T]) {
	for n := range q.bands {
		b := &q.bands[n]
		for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
			a := b.accounts[name]
			for _, it := range slices.Clone(a.items) {
				if !now.Before(it.Deadline) {
					q.Remove(it)
					dropped = append(dropped, it)
				} else if to := it.bandAt(now); to > n {
					q.Remove(it)
					it.band = to
					q.bands[to].push(it)
					q.length++
				}
			}
			if len(a.items) == 0 && a.virtual <= b.virtual {
				delete(b.accounts, name)
			}
		}
	}
	return dropped
}

// All yields the waiting requests in the order of service. The queue must not
// be changed during the iteration.
func (q *Queue[T]) All() iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		for n := Bands - 1; n >= 0; n-- {
			for _, a := range q.bands[n].order() {
				for _, it := range a.items {
					if !yield(it) {
						return
					}
				}
			}
		}
	}
}

func (b *band[T]) order() []*account[T] {
	var out []*account[T]
	for _, a := range b.accounts {
		if len(a.items) > 0 {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *account[T]) int {
		return cmp.Or(cmp.Compare(x.virtual, y.virtual), cmp.Compare(x.name, y.name))
	})
	return out
}
