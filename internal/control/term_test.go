package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer to a renewal between the decision that a session has
// expired and the commit of its end. Caught mutation: extend without the check
// of ended.
func TestExpiredSessionIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &term{leases: map[uint64]*lease{}}
		assert.Assert(t, m.extend(7))
		time.Sleep(sessionExpiry)
		assert.Equal(t, len(m.expired(map[uint64]bool{7: true})), 0)
		time.Sleep(time.Millisecond)
		assert.DeepEqual(t, m.expired(map[uint64]bool{7: true}), []uint64{7})
		assert.Assert(t, !m.extend(7))
		_, alive := m.acknowledge(7, 1)
		assert.Assert(t, !alive)
		assert.DeepEqual(t, m.expired(map[uint64]bool{7: true}), []uint64{7}) // the end is proposed again
	})
}
