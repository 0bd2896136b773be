package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against the overload of a target that announces that it is cold. In the
// demo with seed 2, engines that can run 4 sequences while cold were given 8,
// because their time between tokens was good at 4. Mutations that this test
// detects: adjustRamp does not check announcedCold; Allowed does not apply
// ColdLimit.
func TestAnnouncedColdTargetStaysAtColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimit(32)
		l.ResumeRamp(rapid.IntRange(0, 32).Draw(t, "reported running"))
		l.SetAnnouncedCold(true)
		for range rapid.IntRange(1, 20).Draw(t, "intervals") {
			gap := time.Duration(rapid.IntRange(1, 60).Draw(t, "gap")) * time.Millisecond
			l.ObserveInterval(Sample{Gap: gap, InFlight: rapid.IntRange(0, 8).Draw(t, "in flight"), LimitReached: true}, 31*time.Millisecond)
			assert.Assert(t, l.Allowed() <= ColdLimit, "allowed %d", l.Allowed())
		}
		l.SetAnnouncedCold(false)
		assert.Assert(t, l.Allowed() <= ColdLimit, "the ramp must rise only after the next interval")
		for range 20 {
			l.ObserveInterval(Sample{Gap: 20 * time.Millisecond, InFlight: l.Allowed(), LimitReached: true}, 31*time.Millisecond)
		}
		assert.Equal(t, l.Allowed(), 32)
	})
}
