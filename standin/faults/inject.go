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

// Rule prefixes of the silent cuts (internal/process).
const (
	peerSend    = "peer.send:"
	peerReceive = "peer.receive:"
	slowCall    = 100 // milliseconds
	maxSkip     = 4   // the seed lets up to this many passes of a step go by
	stopTimeout = 40 * time.Second
	// callerPlaces is how many of the places, from the first, have callers.
	callerPlaces = 2
	roleTimeout  = 10 * time.Second
)

// injectAndHeal lets each cell's fault happen and heals all of them later.
func (r *run) injectAndHeal(ctx context.Context, start time.Time) error {
	for i, c := range r.cells {
		sleepUntil(ctx, start.Add(injectAfter+time.Duration(r.rng.Int64N(int64(spread)))*time.Duration(i+1)/2))
		p, err := r.processOf(ctx, c)
		if err != nil {
			return err
		}
		r.hit = append(r.hit, p)
		if c.Role == Entry || c.Role == Owner {
			r.callPinned(ctx, p)
		}
		if err := r.inject(ctx, c, p); err != nil {
			if p.Running() && !r.frozen(p) {
				return err
			}
			r.result.Reached = false // the first fault of a pair has hit the same process
		}
	}
	sleepUntil(ctx, start.Add(healAfter))
	return r.heal(ctx)
}

// frozen reports whether an earlier cell has frozen the process.
func (r *run) frozen(p *cluster.Process) bool {
	for i, h := range r.hit[:len(r.hit)-1] {
		if h == p && r.cells[i].Fault == Freeze {
			return true
		}
	}
	return false
}

// processOf returns the process that has a cell's role now. Faults hit
// processes that have work: the busiest entry instance, and targets in the
// callers' region.
func (r *run) processOf(ctx context.Context, cell Cell) (*cluster.Process, error) {
	c, role := r.cluster, cell.Role
	switch role {
	case Entry:
		return r.busiest(ctx, cmp.Or(cell.Point, "generation.before_start")), nil
	case Engine:
		return c.Engines[r.rng.IntN(callerPlaces)], nil
	case Service:
		return c.Services[r.rng.IntN(callerPlaces)], nil
	}
	ctx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	var found *cluster.Process
	err := cluster.WaitUntil(ctx, "a process with the role "+string(role), func() bool {
		found = r.processNow(ctx, role)
		return found != nil
	})
	return found, err
}

// busiest returns the running entry instance that has passed a step most
// often.
func (r *run) busiest(ctx context.Context, point string) *cluster.Process {
	best, most := r.cluster.Entries[0], -1
	for _, p := range r.cluster.Entries {
		if s, err := p.Faults(ctx); err == nil && s.Hits[point] > most {
			best, most = p, s.Hits[point]
		}
	}
	return best
}

// processNow returns the process that the control group names, or nil while
// it is between two leaders.
func (r *run) processNow(ctx context.Context, role Role) *cluster.Process {
	status, err := r.status(ctx)
	if err != nil || status.Leader == "" {
		return nil
	}
	if role == Owner {
		return r.owner(status)
	}
	for _, p := range r.cluster.Controls {
		if p.Running() && (p.Name == status.Leader) == (role == ControlLeader) {
			return p
		}
	}
	return nil
}

func (r *run) status(ctx context.Context) (*api.StatusResponse, error) {
	op, err := r.cluster.Operator()
	if err != nil {
		return nil, err
	}
	return op.Status(ctx)
}

func (r *run) owner(s *api.StatusResponse) *cluster.Process {
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

// inject carries out a cell's fault, or arms it at the cell's step.
func (r *run) inject(ctx context.Context, c Cell, p *cluster.Process) error {
	if c.Point != "" {
		return r.arm(ctx, c, p)
	}
	switch c.Fault {
	case Kill:
		p.Kill()
	case LoseDisk:
		p.Kill()
		return r.emptyDisk(p)
	case Freeze:
		p.Freeze()
	case Stop:
		p.Signal(syscall.SIGTERM)
	case Swallow:
		return p.Swallow(ctx)
	case CutSend:
		return p.SetRules(ctx, cluster.Rule{Prefix: peerSend, Action: "error"})
	case CutReply:
		return p.SetRules(ctx, cluster.Rule{Prefix: peerReceive, Action: "error"})
	case CutBoth:
		return r.cutBoth(ctx, p)
	case Slow:
		return p.SetRules(ctx, cluster.Rule{Prefix: peerSend, Action: "delay", DelayMS: slowCall})
	}
	return nil
}

func (r *run) cutBoth(ctx context.Context, p *cluster.Process) error {
	for _, other := range r.cluster.Instances() {
		prefix := peerSend + p.Address
		if other == p {
			prefix = peerSend
		}
		if err := other.SetRules(ctx, cluster.Rule{Prefix: prefix, Action: "error"}); err != nil && other.Running() && other == p {
			return err
		}
	}
	return nil
}

var pointActions = map[Fault]string{Kill: "kill", LoseDisk: "kill", Freeze: "freeze", Fail: "error"}

func (r *run) arm(ctx context.Context, c Cell, p *cluster.Process) error {
	return p.SetRules(ctx, cluster.Rule{Prefix: c.Point, Action: pointActions[c.Fault], Skip: r.rng.IntN(maxSkip), Times: 1})
}

func (r *run) emptyDisk(p *cluster.Process) error {
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

// heal undoes every fault: frozen processes go on, cuts end, ended processes
// start again, with an empty disk where it was lost.
func (r *run) heal(ctx context.Context) error {
	for i, p := range r.hit {
		p.Continue()
		c := r.cells[i]
		if c.Fault == Stop {
			if err := p.WaitEnd(stopTimeout); err != nil {
				r.violation("planned stop: %v", err)
				p.Kill()
			}
		}
		if c.Fault == Fail && c.Role != Entry {
			_ = p.WaitEnd(time.Second) // a failed write or sync is fatal
		}
		if p.Running() {
			r.noteReached(ctx, c, p)
			continue
		}
		if c.Fault == LoseDisk && c.Point != "" {
			if err := r.emptyDisk(p); err != nil {
				return err
			}
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return r.clearRules(ctx)
}

// noteReached records whether an armed step was reached by a process that
// still runs.
func (r *run) noteReached(ctx context.Context, c Cell, p *cluster.Process) {
	if c.Point == "" {
		return
	}
	if s, err := p.Faults(ctx); err == nil && s.Fired == 0 {
		r.result.Reached = false
	}
}

func (r *run) clearRules(ctx context.Context) error {
	for _, p := range r.cluster.Instances() {
		err := cluster.WaitUntil(ctx, "faults of "+p.Name+" to clear", func() bool { return !p.Running() || p.SetRules(ctx) == nil })
		if err != nil {
			return err
		}
	}
	return nil
}
