package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// minServing is the number of entry instances of a failure domain that callers are
	// sent to while their load is low. Fewer would cut more streams at once when one
	// fails.
	minServing = 4
	// shrinkLoad is how many times the load must fit into fewer instances before their
	// number is reduced. Callers close their connections to an instance that is no
	// longer listed.
	shrinkLoad = 1.5
)

// servingSize returns how many entry instances of a failure domain callers are sent to.
// load is the work of all its instances, in multiples of what one is planned to do;
// previous is the number so far.
//
// It answers a deployment with many more entry instances than its load needs. A few
// instances that each see many requests know the targets' loads and failures better,
// reuse their connections more and share fewer limits than many that each see few.
func servingSize(load float64, previous int) int {
	needed := max(minServing, int(math.Ceil(load)))
	if needed >= previous {
		return needed
	}
	return max(needed, min(previous, int(math.Ceil(load*shrinkLoad))))
}

// selectServing returns the entry instances that callers are sent to, sorted by name:
// of each failure domain as many live ones as sizes gives. The order of preference is a
// hash of the name, so that all control instances select the same ones, and one that
// starts or ends changes at most one other.
func selectServing(live []Watcher, sizes map[string]int) []Watcher {
	preferred := slices.SortedFunc(slices.Values(live), func(a, b Watcher) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), strings.Compare(a.Name, b.Name))
	})
	selected := map[string]int{} // number of instances selected, by failure domain
	out := slices.DeleteFunc(preferred, func(w Watcher) bool {
		selected[w.FailureDomain]++
		return selected[w.FailureDomain] > sizes[w.FailureDomain]
	})
	slices.SortFunc(out, func(a, b Watcher) int { return strings.Compare(a.Name, b.Name) })
	return out
}
