package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// Guards against new work for a target that said in an answer that it leaves, because it
// announces that it is ready; and against a faulty target that is out of use for good.
func TestTargetThatSaysItLeavesGetsNoPermits(t *testing.T) {
	m := newShardDriver("llm")
	ready := func(incarnation string) {
		m.announce(0, &api.Announcement{Incarnation: incarnation, MaxRunning: 4, MemoryTokens: 8000})
	}
	ready("x")
	name := m.Targets(m.now)[0].GetTarget()
	says := func(incarnation string) {
		m.RecordLeaving(&api.TargetIncarnation{Target: name, Incarnation: incarnation}, m.now)
	}
	says("earlier")
	assert.Equal(t, len(m.Targets(m.now)), 1, "an earlier incarnation says nothing of this one")
	says("x")
	ready("x")
	assert.Equal(t, m.grantUntilFull(t, "short", 10), 0)
	assert.Equal(t, m.Status(m.now)[0].GetLeaving(), true)
	m.now = m.now.Add(statement.MaxLeaving)
	ready("x")
	assert.Equal(t, len(m.Targets(m.now)), 1)
	says("x")
	ready("y")
	assert.Assert(t, m.grantUntilFull(t, "short", 10) > 0)
}
