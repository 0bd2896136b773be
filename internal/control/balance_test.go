package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// balanceFixture is a planner for one region in which all instances have been
// renewing their sessions for a minute.
type balanceFixture struct {
	planner
}

func newBalanceFixture(t *testing.T, shards, instances int) *balanceFixture {
	digest := peerauth.Digest("any")
	parsed, err := settings.Parse("t", fmt.Appendf(nil, "team = \"t\"\noperator_key_sha256 = [%q]\n[failure_domains.a]\nregion = \"r\"\n"+
		"[services.s]\nkind = \"engine\"\nmodels = [\"m\"]\ntarget_key_sha256 = [%q]\nshards = %d\n", digest, digest, shards))
	assert.NilError(t, err)
	b := &balanceFixture{}
	b.now = time.Unix(1_800_000_000, 0)
	b.leases = map[uint64]leaseView{}
	b.state = &model.State{
		Teams:       map[string]*model.Team{"t": {Name: "t", Revision: 1, Settings: parsed}},
		Sessions:    map[uint64]*model.Session{},
		Assignments: map[session.ShardKey]*model.Assignment{},
	}
	for id := uint64(1); id <= uint64(instances); id++ {
		b.addSession(id)
	}
	return b
}

func (b *balanceFixture) addSession(id uint64) {
	b.state.Sessions[id] = &model.Session{Instance: &api.Instance{Name: fmt.Sprintf("i-%d", id), Region: "r", FailureDomain: "a"}}
	b.leases[id] = leaseView{firstAck: b.now.Add(-time.Minute)}
}

// applyPlan applies one plan to the state as the replicated log would, treats
// every revocation as acknowledged, and returns the number of changes.
func (b *balanceFixture) applyPlan() int {
	b.movingShards = 0
	changes := b.plan()
	for _, c := range changes {
		k := session.KeyOf(c.GetShard())
		a := b.state.Assignments[k]
		if a == nil {
			a = &model.Assignment{}
			b.state.Assignments[k] = a
		}
		switch x := c.GetAction().(type) {
		case *api.AssignmentChange_Revoke_:
			a.FormerOwner, a.Owner = a.Owner, 0
		case *api.AssignmentChange_Assign_:
			a.FormerOwner, a.Owner = 0, x.Assign.GetOwnerSession()
		}
	}
	return len(changes)
}

func (b *balanceFixture) planUntilStable(t *testing.T) {
	for range 1000 {
		if b.applyPlan() == 0 {
			return
		}
	}
	t.Fatal("the assignment does not converge")
}

func (b *balanceFixture) maxShardsPerOwner() int {
	owned, most := map[uint64]int{}, 0
	for _, a := range b.state.Assignments {
		owned[a.Owner]++
		most = max(most, owned[a.Owner])
	}
	return most
}

// Guards against instances that own too many shards by chance, against shards
// that never stop moving, and against the loss of one instance moving more than
// its share of the shards.
// Mutations that this test detects: bestOwnerWithin ignores the shard limit;
// planOwnedShard does not call shouldMove.
func TestShardsAreBalancedAndAssignmentConverges(t *testing.T) {
	const shards, instances = 150, 93
	b := newBalanceFixture(t, shards, instances)
	b.planUntilStable(t)
	assert.Equal(t, len(b.state.Assignments), shards)
	assert.Assert(t, b.maxShardsPerOwner() <= 3, "one instance owns %d of %d shards", b.maxShardsPerOwner(), shards)

	before := b.owners()
	removed := before[session.ShardKey{Team: "t", Service: "s", Region: "r"}]
	delete(b.state.Sessions, removed)
	delete(b.leases, removed)
	for _, a := range b.state.Assignments {
		if a.Owner == removed {
			a.Owner = 0
		}
	}
	b.planUntilStable(t)
	assert.Assert(t, b.maxShardsPerOwner() <= 3)
	moved := 0
	for k, owner := range b.owners() {
		if owner != before[k] {
			moved++
		}
	}
	assert.Assert(t, moved <= 12, "the loss of one instance moved %d shards", moved)
}

func (b *balanceFixture) owners() map[session.ShardKey]uint64 {
	out := map[session.ShardKey]uint64{}
	for k, a := range b.state.Assignments {
		out[k] = a.Owner
	}
	return out
}
