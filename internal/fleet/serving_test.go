package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// liveEntries returns n entry instances in each of the given failure domains.
func liveEntries(n int, domains ...string) []Watcher {
	var out []Watcher
	for _, d := range domains {
		for i := range n {
			out = append(out, Watcher{Name: fmt.Sprintf("%s-%d", d, i), FailureDomain: d, Address: "a"})
		}
	}
	return out
}

func sizesFor(n int, domains ...string) map[string]int {
	out := map[string]int{}
	for _, d := range domains {
		out[d] = n
	}
	return out
}

// Guards against callers that are spread over hundreds of instances, of which each
// sees too few requests to know the targets, and against a failure domain without an
// instance.
func TestServingInstancesAreBoundedInEachDomain(t *testing.T) {
	const perDomain = minServing
	selected := map[string]int{}
	for _, w := range selectServing(append(liveEntries(49, "a", "b", "c"), liveEntries(2, "d")...), sizesFor(perDomain, "a", "b", "c", "d")) {
		selected[w.FailureDomain]++
	}
	assert.DeepEqual(t, selected, map[string]int{"a": perDomain, "b": perDomain, "c": perDomain, "d": 2})
}

// Guards against callers' connections that move to other instances whenever one
// starts or ends, and against a selection that depends on the order of the list.
func TestServingInstancesChangeWithTheirOwnOnly(t *testing.T) {
	const perDomain = minServing
	live := liveEntries(20, "a")
	before := selectServing(live, sizesFor(perDomain, "a"))
	for i := range live {
		rest := append(append([]Watcher{}, live[i+1:]...), live[:i]...)
		kept := 0
		for _, w := range selectServing(rest, sizesFor(perDomain, "a")) {
			for _, b := range before {
				if b.Name == w.Name {
					kept++
				}
			}
		}
		assert.Assert(t, kept >= perDomain-1, "without %s", live[i].Name)
	}
}

// Guards against instances that are overloaded while others of their failure domain are
// idle, and against a number of instances that follows every change of the load.
func TestServingSizeFollowsLoad(t *testing.T) {
	size := servingSize(0, 0)
	assert.Equal(t, size, minServing)
	size = servingSize(9.2, size)
	assert.Equal(t, size, 10, "a burst needs more instances at once")
	for _, load := range []float64{9, 7, 6.8, 9.9} {
		size = servingSize(load, size)
	}
	assert.Equal(t, size, 10, "a moderate change of the load moves no connections")
	assert.Equal(t, servingSize(2, size), minServing)
}

// Guards against a load that control instances do not hear of, and against one that
// stays counted after its instance has ended.
func TestListGrowsWithReportedLoad(t *testing.T) {
	c := &testClock{current: time.Unix(1000, 0)}
	w := NewWatchers(c.now)
	for _, e := range liveEntries(20, "a", "b") {
		w.BeginPoll(e, 0, time.Second)
	}
	live, _ := w.EntryInstances()
	assert.Equal(t, len(live), 2*minServing)
	for _, e := range live {
		if e.FailureDomain == "a" {
			w.SetLoad(e.Name, 2)
		}
	}
	c.current = c.current.Add(expiryCheckInterval)
	live, _ = w.EntryInstances()
	assert.Equal(t, len(live), 2*minServing+minServing)
	for _, e := range liveEntries(20, "a", "b") {
		w.SetLoad(e.Name, 0)
	}
	c.current = c.current.Add(expiryCheckInterval)
	live, _ = w.EntryInstances()
	assert.Equal(t, len(live), 2*minServing)
}
