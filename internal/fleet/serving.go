package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxServingPerDomain is the number of entry instances in one failure domain that
// callers are sent to.
const maxServingPerDomain = 4

// selectServing returns the entry instances that callers are sent to, sorted by
// name: up to perDomain of the live instances in each failure domain.
//
// It answers a deployment with many more entry instances than its load needs. A few
// instances that each see many requests know the targets' loads and failures better,
// reuse their connections more and share fewer limits than many that each see few.
// The order of preference is a hash of the name, so that all control instances
// select the same ones, and one that starts or ends changes at most one other.
func selectServing(live []Watcher, perDomain int) []Watcher {
	preferred := slices.SortedFunc(slices.Values(live), func(a, b Watcher) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), strings.Compare(a.Name, b.Name))
	})
	selected := map[string]int{} // number of instances selected, by failure domain
	out := slices.DeleteFunc(preferred, func(w Watcher) bool {
		selected[w.FailureDomain]++
		return selected[w.FailureDomain] > perDomain
	})
	slices.SortFunc(out, func(a, b Watcher) int { return strings.Compare(a.Name, b.Name) })
	return out
}
