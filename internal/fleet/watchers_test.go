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
