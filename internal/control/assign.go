package control

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

const (
	// rebalanceMinAge is how long an instance must have been renewing its session
	// before shards move to it from owners that could keep them. Without the wait,
	// a process that fails again right after its start moves its shards twice.
	rebalanceMinAge = 5 * time.Second
	// maxVoluntaryMoves limits how many shards at a time have no owner because
	// they are moving away from an owner that could have kept them.
	maxVoluntaryMoves = 8
	// shardSlackPercent is how far above the mean an instance's shard count may be.
	// Without this limit some instance gets five of 300 shards at 370 instances by
	// chance, and permit traffic then takes three times the 25 kB/s for control.
	shardSlackPercent = 25
)

// assignShards plans assignment changes and commits them.
func (s *Server) assignShards(ctx context.Context, t *term) {
	p := planner{now: time.Now(), leases: t.leaseViews()}
	var changes []*api.AssignmentChange
	s.machine.Read(func(st *model.State) {
		p.state = st
		changes = p.plan()
	})
	if len(changes) == 0 || !s.confirmedLeader(t) {
		return
	}
	_, err := s.propose(ctx, &api.StateCommand{Body: &api.StateCommand_ChangeAssignments{
		ChangeAssignments: &api.ChangeAssignments{Changes: changes},
	}})
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Msg("assignments not committed")
		return
	}
	for _, c := range changes {
		s.recordAssignment(c)
	}
}

// recordAssignment records a committed assignment change in the timeline.
func (s *Server) recordAssignment(c *api.AssignmentChange) {
	shard := session.KeyOf(c.GetShard()).String()
	switch a := c.GetAction().(type) {
	case *api.AssignmentChange_Revoke_:
		s.cfg.Timeline.Record("shard_revoked", "shard", shard)
	case *api.AssignmentChange_Assign_:
		s.cfg.Timeline.Record("shard_assigned", "shard", shard, "session", formatUint(a.Assign.GetOwnerSession()))
	case *api.AssignmentChange_Remove_:
		s.cfg.Timeline.Record("shard_removed", "shard", shard)
	}
}

// planner decides which instance owns which shard. It has no side effects on the
// server and depends only on the state, leases and time that it is given.
type planner struct {
	now          time.Time
	state        *model.State
	leases       map[uint64]leaseView
	movingShards int // number of shards without an owner whose former owner's session still exists, including the moves planned so far

	shardCount map[uint64]int // number of shards owned, by session
	maxShards  map[string]int // limit on the number of shards of one session, by region
}

// plan returns the next changes: it revokes shards from owners that may not keep
// them, assigns shards whose former owner has certainly stopped using them, and
// removes shards that the settings no longer define.
func (p *planner) plan() []*api.AssignmentChange {
	var changes []*api.AssignmentChange
	wanted := map[session.ShardKey]bool{}
	p.shardCount = map[uint64]int{}
	for _, a := range p.state.Assignments {
		if a.Owner == 0 && a.FormerOwner != 0 {
			p.movingShards++
		}
		if a.Owner != 0 {
			p.shardCount[a.Owner]++
		}
	}
	shards := query.Shards(p.state)
	p.maxShards = p.shardCapacities(shards)
	for _, k := range shards {
		wanted[k] = true
		if c := p.planShard(k); c != nil {
			changes = append(changes, c)
		}
	}
	for _, k := range p.state.SortedShards() {
		if !wanted[k] {
			if c := p.planRemoval(k); c != nil {
				changes = append(changes, c)
			}
		}
	}
	return changes
}

// planShard returns the next change for a shard that the settings define, or nil.
func (p *planner) planShard(k session.ShardKey) *api.AssignmentChange {
	a := p.state.Assignments[k]
	if a == nil {
		a = &model.Assignment{}
	}
	if a.Owner != 0 {
		return p.planOwnedShard(k, a)
	}
	if !p.isReleased(a) {
		return nil
	}
	best := p.bestOwner(k, 0)
	if best == 0 {
		return nil
	}
	p.shardCount[best]++
	c := newChange(k, a)
	c.Action = &api.AssignmentChange_Assign_{Assign: &api.AssignmentChange_Assign{OwnerSession: best, ReleasedSession: a.FormerOwner}}
	return c
}

// planOwnedShard returns nil if the owner keeps the shard, and otherwise the
// change that revokes the shard from its owner.
func (p *planner) planOwnedShard(k session.ShardKey, a *model.Assignment) *api.AssignmentChange {
	if p.mayOwn(k, p.state.Sessions[a.Owner]) {
		if p.movingShards >= maxVoluntaryMoves || !p.shouldMove(k, a.Owner) {
			return nil
		}
		p.movingShards++
	}
	p.shardCount[a.Owner]--
	return newRevocation(k, a)
}

// shouldMove reports whether the shard should move to another instance: either
// its owner has too many shards, or an instance below its shard limit has a
// higher score for the shard.
func (p *planner) shouldMove(k session.ShardKey, ownerID uint64) bool {
	best := p.bestOwner(k, rebalanceMinAge)
	if best == 0 {
		return false
	}
	return p.shardCount[ownerID] > p.maxShards[k.Region] || score(k, p.instanceName(best)) > score(k, p.instanceName(ownerID))
}

// shardCapacities returns, by region, how many shards one instance may own.
func (p *planner) shardCapacities(shards []session.ShardKey) map[string]int {
	wanted, instances := map[string]int{}, map[string]int{}
	for _, k := range shards {
		wanted[k.Region]++
	}
	for id, sess := range p.state.Sessions {
		if l := p.leases[id]; !l.ended && !l.firstAck.IsZero() && !sess.Replaced && !sess.Instance.GetDraining() {
			instances[sess.Instance.GetRegion()]++
		}
	}
	out := map[string]int{}
	for region, n := range wanted {
		total := (n*(100+shardSlackPercent) + 99) / 100
		out[region] = (total + max(1, instances[region]) - 1) / max(1, instances[region])
	}
	return out
}

// planRemoval returns the next change for a shard that the settings no longer
// define: first a revocation, then, once the former owner has acknowledged it,
// the removal. It returns nil while that acknowledgement is missing.
func (p *planner) planRemoval(k session.ShardKey) *api.AssignmentChange {
	a := p.state.Assignments[k]
	if a.Owner != 0 {
		return newRevocation(k, a)
	}
	if !p.isReleased(a) {
		return nil
	}
	c := newChange(k, a)
	c.Action = &api.AssignmentChange_Remove_{Remove: &api.AssignmentChange_Remove{ReleasedSession: a.FormerOwner}}
	return c
}

func newChange(k session.ShardKey, a *model.Assignment) *api.AssignmentChange {
	return &api.AssignmentChange{Shard: k.Proto(), ExpectedEpoch: a.Epoch}
}

func newRevocation(k session.ShardKey, a *model.Assignment) *api.AssignmentChange {
	c := newChange(k, a)
	c.Action = &api.AssignmentChange_Revoke_{Revoke: &api.AssignmentChange_Revoke{}}
	return c
}

// isReleased reports whether the former owner has certainly stopped using the
// shard because it has acknowledged a version that contains the revocation.
// a.FormerOwner is 0 if there is no former owner or its session has ended.
func (p *planner) isReleased(a *model.Assignment) bool {
	return a.FormerOwner == 0 || p.leases[a.FormerOwner].ackedVersion >= a.RevokedVersion
}

// mayOwn reports whether the session's instance may own the shard: the session
// is not replaced, the instance is not draining and is in the shard's region,
// and its failure domain is in service.
func (p *planner) mayOwn(k session.ShardKey, sess *model.Session) bool {
	t := p.state.Teams[k.Team]
	return sess != nil && !sess.Replaced && !sess.Instance.GetDraining() &&
		sess.Instance.GetRegion() == k.Region && t.Settings.FailureDomainInService(sess.Instance.GetFailureDomain())
}

// bestOwner returns the id of the session with the highest score among the
// sessions that may own the shard, are below their shard limit and have been
// renewing in this term for at least minAge. It returns 0 if there is none.
//
// The shard limit is computed as if instances whose failure domain is out of
// service owned their share of the shards, so all instances that may own the
// shard can be at their limit. If they are and minAge is 0, the limit is
// ignored.
func (p *planner) bestOwner(k session.ShardKey, minAge time.Duration) uint64 {
	if id := p.bestOwnerWithin(k, minAge, p.maxShards[k.Region]); id != 0 || minAge > 0 {
		return id
	}
	return p.bestOwnerWithin(k, minAge, math.MaxInt)
}

// bestOwnerWithin is bestOwner with capacity as the limit on the shards per
// session.
func (p *planner) bestOwnerWithin(k session.ShardKey, minAge time.Duration, capacity int) uint64 {
	var best, bestScore uint64
	for id, sess := range p.state.Sessions {
		l := p.leases[id]
		if p.shardCount[id] >= capacity || l.ended || l.firstAck.IsZero() || p.now.Sub(l.firstAck) < minAge || !p.mayOwn(k, sess) {
			continue
		}
		if sc := score(k, sess.Instance.GetName()); best == 0 || sc > bestScore || (sc == bestScore && id < best) {
			best, bestScore = id, sc
		}
	}
	return best
}

func (p *planner) instanceName(id uint64) string { return p.state.Sessions[id].Instance.GetName() }

// score returns the rendezvous hash of a shard and an instance name. With
// rendezvous hashing, when an instance leaves, only the shards that it owned
// move.
func score(k session.ShardKey, instance string) uint64 {
	return xxhash.Sum64String(k.String() + "\x00" + instance)
}
