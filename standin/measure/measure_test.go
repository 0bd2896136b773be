package measure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

const second = 1_000_000

// Guards against an idle figure that misses free engines while work waits, that
// counts free engines when none waits, or that expects a cold engine to bear
// what a warm one does.
func TestIdleCountsFreeCapacityOnlyWhileWorkWaits(t *testing.T) {
	// One request is due at once and is accepted half a second later.
	r := loadgen.Report{EndedAt: 2 * second, Generations: []loadgen.GenerationTimes{{Due: 0, FirstToken: 600_000}}}
	engines := []engine.Record{{Work: []engine.Work{{AcceptedAt: second / 2, EndedAt: second}}}}
	got := idle(r, engines, Capacity{Warm: 1, Cold: 1}, second)
	assert.Assert(t, got > 0.47 && got < 0.49, "%v", got)

	// The engine is full with earlier work: nothing is idle.
	full := []engine.Record{{Work: []engine.Work{{AcceptedAt: -second, EndedAt: second / 2}, {AcceptedAt: second / 2, EndedAt: second}}}}
	assert.Equal(t, idle(r, full, Capacity{Warm: 1, Cold: 1}, second), 0.0)

	// A cold engine that bears one sequence has no second slot.
	cold := []engine.Record{{Cold: []engine.Period{{From: -second}}, Work: full[0].Work}}
	assert.Equal(t, idle(r, cold, Capacity{Warm: 10, Cold: 1}, second), 0.0)
	assert.Assert(t, idle(r, full, Capacity{Warm: 10, Cold: 1}, second) > 0)

	// A refused request waits until it is refused.
	refused := loadgen.Report{EndedAt: 2 * second, Generations: []loadgen.GenerationTimes{{Due: 0, End: second / 4}}}
	got = idle(refused, []engine.Record{{}}, Capacity{Warm: 1}, second)
	assert.Assert(t, got > 0.22 && got < 0.24, "%v", got)
}
