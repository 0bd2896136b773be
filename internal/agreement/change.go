package agreement

import (
	"fmt"
	"time"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// changeMembers appends a membership. It is in force at once.
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
	m.Group = c.group()
	data, err := m.encode()
	if err != nil {
		return 0, err
	}
	index := c.appendEntry(wal.EntryMembership, data)
	if err := c.recordMembership(c.log.entries[len(c.log.entries)-1]); err != nil {
		return 0, err
	}
	c.addEvent("agreement.members", "voters", fmt.Sprint(len(m.voters())), "members", fmt.Sprint(len(m.Members)))
	c.syncPeers()
	return index, nil
}

// quorumInContact reports whether a majority of m's voters answered lately.
func (c *core) quorumInContact(m membership) bool {
	return c.countVotersInContact(m) >= c.rules.quorum(len(m.voters()))
}

// inContact counts the voters of m that answered lately, the leader included.
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

// addLearner adds a member that receives the log. A learner of the same name
// is an earlier incarnation and is dropped.
func (c *core) addLearner(x Member) (uint64, error) {
	if x.Name == "" || x.Incarnation == "" || x.Address == "" {
		return 0, fmt.Errorf("%w: a member needs a name, an incarnation and an address", ErrMembershipChange)
	}
	if _, ok := c.members().find(x.Incarnation); ok {
		return 0, nil
	}
	m := c.members()
	for _, old := range m.Members {
		if old.Name == x.Name && !old.Voter {
			x.Promote = (x.Promote || old.Promote) && !x.Diskless
			m = m.without(old.Incarnation)
		}
	}
	x.Voter = false
	return c.changeMembers(m.with(x))
}

// promote makes a learner a voter once it has caught up.
func (c *core) promote(incarnation string) (uint64, error) {
	x, ok := c.members().find(incarnation)
	switch {
	case !ok || x.Diskless:
		return 0, fmt.Errorf("%w: %q is not a learner with a disk", ErrMembershipChange, incarnation)
	case x.Voter:
		return 0, nil
	case c.role == Leader && !c.caughtUp(incarnation):
		return 0, fmt.Errorf("%w: the learner lags too far behind", ErrMembershipChange)
	}
	x.Voter, x.Promote = true, false
	return c.changeMembers(c.members().with(x))
}

func (c *core) remove(incarnation string) (uint64, error) {
	if _, ok := c.members().find(incarnation); !ok {
		return 0, nil
	}
	return c.changeMembers(c.members().without(incarnation))
}

// replace removes a voter and marks the learner that takes its place.
func (c *core) replace(old, incarnation string) (uint64, error) {
	x, ok := c.members().find(incarnation)
	if !ok || x.Diskless || (!x.Voter && !c.caughtUp(incarnation)) {
		return 0, fmt.Errorf("%w: %q is not a learner with a disk that has caught up", ErrMembershipChange, incarnation)
	}
	if _, ok := c.members().find(old); !ok {
		if x.Voter || x.Promote {
			return 0, nil // an earlier call did this already
		}
		return 0, fmt.Errorf("%w: %q is not a member", ErrMembershipChange, old)
	}
	x.Promote = !x.Voter
	return c.changeMembers(c.members().without(old).with(x))
}

func (c *core) caughtUp(incarnation string) bool {
	p, ok := c.peers[incarnation]
	return ok && p.match > 0 && p.match+c.cfg.MaxLagEntries >= c.commit && c.now.Sub(p.lastContact) < c.cfg.ElectionTimeout
}

// admit adds a node that asked for entry. One that has a disk and the name of
// a voter is that voter's new incarnation.
func (c *core) admit(x Member) {
	if _, ok := c.members().find(x.Incarnation); ok {
		return
	}
	x.Promote = false
	for _, v := range c.members().voters() {
		if v.Name == x.Name && !x.Diskless {
			x.Promote = true
		}
	}
	_, _ = c.addLearner(x) // refused while another change is open; x asks again
}

// repairMembers moves the replacement of a lost voter one step on: first its
// lost incarnation is removed, then the new one is promoted. In this order
// neither step needs more voters than were needed before.
func (c *core) repairMembers() {
	if !c.rules.mayChangeMembers(c) {
		return
	}
	for _, x := range c.members().Members {
		if !x.Promote || x.Voter || !c.caughtUp(x.Incarnation) {
			continue
		}
		if old, ok := c.replacedVoter(x); ok {
			if c.cfg.ReplaceAfter > 0 && c.timeSinceContact(old) >= c.cfg.ReplaceAfter {
				_, _ = c.remove(old.Incarnation) // tried again with the next heartbeat
			}
			return
		}
		_, _ = c.promote(x.Incarnation)
		return
	}
	if c.cfg.PromoteLearners {
		c.adjustVoters()
	}
}

// lostIncarnation returns the voter that x replaces.
func (c *core) replacedVoter(x Member) (Member, bool) {
	for _, v := range c.members().voters() {
		if v.Name == x.Name && v.Incarnation != x.Incarnation {
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

// afterCommit ends the leadership of a node that a committed change removed.
func (c *core) stepDownIfRemoved() {
	if m := c.members(); m.Index <= c.commit && !m.isVoter(c.cfg.Self.Incarnation) {
		c.becomeFollower(c.state.Term)
	}
}
