package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a list of instances that stays as it was when one leaves,
// moves, ends or comes.
func TestCallableFollowsTheWatchers(t *testing.T) {
	c := &testClock{at: time.Unix(1000, 0)}
	w := NewWatchers(c.now)
	list := func() string {
		out := ""
		live, version := w.Callable()
		assert.Equal(t, version, listVersion(live))
		for _, x := range live {
			out += x.Name + "@" + x.Address + " "
		}
		return out
	}
	assert.Equal(t, list(), "")
	end := w.Begin(Watcher{Name: "e2", Address: "2"}, 0, time.Second)
	w.Begin(Watcher{Name: "e1", Address: "1"}, 0, time.Minute)
	w.Begin(Watcher{Name: "c1"}, 0, time.Minute)
	assert.Equal(t, list(), "e1@1 e2@2 ")
	w.Begin(Watcher{Name: "e1", Address: "3"}, 0, time.Minute)
	assert.Equal(t, list(), "e1@3 e2@2 ")
	end(true)
	c.at = c.at.Add(time.Millisecond)
	assert.Equal(t, list(), "e1@3 ")
	w.Begin(Watcher{Name: "e1", Address: "3", Leaving: true}, 0, time.Minute)
	assert.Equal(t, list(), "")
}

// BenchmarkCallable is the list of 300 instances, as each answer to a watcher
// needs it.
func BenchmarkCallable(b *testing.B) {
	w := NewWatchers(time.Now)
	for i := range 300 {
		w.Begin(Watcher{Name: fmt.Sprintf("e%d", i), Address: "a", Internal: "b"}, 0, time.Hour)
	}
	for b.Loop() {
		_, _ = w.Callable()
	}
}
