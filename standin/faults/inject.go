package faults

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

// Prefixes of the fault points of calls between instances (internal/process), at which
// calls are dropped or delayed, and parameters of fault injection.
const (
	peerSend        = "peer.send:"
	peerReceive     = "peer.receive:"
	slowCallDelayMS = 100 // delay of each call to a peer
	maxSkip         = 4   // a fault is applied after 0 to maxSkip-1 passes of its fault point, drawn from the seed
	stopTimeout     = 40 * time.Second
	// locationsWithCallers is how many of cluster.Locations, from the first, have callers.
	locationsWithCallers = 2
	roleTimeout          = 10 * time.Second
)

// injectAndHeal injects the fault of each cell, one after another, and heals all
// of them at healAfter.
func (r *run) injectAndHeal(ctx context.Context, start time.Time) error {
	for i, c := range r.cells {
		sleepUntil(ctx, start.Add(injectAfter+time.Duration(r.rng.Int64N(int64(injectionJitter)))*time.Duration(i+1)/2))
		p, err := r.processForCell(ctx, c)
		if err != nil {
			return err
		}
		r.affected = append(r.affected, p)
		if c.Role == Entry || c.Role == Owner {
			r.startPinnedCaller(ctx, p)
		}
		if err := r.inject(ctx, c, p); err != nil {
			if p.Running() && !r.isFrozen(p) {
				return err
			}
			r.result.Reached = false // not injected: the pair's first fault has killed or frozen the same process
		}
	}
	sleepUntil(ctx, start.Add(healAfter))
	return r.heal(ctx)
}

// isFrozen reports whether the fault of an earlier cell of the pair froze the process.
func (r *run) isFrozen(p *cluster.Process) bool {
	for i, h := range r.affected[:len(r.affected)-1] {
		if h == p && r.cells[i].Fault == Freeze {
			return true
		}
	}
	return false
}

// processForCell returns a process that currently has the cell's role. It
// prefers processes with work: the busiest entry instance, and targets in the
// callers' failure domains.
func (r *run) processForCell(ctx context.Context, cell Cell) (*cluster.Process, error) {
	c, role := r.cluster, cell.Role
	switch role {
	case Entry:
		return r.busiestEntry(ctx, cmp.Or(cell.Point, "generation.before_start")), nil
	case Engine:
		return c.Engines[r.rng.IntN(locationsWithCallers)], nil
	case Service:
		return c.Services[r.rng.IntN(locationsWithCallers)], nil
	}
	ctx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	var found *cluster.Process
	err := cluster.WaitUntil(ctx, "a process with the role "+string(role), func() bool {
		found = r.processWithRole(ctx, role)
		return found != nil
	})
	return found, err
}

// busiestEntry returns the entry instance that has passed the fault point most often
// among those that can be reached.
func (r *run) busiestEntry(ctx context.Context, point string) *cluster.Process {
	best, most := r.cluster.Entries[0], -1
	for _, p := range r.cluster.Entries {
		if s, err := p.FaultCounts(ctx); err == nil && s.Hits[point] > most {
			best, most = p, s.Hits[point]
		}
	}
	return best
}

// processWithRole returns a process with the role according to the control
// group's status, or nil if there is none, for example during an election.
func (r *run) processWithRole(ctx context.Context, role Role) *cluster.Process {
	status, err := r.groupStatus(ctx)
	if err != nil || status.Leader == "" {
		return nil
	}
	if role == Owner {
		return r.shardOwner(status)
	}
	for _, p := range r.cluster.Controls {
		if p.Running() && (p.Name == status.Leader) == (role == ControlLeader) {
			return p
		}
	}
	return nil
}

func (r *run) groupStatus(ctx context.Context) (*api.StatusResponse, error) {
	op, err := r.cluster.OpenOperator()
	if err != nil {
		return nil, err
	}
	return op.Status(ctx)
}

func (r *run) shardOwner(s *api.StatusResponse) *cluster.Process {
	for _, a := range s.Assignments {
		if a.Shard.GetService() != cluster.EngineService {
			continue
		}
		for _, e := range r.cluster.Entries {
			if e.Address == a.OwnerAddress {
				return e
			}
		}
	}
	return nil
}

// inject applies the cell's fault, or arms it if the cell has a fault point.
func (r *run) inject(ctx context.Context, c Cell, p *cluster.Process) error {
	if c.Point != "" {
		return r.armFaultPoint(ctx, c, p)
	}
	switch c.Fault {
	case Kill:
		p.Kill()
	case LoseDisk:
		p.Kill()
		return r.emptyDataDir(p)
	case Freeze:
		p.Freeze()
	case Stop:
		p.Signal(syscall.SIGTERM)
	case Swallow:
		return p.Swallow(ctx)
	case Break:
		return p.SetStandinFaults(ctx, breakFaults[c.Role])
	case CutSend:
		return p.SetFaultRules(ctx, cluster.FaultRule{Prefix: peerSend, Action: "error"})
	case CutReply:
		return p.SetFaultRules(ctx, cluster.FaultRule{Prefix: peerReceive, Action: "error"})
	case CutBoth:
		return r.cutBoth(ctx, p)
	case Slow:
		return p.SetFaultRules(ctx, cluster.FaultRule{Prefix: peerSend, Action: "delay", DelayMS: slowCallDelayMS})
	}
	return nil
}

// cutBoth drops the calls of p to its peers and the calls of its peers to p.
func (r *run) cutBoth(ctx context.Context, p *cluster.Process) error {
	for _, other := range r.cluster.Instances() {
		prefix := peerSend + p.Address
		if other == p {
			prefix = peerSend
		}
		if err := other.SetFaultRules(ctx, cluster.FaultRule{Prefix: prefix, Action: "error"}); err != nil && other.Running() && other == p {
			return err
		}
	}
	return nil
}

// breakFaults and keepFaults are the bodies of POST /standin/faults that make a target break
// its protocol and keep to it again.
var (
	breakFaults = map[Role]string{
		Engine:  `{"break_share":0.7}`,
		Service: `{"late_ms":50,"late":{"share":0.1},"lose_answer":{"share":0.1},"crossed":{"share":0.2},"swapped":{"share":0.1},"cut_answer":{"share":0.1}}`,
	}
	keepFaults = map[Role]string{
		Engine:  `{"break_share":0}`,
		Service: `{"late":{},"lose_answer":{},"crossed":{},"swapped":{},"cut_answer":{}}`,
	}
)

var pointActions = map[Fault]string{Kill: "kill", LoseDisk: "kill", Freeze: "freeze", Fail: "error"}

func (r *run) armFaultPoint(ctx context.Context, c Cell, p *cluster.Process) error {
	return p.SetFaultRules(ctx, cluster.FaultRule{Prefix: c.Point, Action: pointActions[c.Fault], Skip: r.rng.IntN(maxSkip), Times: 1})
}

func (r *run) emptyDataDir(p *cluster.Process) error {
	for i, c := range r.cluster.Controls {
		if c == p {
			return removeContents(r.cluster.DataDir(i))
		}
	}
	return nil
}

func removeContents(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// heal ends every fault: it continues frozen processes, restarts processes that
// exited and clears all fault rules. A process that lost its disk at a fault point
// restarts with an empty data directory.
func (r *run) heal(ctx context.Context) error {
	for i, p := range r.affected {
		p.Continue()
		c := r.cells[i]
		if c.Fault == Stop {
			if err := p.WaitExit(stopTimeout); err != nil {
				r.violation("planned stop: %v", err)
				p.Kill()
			}
		}
		if c.Fault == Fail && c.Role != Entry {
			_ = p.WaitExit(time.Second) // the process exits by itself after a failed write or sync of its write-ahead log
		}
		if p.Running() {
			r.recordReached(ctx, c, p)
			if c.Fault == Break {
				if err := p.SetStandinFaults(ctx, keepFaults[c.Role]); err != nil {
					return err
				}
			}
			continue
		}
		if c.Fault == LoseDisk && c.Point != "" {
			if err := r.emptyDataDir(p); err != nil {
				return err
			}
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return r.clearFaultRules(ctx)
}

// recordReached sets result.Reached to false if the armed fault point of a process
// that is still running did not fire.
func (r *run) recordReached(ctx context.Context, c Cell, p *cluster.Process) {
	if c.Point == "" {
		return
	}
	if s, err := p.FaultCounts(ctx); err == nil && s.Fired == 0 {
		r.result.Reached = false
	}
}

func (r *run) clearFaultRules(ctx context.Context) error {
	for _, p := range r.cluster.Instances() {
		err := cluster.WaitUntil(ctx, "faults of "+p.Name+" to clear", func() bool { return !p.Running() || p.SetFaultRules(ctx) == nil })
		if err != nil {
			return err
		}
	}
	return nil
}
