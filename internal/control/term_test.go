package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against granting a renewal between the decision that a session has
// expired and the commit of its end.
// Mutation that this test detects: extendLease does not check ended.
func TestExpiredSessionIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := &term{leases: map[uint64]*lease{}}
		assert.Assert(t, tm.extendLease(7))
		time.Sleep(sessionExpiry)
		assert.Equal(t, len(tm.markExpired(map[uint64]bool{7: true})), 0)
		time.Sleep(time.Millisecond)
		assert.DeepEqual(t, tm.markExpired(map[uint64]bool{7: true}), []uint64{7})
		assert.Assert(t, !tm.extendLease(7))
		_, alive := tm.acknowledge(7, 1)
		assert.Assert(t, !alive)
		assert.DeepEqual(t, tm.markExpired(map[uint64]bool{7: true}), []uint64{7}) // the session is returned again, so that its end is proposed again
	})
}
