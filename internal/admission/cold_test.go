package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a cold target that is pushed over: demo seed 2 gave engines
// that bear 4 sequences 8 of them, because their time between tokens was good
// at 4. Caught mutations: climb without the check of announced; Allowed
// without ColdLimit.
func TestAnnouncedColdTargetStaysAtColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimit(32)
		l.Resume(rapid.IntRange(0, 32).Draw(t, "reported running"))
		l.Announce(true)
		for range rapid.IntRange(1, 20).Draw(t, "intervals") {
			gap := time.Duration(rapid.IntRange(1, 60).Draw(t, "gap")) * time.Millisecond
			l.Observe(Sample{Gap: gap, InFlight: rapid.IntRange(0, 8).Draw(t, "in flight"), Wanted: true}, 31*time.Millisecond)
			assert.Assert(t, l.Allowed() <= ColdLimit, "allowed %d", l.Allowed())
		}
		l.Announce(false)
		assert.Assert(t, l.Allowed() <= ColdLimit, "the ramp starts where it was")
		for range 20 {
			l.Observe(Sample{Gap: 20 * time.Millisecond, InFlight: l.Allowed(), Wanted: true}, 31*time.Millisecond)
		}
		assert.Equal(t, l.Allowed(), 32)
	})
}
