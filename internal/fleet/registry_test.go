package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testInterval = time.Second

type testClock struct{ current time.Time }

func (c *testClock) now() time.Time { return c.current }

func newTestRegistry() (*Registry, *testClock) {
	c := &testClock{current: time.Unix(1000, 0)}
	return NewRegistry(testInterval, c.now), c
}

func readyAnnouncement(id string, incarnation int64, sequence uint64) Announcement {
	return Announcement{ID: id, Service: "s", Address: "10.0.0.1:80", FailureDomain: "a", Incarnation: incarnation, Sequence: sequence, Slots: 4, State: Ready}
}

func asDraining(a Announcement) Announcement {
	a.State = Draining
	return a
}

func announcementOf(t *testing.T, r *Registry, id string) Announcement {
	t.Helper()
	all, _, _ := r.Since(0)
	for _, a := range all {
		if a.ID == id {
			return a
		}
	}
	t.Fatalf("%s is not known", id)
	return Announcement{}
}

// Guards against a leaving target that gets work again because an earlier
// announcement arrives late.
func TestLateAnnouncementDoesNotRestoreLeavingTarget(t *testing.T) {
	r, _ := newTestRegistry()
	r.Announce(readyAnnouncement("i1", 5, 3), false)
	r.Announce(asDraining(readyAnnouncement("i1", 5, 4)), false)
	r.Announce(readyAnnouncement("i1", 5, 9), false)
	assert.Equal(t, announcementOf(t, r, "i1").State, Draining)
	r.Announce(Announcement{ID: "i1", State: Gone}, false)
	r.Announce(readyAnnouncement("i1", 5, 10), false)
	assert.Equal(t, announcementOf(t, r, "i1").State, Gone)
	// An announcement with the same ID and a later start is of another incarnation.
	r.Announce(readyAnnouncement("i1", 6, 1), false)
	assert.Equal(t, announcementOf(t, r, "i1").State, Ready)
	r.Announce(asDraining(readyAnnouncement("i1", 5, 99)), false)
	assert.Equal(t, announcementOf(t, r, "i1").State, Ready)
}

// Guards against work for a target whose address now belongs to another target,
// also after a late announcement from the former one.
func TestAddressBelongsToNewestTarget(t *testing.T) {
	r, _ := newTestRegistry()
	r.Announce(readyAnnouncement("old", 5, 3), false)
	r.Announce(readyAnnouncement("new", 9, 1), false)
	assert.Equal(t, announcementOf(t, r, "old").State, Gone)
	r.Announce(readyAnnouncement("old", 5, 4), false)
	assert.Equal(t, announcementOf(t, r, "old").State, Gone)
	assert.Equal(t, announcementOf(t, r, "new").State, Ready)
}

// Guards against a crashed target that stays ready, and against a target that
// becomes silent because of one late announcement.
func TestTargetWithoutAnnouncementsBecomesSilent(t *testing.T) {
	r, c := newTestRegistry()
	r.Announce(readyAnnouncement("i1", 5, 1), false)
	c.current = c.current.Add(2 * testInterval)
	r.Sweep()
	assert.Equal(t, announcementOf(t, r, "i1").State, Ready)
	c.current = c.current.Add(3 * testInterval)
	r.Sweep()
	assert.Equal(t, announcementOf(t, r, "i1").State, Silent)
	r.Announce(readyAnnouncement("i1", 5, 2), false)
	assert.Equal(t, announcementOf(t, r, "i1").State, Ready)
}

// Guards against publishing announcements that change nothing, and against a
// reader that misses a change.
func TestOnlyChangesArePublished(t *testing.T) {
	r, c := newTestRegistry()
	r.Announce(readyAnnouncement("i1", 5, 1), false)
	_, cursor, changed := r.Since(0)
	r.Announce(readyAnnouncement("i1", 5, 2), false)
	changes, _, _ := r.Since(cursor)
	assert.Equal(t, len(changes), 0)
	cold := readyAnnouncement("i1", 5, 3)
	cold.ColdRemaining = 2 * time.Second
	r.Announce(cold, false)
	<-changed
	c.current = c.current.Add(time.Second)
	changes, _, _ = r.Since(cursor)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].ColdRemaining, time.Second, "the rest of the cold time")
}

// Guards against a registry that grows without bound.
func TestRegistryIsBounded(t *testing.T) {
	r, c := newTestRegistry()
	for i := range maxTargets + 1 {
		a := readyAnnouncement(time.Unix(int64(i), 0).String(), 1, 1)
		a.Address = ""
		_, ok := r.Announce(a, false)
		assert.Equal(t, ok, i < maxTargets)
	}
	c.current = c.current.Add(time.Hour)
	r.Sweep() // marks the targets silent
	r.Sweep() // deletes the records of the silent targets
	all, _, _ := r.Since(0)
	assert.Equal(t, len(all), 0)
}

// Guards against readers that miss a change, receive an outdated one or receive
// changes out of order while the history is trimmed.
func TestReadersReceiveEachChange(t *testing.T) {
	r, c := newTestRegistry()
	rng := rand.New(rand.NewPCG(1, 2))
	known := map[string]Announcement{}
	var cursor uint64
	for round := range 2000 {
		id := fmt.Sprintf("i%d", rng.IntN(20))
		a := Announcement{
			ID: id, Service: "s", Address: id + ":1", FailureDomain: "a", Incarnation: int64(round), Sequence: 1, Slots: 4, State: Ready,
		}
		if rng.IntN(4) == 0 {
			a = Announcement{ID: id, State: Gone}
		}
		r.Announce(a, false)
		if rng.IntN(50) == 0 {
			c.current = c.current.Add(recordRetention + time.Second)
			r.Sweep()
		}
		if rng.IntN(10) > 0 {
			continue
		}
		changes, last, _ := r.Since(cursor)
		for _, a := range changes {
			known[a.ID] = a
		}
		cursor = last
		all, _, _ := r.Since(0)
		for _, a := range all {
			assert.DeepEqual(t, known[a.ID], a)
		}
		assert.Assert(t, len(r.history) <= (historyPerRecord+1)*(len(r.records)+minHistory))
	}
}

// BenchmarkSince measures reading one change among 3,000 targets, which each
// response to a watcher does.
func BenchmarkSince(b *testing.B) {
	r, _ := newTestRegistry()
	for i := range 3000 {
		a := readyAnnouncement(fmt.Sprintf("i%d", i), 5, 1)
		a.Address = a.ID + ":1"
		r.Announce(a, false)
	}
	for b.Loop() {
		_, _, _ = r.Since(r.lastNumber - 1)
	}
}

// Guards against a delayed announcement of a target that has ended, which arrives after
// a later one has started at its address, also when no control instance remembers it.
func TestDelayedAnnouncementOfReplacedTargetNamesNoTarget(t *testing.T) {
	r, _ := newTestRegistry()
	r.Announce(readyAnnouncement("new", 9, 1), false)
	r.Announce(readyAnnouncement("old", 5, 70), false)
	assert.Equal(t, announcementOf(t, r, "old").State, Gone)
	assert.Equal(t, announcementOf(t, r, "new").State, Ready)
	r.Announce(readyAnnouncement("old", 5, 71), false)
	assert.Equal(t, announcementOf(t, r, "old").State, Gone)
}

// Guards against a target that is out of use for good since the withdrawal of its earlier
// incarnation, at a control instance that did not know it, arrives after its first announcement
// through another one.
func TestLateWithdrawalDoesNotConcernTheNextIncarnation(t *testing.T) {
	forgetful, c := newTestRegistry()
	views := NewViewStore(nil, c.now)
	state := func() TargetState {
		v, _ := views.View()
		return v.Targets["i1"].State
	}
	views.Merge(nil, []Announcement{readyAnnouncement("i1", 5, 9)})
	forgetful.Announce(Announcement{ID: "i1", State: Gone}, false)
	c.current = c.current.Add(time.Second)
	views.Merge(nil, []Announcement{readyAnnouncement("i1", 6, 1)})
	c.current = c.current.Add(time.Second)
	late, _, _ := forgetful.Since(0)
	views.Merge(nil, late)
	assert.Equal(t, state(), Ready)
	views.Merge(nil, []Announcement{readyAnnouncement("i1", 6, 2)})
	assert.Equal(t, state(), Ready)

	c.current = c.current.Add(time.Second)
	_, cursor, _ := forgetful.Since(0)
	forgetful.Announce(Announcement{ID: "i1", State: Gone}, false)
	current, _, _ := forgetful.Since(cursor)
	views.Merge(nil, current)
	assert.Equal(t, state(), Gone, "the withdrawal of the next incarnation, at the same control instance")
}

// Guards against a withdrawal that another control instance, which has heard of the next
// incarnation, takes for that one's.
func TestRelayedWithdrawalNamesItsIncarnation(t *testing.T) {
	r, _ := newTestRegistry()
	r.Announce(readyAnnouncement("i1", 5, 3), false)
	withdrawal := Announcement{ID: "i1", State: Gone}
	r.Announce(withdrawal, false)
	relayed := r.resolve(withdrawal)
	assert.Equal(t, relayed.Incarnation, int64(5))
	assert.Equal(t, relayed.State, Gone)
	other, _ := newTestRegistry()
	other.Announce(readyAnnouncement("i1", 6, 1), false)
	other.Announce(relayed, true)
	assert.Equal(t, announcementOf(t, other, "i1").State, Ready)
}
