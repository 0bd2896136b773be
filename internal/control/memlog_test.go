package control_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/state"
)

// errPartitioned is the error of a read barrier without a quorum.
var errPartitioned = errors.New("test log: partitioned from the group")

// memGroup is an in-memory replicated log: a set of nodes that share one log. The
// test elects and partitions leaders.
type memGroup struct {
	mu        sync.Mutex
	log       [][]byte
	uncertain [][]byte // commands proposed at a partitioned leader; the next leader may commit them
	// observer applies every command as soon as it is committed.
	observer *state.Machine
	term     uint64
	leader   *memNode // leader of the newest term
	nodes    []*memNode
}

// memNode is one node of a memGroup.
type memNode struct {
	group   *memGroup
	member  agreement.Member
	machine agreement.StateMachine

	term          uint64 // newest term that the node has seen
	isLeader      bool   // whether the node considers itself the leader
	applied       uint64
	partitionedAt time.Time // time at which the node was partitioned; zero while it is connected
	commit        uint64
	lastResult    any // result of the last command that the node applied
}

// proposeLatency is the time that Propose takes to replicate a command.
const proposeLatency = 3 * time.Millisecond

// heartbeatInterval is the time until followers learn the newest commit index.
const heartbeatInterval = 20 * time.Millisecond

// newMemGroup returns a group without nodes.
func newMemGroup() *memGroup { return &memGroup{observer: state.New()} }

// Add adds a node. The first one becomes the leader.
func (g *memGroup) Add(name, address string, machine agreement.StateMachine) *memNode {
	g.mu.Lock()
	n := &memNode{group: g, machine: machine, member: agreement.Member{
		Name: name, Incarnation: name + "-1", Address: address, Voter: true,
	}}
	g.nodes = append(g.nodes, n)
	first := len(g.nodes) == 1
	g.mu.Unlock()
	if first {
		g.Elect(n)
	}
	return n
}

// Elect makes a connected node the leader of a new term.
func (g *memGroup) Elect(n *memNode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	g.leader = n
	n.term, n.isLeader = g.term, true
	// Simulate that every second command with an unknown outcome had reached the
	// new leader.
	for i, command := range g.uncertain {
		if i%2 == 0 {
			g.commit(command)
		}
	}
	g.uncertain = nil
	g.propagate(max(len(g.log)-1, 0))
}

// Leader returns the leader of the newest term.
func (g *memGroup) Leader() *memNode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// IsPartitioned reports whether the node is partitioned from the group.
func (n *memNode) IsPartitioned() bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return !n.partitionedAt.IsZero()
}

// Partition separates a node from the group. A partitioned leader still considers
// itself the leader.
func (g *memGroup) Partition(n *memNode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.partitionedAt.IsZero() {
		n.partitionedAt = time.Now()
	}
}

// Heal reconnects a node to the group.
func (g *memGroup) Heal(n *memNode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.partitionedAt = time.Time{}
	g.propagate(len(g.log))
}

func (g *memGroup) commit(command []byte) {
	g.log = append(g.log, command)
	g.observer.Apply(uint64(len(g.log)), command)
}

// propagate informs all connected nodes of the term and commits the log up to
// index upTo on the followers. If that is not the end of the log, the followers
// get the rest with the next entry or after heartbeatInterval, and a new leader
// with its first proposal or read barrier.
func (g *memGroup) propagate(upTo int) {
	if upTo < len(g.log) {
		go func() {
			time.Sleep(heartbeatInterval)
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.leader.partitionedAt.IsZero() {
				g.propagate(len(g.log))
			}
		}()
	}
	for _, n := range g.nodes {
		if n.partitionedAt.IsZero() {
			if n.term, n.isLeader = g.term, n == g.leader; !n.isLeader {
				n.catchUp(upTo)
			}
		}
	}
}

// catchUp commits and applies the log up to index upTo.
func (n *memNode) catchUp(upTo int) {
	n.commit = max(n.commit, uint64(upTo))
	for n.applied < n.commit {
		n.applied++
		n.lastResult = n.machine.Apply(n.applied, n.group.log[n.applied-1])
	}
}

// Propose appends the command to the log and applies it on this node. On a
// partitioned leader the outcome is unknown: the next leader may commit it.
func (n *memNode) Propose(ctx context.Context, command []byte) (agreement.Applied, error) {
	g := n.group
	time.Sleep(proposeLatency)
	g.mu.Lock()
	if !n.isLeader {
		defer g.mu.Unlock()
		return agreement.Applied{}, n.notLeader()
	}
	if !n.partitionedAt.IsZero() {
		if n == g.leader {
			g.uncertain = append(g.uncertain, command)
		}
		g.mu.Unlock()
		<-ctx.Done()
		return agreement.Applied{}, agreement.ErrOutcomeUnknown
	}
	defer g.mu.Unlock()
	g.commit(command)
	n.catchUp(len(g.log))
	result := n.lastResult
	g.propagate(len(g.log) - 1)
	return agreement.Applied{Index: n.applied, Result: result}, nil
}

func (n *memNode) notLeader() error {
	e := &agreement.NotLeaderError{}
	if l := n.group.leader; l != nil && n.partitionedAt.IsZero() {
		e.Leader, e.Address = l.member.Name, l.member.Address
	}
	return e
}

// QuorumContact returns the current time on a connected leader, the time of the
// partition on a partitioned leader, and the zero time on other nodes.
func (n *memNode) QuorumContact() time.Time {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	switch {
	case !n.isLeader:
		return time.Time{}
	case !n.partitionedAt.IsZero():
		return n.partitionedAt
	}
	return time.Now()
}

// ReadBarrier applies the whole log and returns its last index on a connected
// leader, and fails on other nodes.
func (n *memNode) ReadBarrier(context.Context) (uint64, error) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	switch {
	case !n.isLeader:
		return 0, n.notLeader()
	case !n.partitionedAt.IsZero():
		return 0, errPartitioned
	}
	n.catchUp(len(n.group.log))
	return n.commit, nil
}

// Status returns the group's status as this node sees it.
func (n *memNode) Status() agreement.Status {
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s := agreement.Status{Role: agreement.Follower, Term: n.term, CommitIndex: n.commit, AppliedIndex: n.applied}
	if n.isLeader {
		s.Role = agreement.Leader
		s.LeaderName, s.LeaderAddress = n.member.Name, n.member.Address
	} else if g.leader != nil && n.partitionedAt.IsZero() {
		s.LeaderName, s.LeaderAddress = g.leader.member.Name, g.leader.member.Address
	}
	for _, m := range g.nodes {
		s.Members = append(s.Members, m.member)
	}
	return s
}

// AddLearner always fails because the membership of this group is fixed.
func (n *memNode) AddLearner(context.Context, agreement.Member) error {
	return agreement.ErrMembershipChange
}

// Promote always fails because the membership of this group is fixed.
func (n *memNode) Promote(context.Context, string, string) error {
	return agreement.ErrMembershipChange
}

// Remove always fails because the membership of this group is fixed.
func (n *memNode) Remove(context.Context, string) error { return agreement.ErrMembershipChange }
