package measure

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

const second = 1_000_000

// Guards against an idle share that misses free engines while requests wait,
// counts free engines while none wait, or assumes the capacity of a warm engine
// for a cold one.
func TestIdleCountsFreeCapacityOnlyWhileWorkWaits(t *testing.T) {
	// One request is due at the start and is accepted half a second later.
	r := loadgen.Report{EndedAt: 2 * second, Generations: []loadgen.GenerationTimes{{Due: 0, FirstToken: 600_000}}}
	engines := []engine.Record{{Work: []engine.Work{{AcceptedAt: second / 2, EndedAt: second}}}}
	got := idleShare(r, engines, Capacity{Warm: 1, Cold: 1}, second)
	assert.Assert(t, got > 0.47 && got < 0.49, "%v", got)

	// The engine runs another generation until it accepts the request, so no slot is idle.
	full := []engine.Record{{Work: []engine.Work{{AcceptedAt: -second, EndedAt: second / 2}, {AcceptedAt: second / 2, EndedAt: second}}}}
	assert.Equal(t, idleShare(r, full, Capacity{Warm: 1, Cold: 1}, second), 0.0)

	// A cold engine that can run one sequence, and runs one, has no idle slot.
	cold := []engine.Record{{Cold: []engine.Period{{From: -second}}, Work: full[0].Work}}
	assert.Equal(t, idleShare(r, cold, Capacity{Warm: 10, Cold: 1}, second), 0.0)
	assert.Assert(t, idleShare(r, full, Capacity{Warm: 10, Cold: 1}, second) > 0)

	// A request that is refused counts as waiting from its due time to its refusal.
	refused := loadgen.Report{EndedAt: 2 * second, Generations: []loadgen.GenerationTimes{{Due: 0, End: second / 4}}}
	got = idleShare(refused, []engine.Record{{}}, Capacity{Warm: 1}, second)
	assert.Assert(t, got > 0.22 && got < 0.24, "%v", got)
}
