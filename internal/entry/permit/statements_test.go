package permit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// Guards against a faulty target that keeps itself out of use for good, and against statements
// that are ignored since many targets have left before.
func TestLeavingIsBelievedForAnHourHoweverManyLeave(t *testing.T) {
	var a Acquirer
	shard, now := session.ShardKey{Team: "t", Service: "s"}, time.Unix(1000, 0)
	permitOf := func(n int) *api.Permit {
		return &api.Permit{Target: fmt.Sprint("target-", n), Incarnation: "1"}
	}
	for n := range 2 * maxAvoided {
		now = now.Add(time.Millisecond)
		assert.Assert(t, a.MarkLeaving(shard, permitOf(n), now))
		assert.Assert(t, a.CheckStatements(shard, permitOf(n), now) != nil)
	}
	assert.Equal(t, len(a.leaving.until), maxAvoided)
	last := permitOf(2*maxAvoided - 1)
	assert.Assert(t, !a.MarkLeaving(shard, last, now.Add(time.Minute)), "known")
	now = now.Add(statement.MaxLeaving)
	assert.NilError(t, a.CheckStatements(shard, last, now))
	assert.Equal(t, len(a.incarnationsToExclude(Requirements{Team: "t", Service: "s"}, 0, now)), 0)
	assert.Assert(t, !a.MarkLeaving(shard, last, now), "a faulty target that repeats it")
	assert.NilError(t, a.CheckStatements(shard, last, now))
}
