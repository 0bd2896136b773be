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

// balanceCase is a planner over one region with acknowledging instances.
type balanceCase struct {
	planner
}

func newBalanceCase(t *testing.T, shards, instances int) *balanceCase {
	digest := peerauth.Digest("any")
	parsed, err := settings.Parse("t", fmt.Appendf(nil, "team = \"t\"\noperator_key_sha256 = [%q]\n[failure_domains.a]\nregion = \"r\"\n"+
		"[services.s]\nkind = \"engine\"\nmodels = [\"m\"]\ntarget_key_sha256 = [%q]\nshards = %d\n", digest, digest, shards))
	assert.NilError(t, err)
	b := &balanceCase{}
	b.now = time.Unix(1_800_000_000, 0)
	b.leases = map[uint64]leaseView{}
	b.state = &model.State{
		Teams:       map[string]*model.Team{"t": {Name: "t", Revision: 1, Settings: parsed}},
		Sessions:    map[uint64]*model.Session{},
		Assignments: map[session.ShardKey]*model.Assignment{},
	}
	for id := uint64(1); id <= uint64(instances); id++ {
		b.join(id)
	}
	return b
}

func (b *balanceCase) join(id uint64) {
	b.state.Sessions[id] = &model.Session{Instance: &api.Instance{Name: fmt.Sprintf("i-%d", id), Region: "r", FailureDomain: "a"}}
	b.leases[id] = leaseView{firstAck: b.now.Add(-time.Minute)}
}

// step applies one plan as the log does, with every revocation acknowledged,
// and returns how many shards moved or were placed.
func (b *balanceCase) step() int {
	b.moves = 0
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
			a.Former, a.Owner = a.Owner, 0
		case *api.AssignmentChange_Assign_:
			a.Former, a.Owner = 0, x.Assign.GetOwnerSession()
		}
	}
	return len(changes)
}

func (b *balanceCase) settle(t *testing.T) {
	for range 1000 {
		if b.step() == 0 {
			return
		}
	}
	t.Fatal("the assignment does not come to rest")
}

func (b *balanceCase) mostOwned() int {
	owned, most := map[uint64]int{}, 0
	for _, a := range b.state.Assignments {
		owned[a.Owner]++
		most = max(most, owned[a.Owner])
	}
	return most
}

// Guards against instances that own many shards by chance, against shards that
// go on moving, and against a join or a loss that moves more than its share.
// Caught mutations: bestWithin without the capacity; owned without betterPlace.
func TestShardsAreSpreadAndComeToRest(t *testing.T) {
	const shards, instances = 150, 93
	b := newBalanceCase(t, shards, instances)
	b.settle(t)
	assert.Equal(t, len(b.state.Assignments), shards)
	assert.Assert(t, b.mostOwned() <= 3, "one instance owns %d of %d shards", b.mostOwned(), shards)

	before := b.owners()
	lost := before[session.ShardKey{Team: "t", Service: "s", Region: "r"}]
	delete(b.state.Sessions, lost)
	delete(b.leases, lost)
	for _, a := range b.state.Assignments {
		if a.Owner == lost {
			a.Owner = 0
		}
	}
	b.settle(t)
	assert.Assert(t, b.mostOwned() <= 3)
	moved := 0
	for k, owner := range b.owners() {
		if owner != before[k] {
			moved++
		}
	}
	assert.Assert(t, moved <= 12, "the loss of one instance moved %d shards", moved)
}

func (b *balanceCase) owners() map[session.ShardKey]uint64 {
	out := map[session.ShardKey]uint64{}
	for k, a := range b.state.Assignments {
		out[k] = a.Owner
	}
	return out
}
