package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a list of entry instances that is not updated when one starts,
// changes its address, disconnects or leaves.
func TestEntryInstancesListsLiveWatchers(t *testing.T) {
	c := &testClock{current: time.Unix(1000, 0)}
	w := NewWatchers(c.now)
	list := func() string {
		out := ""
		live, version := w.EntryInstances()
		assert.Equal(t, version, listVersion(live))
		for _, x := range live {
			out += x.Name + "@" + x.Address + " "
		}
		return out
	}
	assert.Equal(t, list(), "")
	end := w.BeginPoll(Watcher{Name: "e2", Address: "2"}, 0, time.Second)
	w.BeginPoll(Watcher{Name: "e1", Address: "1"}, 0, time.Minute)
	w.BeginPoll(Watcher{Name: "c1"}, 0, time.Minute)
	assert.Equal(t, list(), "e1@1 e2@2 ")
	w.BeginPoll(Watcher{Name: "e1", Address: "3"}, 0, time.Minute)
	assert.Equal(t, list(), "e1@3 e2@2 ")
	end(true)
	c.current = c.current.Add(time.Millisecond)
	assert.Equal(t, list(), "e1@3 ")
	w.BeginPoll(Watcher{Name: "e1", Address: "3", Leaving: true}, 0, time.Minute)
	assert.Equal(t, list(), "")
}

// BenchmarkEntryInstances measures listing 300 instances, which each response to
// a watcher does.
func BenchmarkEntryInstances(b *testing.B) {
	w := NewWatchers(time.Now)
	for i := range 300 {
		w.BeginPoll(Watcher{Name: fmt.Sprintf("e%d", i), Address: "a", InternalAddress: "b"}, 0, time.Hour)
	}
	for b.Loop() {
		_, _ = w.EntryInstances()
	}
}

// Guards against a list whose version stays the same although an instance has moved:
// watchers would keep the old address or failure domain.
func TestListVersionCoversEachProperty(t *testing.T) {
	base := Watcher{Name: "e", Region: "r", FailureDomain: "a", Address: "1", InternalAddress: "2"}
	for name, change := range map[string]func(*Watcher){
		"address":          func(w *Watcher) { w.Address = "3" },
		"internal address": func(w *Watcher) { w.InternalAddress = "3" },
		"region":           func(w *Watcher) { w.Region = "s" },
		"failure domain":   func(w *Watcher) { w.FailureDomain = "b" },
	} {
		changed := base
		change(&changed)
		assert.Assert(t, listVersion([]Watcher{base}) != listVersion([]Watcher{changed}), name)
	}
}

// Guards against hundreds of instances that are each called for every change, and
// against changes that reach the instances with traffic late.
func TestGatherTimesGrowWithWatchers(t *testing.T) {
	c := &testClock{current: time.Unix(1000, 0)}
	w := NewWatchers(c.now)
	for i := range 6 {
		w.BeginPoll(Watcher{Name: fmt.Sprintf("e%d", i), Address: "a", FailureDomain: fmt.Sprint(i)}, 0, time.Minute)
	}
	assert.Assert(t, w.GatherTimes("e1").Urgent < time.Millisecond)
	for i := range 300 {
		w.BeginPoll(Watcher{Name: fmt.Sprintf("x%d", i), Address: "a", FailureDomain: "1"}, 0, time.Minute)
	}
	serving := 0
	for i := range 300 {
		g := w.GatherTimes(fmt.Sprintf("x%d", i))
		assert.Assert(t, g.Urgent <= maxGatherIdle && g.Other <= maxGatherIdle)
		if g.Urgent <= maxGatherUrgent {
			serving++
			continue
		}
		assert.Equal(t, g.Urgent, maxGatherIdle)
	}
	assert.Assert(t, serving > 0 && serving <= minServing, "%d", serving)
}
