package admission

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Bands is the number of priority bands. Higher bands are served first.
const Bands = 10

// ageingShare is the share of a request's maximum wait after which it reaches the
// top band. It is below 1 so that the request is served before it is dropped.
const ageingShare = 0.75

// Item is a waiting request of a client account, with what determines its place in
// the queue. Its band rises with age.
type Item[T any] struct {
	Account  string
	Weight   float64 // weight of the account in fair queueing
	Cost     float64 // predicted number of tokens of the request, charged to the account
	Priority int     // from 0 to Bands-1, which is served first
	Arrived  time.Time
	Deadline time.Time // Advance drops the item from this time on
	Value    T

	band int
}

// account is one client account's backlog in a band.
type account[T any] struct {
	name        string
	virtualTime float64 // service received, in tokens divided by weight
	items       []*Item[T]
}

// band serves its accounts by start-time fair queueing: the account with the
// least virtual time is next, and each served item adds its cost divided by the
// account's weight to that virtual time.
type band[T any] struct {
	accounts    map[string]*account[T]
	virtualTime float64 // virtual time that the account served last had before its charge; never decreases
}

// Queue orders waiting requests by priority band with ageing, then by weighted
// fair queueing over client accounts, then by arrival. The zero value is empty
// and ready to use.
type Queue[T any] struct {
	bands  [Bands]band[T]
	length int
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a request. Requests of one account are ordered by arrival time, so a
// request that has already waited elsewhere keeps its place.
func (q *Queue[T]) Push(it *Item[T], now time.Time) {
	it.band = it.bandAt(now)
	q.bands[it.band].push(it)
	q.length++
}

// bandAt returns the item's band at the given time. It rises with age from the
// item's priority to the top band.
func (it *Item[T]) bandAt(now time.Time) int {
	p := min(max(it.Priority, 0), Bands-1)
	ageingTime := float64(it.Deadline.Sub(it.Arrived)) * ageingShare
	if ageingTime <= 0 {
		return Bands - 1
	}
	bandsRisen := float64(Bands-1-p) * float64(now.Sub(it.Arrived)) / ageingTime
	return min(Bands-1, p+max(0, int(bandsRisen)))
}

// push inserts the item into its account's backlog.
func (b *band[T]) push(it *Item[T]) {
	if b.accounts == nil {
		b.accounts = map[string]*account[T]{}
	}
	a := b.accounts[it.Account]
	if a == nil {
		a = &account[T]{name: it.Account, virtualTime: b.virtualTime}
		b.accounts[it.Account] = a
	}
	if len(a.items) == 0 {
		// An account earns no credit while it has nothing waiting.
		a.virtualTime = max(a.virtualTime, b.virtualTime)
	}
	index, _ := slices.BinarySearchFunc(a.items, it, func(x, y *Item[T]) int {
		return cmp.Or(x.Arrived.Compare(y.Arrived), -1) // inserted after items with the same arrival time
	})
	a.items = slices.Insert(a.items, index, it)
}

// Remove removes an item without charging its account.
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

// Serve removes an item and charges its cost to its account.
func (q *Queue[T]) Serve(it *Item[T]) {
	q.Remove(it)
	b := &q.bands[it.band]
	a := b.accounts[it.Account]
	b.virtualTime = max(b.virtualTime, a.virtualTime)
	a.virtualTime += it.Cost / max(it.Weight, 1e-9)
}

// Advance moves requests to the bands that match their age. It removes and
// returns the requests whose deadline has been reached.
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
			if len(a.items) == 0 && a.virtualTime <= b.virtualTime {
				delete(b.accounts, name)
			}
		}
	}
	return dropped
}

// All iterates over the waiting requests in the order of service. The queue must
// not be modified during the iteration.
func (q *Queue[T]) All() iter.Seq[*Item[T]] {
	return func(yield func(*Item[T]) bool) {
		for n := Bands - 1; n >= 0; n-- {
			for _, a := range q.bands[n].sortedAccounts() {
				for _, it := range a.items {
					if !yield(it) {
						return
					}
				}
			}
		}
	}
}

// sortedAccounts returns the accounts with waiting requests in the order of
// service.
func (b *band[T]) sortedAccounts() []*account[T] {
	var out []*account[T]
	for _, a := range b.accounts {
		if len(a.items) > 0 {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *account[T]) int {
		return cmp.Or(cmp.Compare(x.virtualTime, y.virtualTime), cmp.Compare(x.name, y.name))
	})
	return out
}
