package agreement

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against any sequence of lost, late, repeated and reordered messages,
// partitions, crashes, lost and failing disks that breaks a promise of the
// log. The failing seed and plan are printed and shrunk by rapid.
func TestSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimWorld(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters"))
		w.carryOut(drawPlan(rt))
		if w.broken != nil {
			rt.Fatalf("%v", w.broken)
		}
	})
}
