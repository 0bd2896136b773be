package fleet

import (
	"fmt"
	"testing"

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

// Guards against callers that are spread over hundreds of instances, of which each
// sees too few requests to know the targets, and against a failure domain without an
// instance.
func TestServingInstancesAreBoundedInEachDomain(t *testing.T) {
	const perDomain = 4
	selected := map[string]int{}
	for _, w := range selectServing(append(liveEntries(49, "a", "b", "c"), liveEntries(2, "d")...), perDomain) {
		selected[w.FailureDomain]++
	}
	assert.DeepEqual(t, selected, map[string]int{"a": perDomain, "b": perDomain, "c": perDomain, "d": 2})
}

// Guards against callers' connections that move to other instances whenever one
// starts or ends, and against a selection that depends on the order of the list.
func TestServingInstancesChangeWithTheirOwnOnly(t *testing.T) {
	const perDomain = 4
	live := liveEntries(20, "a")
	before := selectServing(live, perDomain)
	for i := range live {
		rest := append(append([]Watcher{}, live[i+1:]...), live[:i]...)
		kept := 0
		for _, w := range selectServing(rest, perDomain) {
			for _, b := range before {
				if b.Name == w.Name {
					kept++
				}
			}
		}
		assert.Assert(t, kept >= perDomain-1, "without %s", live[i].Name)
	}
}
