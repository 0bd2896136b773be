package agreement

import (
	"maps"
	"slices"
	"time"
)

// Status returns the node's view of the group.
func (n *Node) Status() Status {
	s, _ := n.StatusChange()
	return s
}

// StatusChange returns the node's view and a channel that is closed at the
// next change of it.
func (n *Node) StatusChange() (Status, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status, n.changed
}

// QuorumContact returns the send time of the newest heartbeat round that a
// quorum answered. It is zero when the node does not lead. No later leader was
// elected before that time, since a majority followed this one then.
func (n *Node) QuorumContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.quorumContact
}

// publish makes the loop's state visible to other goroutines.
func (n *Node) publish() {
	c := n.replica.core
	s := Status{
		Role:          c.role,
		Term:          c.state.Term,
		LeaderName:    c.leader.Name,
		LeaderAddress: c.leader.Address,
		CommitIndex:   c.commit,
		AppliedIndex:  n.applied,
		Members:       c.members().Members,
	}
	if c.role == Leader {
		s.MatchIndex = map[string]uint64{n.self.Incarnation: c.log.stable}
		for id, p := range c.peers {
			s.MatchIndex[id] = p.match
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quorumContact = c.quorumContact
	if sameStatus(n.status, s) {
		return
	}
	n.status = s
	close(n.changed)
	n.changed = make(chan struct{})
}

func sameStatus(a, b Status) bool {
	return a.Role == b.Role && a.Term == b.Term && a.LeaderName == b.LeaderName && a.LeaderAddress == b.LeaderAddress &&
		a.CommitIndex == b.CommitIndex && a.AppliedIndex == b.AppliedIndex &&
		slices.Equal(a.Members, b.Members) && maps.Equal(a.MatchIndex, b.MatchIndex)
}
