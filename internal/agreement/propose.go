package agreement

import (
	"context"
	"errors"
	"fmt"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// ErrOverloaded means that the command was not proposed because too many
// commands are pending.
var ErrOverloaded = errors.New("agreement: too many pending commands")

// ErrTooLarge means that the command was not proposed because it exceeds
// MaxCommandBytes.
var ErrTooLarge = errors.New("agreement: command too large")

// Propose appends a command to the log and waits until it is committed and
// applied on this node. With ErrOutcomeUnknown the command may still be
// committed later; with any other error it was not proposed.
func (n *Node) Propose(ctx context.Context, command []byte) (Applied, error) {
	if len(command) > MaxCommandBytes {
		return Applied{}, ErrTooLarge
	}
	p := proposal{command: command, outcome: make(chan proposalOutcome, 1)}
	select {
	case n.proposals <- p:
	case <-n.ctx.Done():
		return Applied{}, ErrStopped
	case <-ctx.Done():
		return Applied{}, ErrOverloaded
	}
	select {
	case o := <-p.outcome:
		return o.applied, o.err
	case <-n.done:
		select {
		case o := <-p.outcome:
			return o.applied, o.err
		default:
			// The run loop ended before it took the command from the queue.
			return Applied{}, ErrStopped
		}
	case <-ctx.Done():
		return Applied{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// propose appends the command if this node is the leader. It must be called
// from the run loop.
func (n *Node) propose(p proposal) {
	c := n.replica.core
	switch {
	case c.role != Leader || c.transferTarget != "":
		p.outcome <- proposalOutcome{err: c.notLeader()}
	case len(n.waiters) >= maxWaiters || n.waitingBytes > maxWaitingBytes:
		p.outcome <- proposalOutcome{err: ErrOverloaded}
	default:
		p.term = c.state.Term
		n.waiterTerm = p.term
		n.waitingBytes += len(p.command)
		n.batchBytes += len(p.command)
		n.waiters[c.appendEntry(wal.EntryCommand, p.command)] = p
	}
}

// ReadBarrier waits until the local state machine has applied every command
// that was committed before the call, and returns the log index up to which it
// has applied them. A read of the state machine after the call is linearizable.
// It fails if this node is not the leader.
func (n *Node) ReadBarrier(ctx context.Context) (uint64, error) {
	result := make(chan readResult, 1)
	err := n.runInLoop(ctx, func() {
		n.lastReadID++
		n.pendingReads[n.lastReadID] = result
		n.replica.core.requestRead(n.lastReadID)
	})
	if err != nil {
		return 0, err
	}
	select {
	case r := <-result:
		if r.err != nil {
			return 0, r.err
		}
		return r.index, n.WaitApplied(ctx, r.index)
	case <-n.done:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// WaitApplied waits until the local state machine has applied index.
func (n *Node) WaitApplied(ctx context.Context, index uint64) error {
	return n.WaitStatus(ctx, func(s Status) bool { return s.AppliedIndex >= index })
}

// WaitStatus waits until ok returns true for the node's status.
func (n *Node) WaitStatus(ctx context.Context, ok func(Status) bool) error {
	for {
		s, changed := n.StatusChange()
		if ok(s) {
			return nil
		}
		select {
		case <-changed:
		case <-n.done:
			return ErrStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// runInLoop queues f for the run loop. It does not wait until f has run.
func (n *Node) runInLoop(ctx context.Context, f func()) error {
	select {
	case n.loopCalls <- f:
		return nil
	case <-n.ctx.Done():
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AddLearner adds m as a learner. An existing learner of the same name is an
// earlier incarnation and is removed.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	return n.change(ctx, func(c *core) (uint64, error) { return c.addLearner(m) })
}

// Promote makes a caught-up learner a voter. If replaces is not empty, it is the
// incarnation of a voter that is removed first, in a separate change: with a
// single change, two majorities without a common member could make decisions.
// The first change also marks the learner for promotion, so that a later leader
// can complete the replacement.
func (n *Node) Promote(ctx context.Context, incarnation, replaces string) error {
	if replaces == "" {
		return n.change(ctx, func(c *core) (uint64, error) { return c.promoteLearner(incarnation) })
	}
	if err := n.change(ctx, func(c *core) (uint64, error) { return c.replaceMember(replaces, incarnation) }); err != nil {
		return err
	}
	leadershipLost := false
	err := n.WaitStatus(ctx, func(s Status) bool {
		leadershipLost = s.Role != Leader
		return leadershipLost || membership{Members: s.Members}.isVoter(incarnation)
	})
	if err != nil || leadershipLost {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return n.change(ctx, func(c *core) (uint64, error) { return c.members().Index, nil })
}

// Remove removes a member from the group.
func (n *Node) Remove(ctx context.Context, incarnation string) error {
	return n.change(ctx, func(c *core) (uint64, error) { return c.removeMember(incarnation) })
}

// change runs a membership change in the run loop and waits until it is
// committed.
func (n *Node) change(ctx context.Context, propose func(*core) (uint64, error)) error {
	type outcome struct {
		index, term uint64
		err         error
	}
	result := make(chan outcome, 1)
	err := n.runInLoop(ctx, func() {
		c := n.replica.core
		if c.role != Leader {
			result <- outcome{err: c.notLeader()}
			return
		}
		index, err := propose(c)
		result <- outcome{index: index, term: c.state.Term, err: err}
	})
	if err != nil {
		return err
	}
	select {
	case o := <-result:
		if o.err != nil || o.index == 0 {
			return o.err
		}
		return n.waitCommitted(ctx, o.index, o.term)
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// waitCommitted waits until the entry that this node appended as leader of term
// is committed.
func (n *Node) waitCommitted(ctx context.Context, index, term uint64) error {
	leadershipLost := false
	err := n.WaitStatus(ctx, func(s Status) bool {
		leadershipLost = s.Term != term
		return leadershipLost || s.CommitIndex >= index
	})
	if err != nil || leadershipLost {
		return errors.Join(ErrOutcomeUnknown, err)
	}
	return nil
}
