package agreement

import (
	"maps"
	"slices"
	"time"
)

// Status returns the current state of the group as seen by this node.
func (n *Node) Status() Status {
	s, _ := n.StatusChange()
	return s
}

// StatusChange returns the current status and a channel that is closed when the
// status changes.
func (n *Node) StatusChange() (Status, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status, n.changed
}

// QuorumContact returns the send time of the newest heartbeat round that a
// quorum answered, or the zero time if the node is not the leader. No later
// leader was elected before that time, because a majority still followed this
// one.
func (n *Node) QuorumContact() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.publishedContact
}

// publish updates the status for other goroutines. Only the goroutine that owns
// the protocol state may call it.
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
		s.MatchIndex = map[string]uint64{n.self.Incarnation: c.log.stableIndex}
		for id, p := range c.peers {
			s.MatchIndex[id] = p.match
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishedContact = c.quorumContact
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
