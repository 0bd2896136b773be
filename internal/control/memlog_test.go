package control_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/state"
)

// errCutOff is the result of a read barrier without a quorum.
var errCutOff = errors.New("test log: cut off from the group")

// memGroup is a replicated log in memory: a set of nodes over one log, whose
// leader the test chooses and cuts off.
type memGroup struct {
	mu   sync.Mutex
	log  [][]byte
	lost [][]byte // proposed at a leader that was cut off
	// observer applies every command the moment it is committed.
	observer *state.Machine
	term     uint64
	leader   *memNode // the newest leader
	nodes    []*memNode
}

// memNode is one member of a group.
type memNode struct {
	group   *memGroup
	member  agreement.Member
	machine agreement.StateMachine

	term    uint64 // newest term the node knows
	leads   bool   // whether the node believes that it leads
	applied uint64
	cutAt   time.Time // zero while connected
	commit  uint64
	result  any // of the last command
}

// proposeLatency is how long a command takes to be replicated.
const proposeLatency = 3 * time.Millisecond

// heartbeat is the time between two heartbeats.
const heartbeat = 20 * time.Millisecond

// newMemGroup returns an empty group.
func newMemGroup() *memGroup { return &memGroup{observer: state.New()} }

// Add adds a node. The first one leads.
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
	n.term, n.leads = g.term, true
	// Every second command without a known outcome had reached the new leader.
	for i, command := range g.lost {
		if i%2 == 0 {
			g.commit(command)
		}
	}
	g.lost = nil
	g.spread(max(len(g.log)-1, 0))
}

// Leader returns the leader of the newest term.
func (g *memGroup) Leader() *memNode {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// IsCut reports whether the node is cut off.
func (n *memNode) IsCut() bool {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return !n.cutAt.IsZero()
}

// Cut separates a node from the group. A leader that is cut off goes on
// believing that it leads.
func (g *memGroup) Cut(n *memNode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.cutAt.IsZero() {
		n.cutAt = time.Now()
	}
}

// Heal connects a node again.
func (g *memGroup) Heal(n *memNode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n.cutAt = time.Time{}
	g.spread(len(g.log))
}

func (g *memGroup) commit(command []byte) {
	g.log = append(g.log, command)
	g.observer.Apply(uint64(len(g.log)), command)
}

// spread tells all connected nodes of the term and of the log up to known. A
// follower learns of the newest entry with the next one or the next heartbeat,
// and a new leader by its first proposal or read barrier.
func (g *memGroup) spread(known int) {
	if known < len(g.log) {
		go func() {
			time.Sleep(heartbeat)
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.leader.cutAt.IsZero() {
				g.spread(len(g.log))
			}
		}()
	}
	for _, n := range g.nodes {
		if n.cutAt.IsZero() {
			if n.term, n.leads = g.term, n == g.leader; !n.leads {
				n.catchUp(known)
			}
		}
	}
}

// catchUp applies the log up to known.
func (n *memNode) catchUp(known int) {
	n.commit = max(n.commit, uint64(known))
	for n.applied < n.commit {
		n.applied++
		n.result = n.machine.Apply(n.applied, n.group.log[n.applied-1])
	}
}

// Propose appends the command and applies it on all connected nodes. On a
// leader that is cut off the outcome is unknown: the command may be committed
// by the next leader.
func (n *memNode) Propose(ctx context.Context, command []byte) (agreement.Applied, error) {
	g := n.group
	time.Sleep(proposeLatency)
	g.mu.Lock()
	if !n.leads {
		defer g.mu.Unlock()
		return agreement.Applied{}, n.notLeader()
	}
	if !n.cutAt.IsZero() {
		if n == g.leader {
			g.lost = append(g.lost, command)
		}
		g.mu.Unlock()
		<-ctx.Done()
		return agreement.Applied{}, agreement.ErrOutcomeUnknown
	}
	defer g.mu.Unlock()
	g.commit(command)
	n.catchUp(len(g.log))
	result := n.result
	g.spread(len(g.log) - 1)
	return agreement.Applied{Index: n.applied, Result: result}, nil
}

func (n *memNode) notLeader() error {
	e := &agreement.NotLeaderError{}
	if l := n.group.leader; l != nil && n.cutAt.IsZero() {
		e.Leader, e.Address = l.member.Name, l.member.Address
	}
	return e
}

// QuorumContact is now while the leader is connected.
func (n *memNode) QuorumContact() time.Time {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	switch {
	case !n.leads:
		return time.Time{}
	case !n.cutAt.IsZero():
		return n.cutAt
	}
	return time.Now()
}

// ReadBarrier returns the end of the log at a connected leader.
func (n *memNode) ReadBarrier(context.Context) (uint64, error) {
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	switch {
	case !n.leads:
		return 0, n.notLeader()
	case !n.cutAt.IsZero():
		return 0, errCutOff
	}
	n.catchUp(len(n.group.log))
	return n.commit, nil
}

// Status returns the node's view.
func (n *memNode) Status() agreement.Status {
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s := agreement.Status{Role: agreement.Follower, Term: n.term, CommitIndex: n.commit, AppliedIndex: n.applied}
	if n.leads {
		s.Role = agreement.Leader
		s.LeaderName, s.LeaderAddress = n.member.Name, n.member.Address
	} else if g.leader != nil && n.cutAt.IsZero() {
		s.LeaderName, s.LeaderAddress = g.leader.member.Name, g.leader.member.Address
	}
	for _, m := range g.nodes {
		s.Members = append(s.Members, m.member)
	}
	return s
}

// AddLearner is refused: the group is fixed.
func (n *memNode) AddLearner(context.Context, agreement.Member) error {
	return agreement.ErrMembershipChange
}

// Promote is refused: the group is fixed.
func (n *memNode) Promote(context.Context, string, string) error {
	return agreement.ErrMembershipChange
}

// Remove is refused: the group is fixed.
func (n *memNode) Remove(context.Context, string) error { return agreement.ErrMembershipChange }
