package agreement

import (
	"fmt"
	"time"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// changeMembers appends a new membership and returns its log index. The
// membership takes effect immediately, before it is committed.
func (c *core) changeMembers(m membership) (uint64, error) {
	switch {
	case c.role != Leader || c.transferTarget != "":
		return 0, c.notLeader()
	case !c.rules.mayChangeMembers(c):
		return 0, fmt.Errorf("%w: an earlier change or the first entry of the leader's term is not committed yet", ErrMembershipChange)
	case len(m.voters()) == 0 || len(m.voters()) > maxVoters || len(m.Members)-len(m.voters()) > maxLearners:
		return 0, fmt.Errorf("%w: %d voters and %d learners", ErrMembershipChange, len(m.voters()), len(m.Members)-len(m.voters()))
	case !c.quorumInContact(m):
		return 0, fmt.Errorf("%w: no quorum of the new voters is in contact", ErrMembershipChange)
	}
	m.Group = c.groupID()
	data, err := m.encode()
	if err != nil {
		return 0, err
	}
	index := c.appendEntry(wal.EntryMembership, data)
	if err := c.recordMembership(c.log.entries[len(c.log.entries)-1]); err != nil {
		return 0, err
	}
	c.event("agreement.members", "voters", fmt.Sprint(len(m.voters())), "members", fmt.Sprint(len(m.Members)))
	c.syncPeers()
	return index, nil
}

// quorumInContact reports whether a majority of m's voters answered this leader
// within the last election timeout.
func (c *core) quorumInContact(m membership) bool {
	return c.countVotersInContact(m) >= c.rules.quorum(len(m.voters()))
}

// countVotersInContact returns how many voters of m answered this leader within
// the last election timeout, counting the leader itself.
func (c *core) countVotersInContact(m membership) int {
	n := 0
	for _, v := range m.voters() {
		p := c.peers[v.Incarnation]
		if v.Incarnation == c.cfg.Self.Incarnation || (p != nil && c.now.Sub(p.lastContact) < c.cfg.ElectionTimeout) {
			n++
		}
	}
	return n
}

func (c *core) notLeader() error {
	return &NotLeaderError{Leader: c.leader.Name, Address: c.leader.Address}
}

// addLearner adds a learner. An existing learner of the same name is an earlier
// incarnation and is removed in the same change.
func (c *core) addLearner(learner Member) (uint64, error) {
	if learner.Name == "" || learner.Incarnation == "" || learner.Address == "" {
		return 0, fmt.Errorf("%w: a member needs a name, an incarnation and an address", ErrMembershipChange)
	}
	if _, ok := c.members().find(learner.Incarnation); ok {
		return 0, nil
	}
	m := c.members()
	for _, old := range m.Members {
		if old.Name == learner.Name && !old.Voter {
			learner.Promote = (learner.Promote || old.Promote) && !learner.Diskless
			m = m.without(old.Incarnation)
		}
	}
	learner.Voter = false
	return c.changeMembers(m.with(learner))
}

// promoteLearner makes a caught-up learner a voter.
func (c *core) promoteLearner(incarnation string) (uint64, error) {
	learner, ok := c.members().find(incarnation)
	switch {
	case !ok || learner.Diskless:
		return 0, fmt.Errorf("%w: %q is not a learner with a disk", ErrMembershipChange, incarnation)
	case learner.Voter:
		return 0, nil
	case c.role == Leader && !c.caughtUp(incarnation):
		return 0, fmt.Errorf("%w: the learner lags too far behind", ErrMembershipChange)
	}
	learner.Voter, learner.Promote = true, false
	return c.changeMembers(c.members().with(learner))
}

func (c *core) removeMember(incarnation string) (uint64, error) {
	if _, ok := c.members().find(incarnation); !ok {
		return 0, nil
	}
	return c.changeMembers(c.members().without(incarnation))
}

// replaceMember removes the member with the incarnation old and marks the
// learner with the given incarnation for promotion in its place.
func (c *core) replaceMember(old, incarnation string) (uint64, error) {
	learner, ok := c.members().find(incarnation)
	if !ok || learner.Diskless || (!learner.Voter && !c.caughtUp(incarnation)) {
		return 0, fmt.Errorf("%w: %q is not a learner with a disk that has caught up", ErrMembershipChange, incarnation)
	}
	if _, ok := c.members().find(old); !ok {
		if learner.Voter || learner.Promote {
			return 0, nil // an earlier call already made this change
		}
		return 0, fmt.Errorf("%w: %q is not a member", ErrMembershipChange, old)
	}
	learner.Promote = !learner.Voter
	return c.changeMembers(c.members().without(old).with(learner))
}

func (c *core) caughtUp(incarnation string) bool {
	p, ok := c.peers[incarnation]
	return ok && p.match > 0 && p.match+c.cfg.MaxLagEntries >= c.commit && c.now.Sub(p.lastContact) < c.cfg.ElectionTimeout
}

// admitLearner adds a node that asked to join, as a learner. If it has a disk
// and the name of a current voter, it is that voter's new incarnation and is
// marked for promotion.
func (c *core) admitLearner(node Member) {
	if _, ok := c.members().find(node.Incarnation); ok {
		return
	}
	node.Promote = false
	for _, v := range c.members().voters() {
		if v.Name == node.Name && !node.Diskless {
			node.Promote = true
		}
	}
	_, _ = c.addLearner(node) // fails while another membership change is uncommitted; the node then asks to join again
}

// repairMembers performs the next step of replacing a voter that lost its disk:
// it first removes the voter's old incarnation and then promotes the new one.
// In this order neither step needs more voters for a quorum than before. If
// there is no voter to replace and PromoteLearners is set, repairMembers adds
// or removes voters with adjustVoters.
func (c *core) repairMembers() {
	if !c.rules.mayChangeMembers(c) {
		return
	}
	for _, learner := range c.members().Members {
		if !learner.Promote || learner.Voter || !c.caughtUp(learner.Incarnation) {
			continue
		}
		if old, ok := c.replacedVoter(learner); ok {
			if c.cfg.ReplaceAfter > 0 && c.timeSinceContact(old) >= c.cfg.ReplaceAfter {
				_, _ = c.removeMember(old.Incarnation) // a failed removal is retried at the next heartbeat
			}
			return
		}
		_, _ = c.promoteLearner(learner.Incarnation)
		return
	}
	if c.cfg.PromoteLearners {
		c.adjustVoters()
	}
}

// replacedVoter returns the voter that learner replaces: another incarnation of
// the same name.
func (c *core) replacedVoter(learner Member) (Member, bool) {
	for _, v := range c.members().voters() {
		if v.Name == learner.Name && v.Incarnation != learner.Incarnation {
			return v, true
		}
	}
	return Member{}, false
}

func (c *core) timeSinceContact(m Member) time.Duration {
	if p, ok := c.peers[m.Incarnation]; ok {
		return c.now.Sub(p.lastContact)
	}
	return 0
}

// stepDownIfRemoved ends this node's leadership once a committed membership no
// longer lists it as a voter.
func (c *core) stepDownIfRemoved() {
	if m := c.members(); m.Index <= c.commit && !m.isVoter(c.cfg.Self.Incarnation) {
		c.becomeFollower(c.state.Term)
	}
}
