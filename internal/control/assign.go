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
	// settleTime is how long an instance must have renewed before shards move
	// to it from owners that could keep them. A process that fails again right
	// after its start costs no shard a second owner change.
	settleTime = 5 * time.Second
	// maxVoluntaryMoves bounds shards that are without an owner only because a
	// better place exists.
	maxVoluntaryMoves = 8
	// loadSlackPercent is how many more shards than the mean one instance may
	// own. Without the bound chance gives some instance five of 300 shards at
	// 370 instances, and permits cost it three times the 25 kB/s for control.
	loadSlackPercent = 25
)

// assignShards commits the changes that the plan asks for.
func (s *Server) assignShards(ctx context.Context, t *term) {
	p := planner{now: time.Now(), leases: t.views()}
	var changes []*api.AssignmentChange
	s.machine.Read(func(st *model.State) {
		p.state = st
		changes = p.plan()
	})
	if len(changes) == 0 || !s.leading(t) {
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

func (s *Server) recordAssignment(c *api.AssignmentChange) {
	shard := session.KeyOf(c.GetShard()).String()
	switch a := c.GetAction().(type) {
	case *api.AssignmentChange_Revoke_:
		s.cfg.Timeline.Record("shard_revoked", "shard", shard)
	case *api.AssignmentChange_Assign_:
		s.cfg.Timeline.Record("shard_assigned", "shard", shard, "session", uintString(a.Assign.GetOwnerSession()))
	case *api.AssignmentChange_Remove_:
		s.cfg.Timeline.Record("shard_removed", "shard", shard)
	}
}

// planner decides who owns which shard. It is pure: state, leases and time come
// from outside.
type planner struct {
	now    time.Time
	state  *model.State
	leases map[uint64]leaseView
	moves  int // shards without an owner whose former owner is still there

	load     map[uint64]int // shards by owning session
	capacity map[string]int // most shards of one session, by region
}

// plan returns the next changes: revocations of owners that may not keep their
// shard, and assignments of shards that surely have no owner.
func (p *planner) plan() []*api.AssignmentChange {
	var out []*api.AssignmentChange
	wanted := map[session.ShardKey]bool{}
	p.load = map[uint64]int{}
	for _, a := range p.state.Assignments {
		if a.Owner == 0 && a.Former != 0 {
			p.moves++
		}
		if a.Owner != 0 {
			p.load[a.Owner]++
		}
	}
	shards := query.Shards(p.state)
	p.capacity = p.capacities(shards)
	for _, k := range shards {
		wanted[k] = true
		if c := p.shard(k); c != nil {
			out = append(out, c)
		}
	}
	for _, k := range p.state.SortedShards() {
		if !wanted[k] {
			if c := p.unwanted(k); c != nil {
				out = append(out, c)
			}
		}
	}
	return out
}

// shard returns the next change of one wanted shard, or nil.
func (p *planner) shard(k session.ShardKey) *api.AssignmentChange {
	a := p.state.Assignments[k]
	if a == nil {
		a = &model.Assignment{}
	}
	if a.Owner != 0 {
		return p.owned(k, a)
	}
	if !p.released(a) {
		return nil
	}
	best := p.best(k, 0)
	if best == 0 {
		return nil
	}
	p.load[best]++
	c := change(k, a)
	c.Action = &api.AssignmentChange_Assign_{Assign: &api.AssignmentChange_Assign{OwnerSession: best, ReleasedSession: a.Former}}
	return c
}

// owned decides whether the owner keeps the shard.
func (p *planner) owned(k session.ShardKey, a *model.Assignment) *api.AssignmentChange {
	if p.permitted(k, p.state.Sessions[a.Owner]) {
		if p.moves >= maxVoluntaryMoves || !p.betterPlace(k, a.Owner) {
			return nil
		}
		p.moves++
	}
	p.load[a.Owner]--
	return revoke(k, a)
}

// betterPlace reports whether the shard should move: its owner has too many,
// or an instance with room has a higher score.
func (p *planner) betterPlace(k session.ShardKey, owner uint64) bool {
	best := p.best(k, settleTime)
	if best == 0 {
		return false
	}
	return p.load[owner] > p.capacity[k.Region] || score(k, p.name(best)) > score(k, p.name(owner))
}

// capacities returns, by region, how many shards one instance may own.
func (p *planner) capacities(shards []session.ShardKey) map[string]int {
	wanted, instances := map[string]int{}, map[string]int{}
	for _, k := range shards {
		wanted[k.Region]++
	}
	for id, x := range p.state.Sessions {
		if l := p.leases[id]; !l.ended && !l.firstAck.IsZero() && !x.Replaced && !x.Instance.GetDraining() {
			instances[x.Instance.GetRegion()]++
		}
	}
	out := map[string]int{}
	for region, n := range wanted {
		share := (n*(100+loadSlackPercent) + 99) / 100
		out[region] = (share + max(1, instances[region]) - 1) / max(1, instances[region])
	}
	return out
}

// unwanted takes a shard away that the settings do not name any more.
func (p *planner) unwanted(k session.ShardKey) *api.AssignmentChange {
	a := p.state.Assignments[k]
	if a.Owner != 0 {
		return revoke(k, a)
	}
	if !p.released(a) {
		return nil
	}
	c := change(k, a)
	c.Action = &api.AssignmentChange_Remove_{Remove: &api.AssignmentChange_Remove{ReleasedSession: a.Former}}
	return c
}

func change(k session.ShardKey, a *model.Assignment) *api.AssignmentChange {
	return &api.AssignmentChange{Shard: k.Proto(), ExpectedEpoch: a.Epoch}
}

func revoke(k session.ShardKey, a *model.Assignment) *api.AssignmentChange {
	c := change(k, a)
	c.Action = &api.AssignmentChange_Revoke_{Revoke: &api.AssignmentChange_Revoke{}}
	return c
}

// released reports whether the former owner surely does not hold the shard: it
// obeys a version that has the revocation. A former owner whose session ended
// is not named in the state any more.
func (p *planner) released(a *model.Assignment) bool {
	return a.Former == 0 || p.leases[a.Former].acked >= a.RevokedVersion
}

// permitted reports whether the session's instance may own the shard.
func (p *planner) permitted(k session.ShardKey, x *model.Session) bool {
	t := p.state.Teams[k.Team]
	return x != nil && !x.Replaced && !x.Instance.GetDraining() &&
		x.Instance.GetRegion() == k.Region && t.Settings.FailureDomainInService(x.Instance.GetFailureDomain())
}

// best returns the permitted session with room and the highest score that has
// renewed in this term for at least the settle time, or 0. Instances whose
// failure domain is out of service count in the capacity but are not
// permitted; when all others are full the bound gives way.
func (p *planner) best(k session.ShardKey, settle time.Duration) uint64 {
	if id := p.bestWithin(k, settle, p.capacity[k.Region]); id != 0 || settle > 0 {
		return id
	}
	return p.bestWithin(k, settle, math.MaxInt)
}

func (p *planner) bestWithin(k session.ShardKey, settle time.Duration, capacity int) uint64 {
	var best, bestScore uint64
	for id, x := range p.state.Sessions {
		l := p.leases[id]
		if p.load[id] >= capacity || l.ended || l.firstAck.IsZero() || p.now.Sub(l.firstAck) < settle || !p.permitted(k, x) {
			continue
		}
		if sc := score(k, x.Instance.GetName()); best == 0 || sc > bestScore || (sc == bestScore && id < best) {
			best, bestScore = id, sc
		}
	}
	return best
}

func (p *planner) name(id uint64) string { return p.state.Sessions[id].Instance.GetName() }

// score is the rendezvous hash of a shard and an instance name: when an
// instance leaves, only its own shards move.
func score(k session.ShardKey, instance string) uint64 {
	return xxhash.Sum64String(k.String() + "\x00" + instance)
}
