package agreement

import "time"

// Bounds of a group that grows and mends itself.
const (
	// maxAutoVoters is how many voters the leader makes by itself.
	maxAutoVoters = 5
	// minAutoVoters is the size below which no silent voter is removed.
	minAutoVoters = 3
	// defaultRemoveAfter is how long a voter must be silent before it is
	// removed. It exceeds a restart. It must be well below the time for which
	// one leader lasts on a bad day, since every leader counts anew; a voter
	// that comes back later joins again as a learner.
	defaultRemoveAfter = 2 * time.Second
)

// growMembers makes one change towards a group of maxAutoVoters voters that
// are all alive. Each change moves one voter, so that any two successive
// majorities share a member.
//
// A silent voter may still hold its disk while another one that counts as
// alive is just being lost. It is removed only if the rest could lose one more
// and still decide; until then voters are added in its place.
func (c *core) adjustVoters() {
	voters := c.members().voters()
	var unreachable []Member
	for _, v := range voters {
		if v.Incarnation != c.cfg.Self.Incarnation && c.timeSinceContact(v) >= c.cfg.RemoveAfter {
			unreachable = append(unreachable, v)
		}
	}
	if len(unreachable) > 0 && len(voters) > minAutoVoters && c.toleratesAnotherLoss(len(voters)) {
		_, _ = c.remove(unreachable[0].Incarnation) // refused while a change is open; tried again
		return
	}
	if len(voters) < min(maxAutoVoters+len(unreachable), maxVoters) {
		c.promoteOne()
	}
	c.removeUnreachableLearners()
}

// spares reports whether, with one silent voter of n removed, one more could
// be lost.
func (c *core) toleratesAnotherLoss(n int) bool {
	return c.countVotersInContact(c.members()) > c.rules.quorum(n-1)
}

func (c *core) promoteOne() {
	for _, x := range c.members().Members {
		if !x.Voter && !x.Diskless && c.caughtUp(x.Incarnation) {
			_, _ = c.promote(x.Incarnation) // refused while a change is open; tried again
			return
		}
	}
}

// dropLostLearners removes learners that are silent for long, so that
// replaced instances do not fill the membership.
func (c *core) removeUnreachableLearners() {
	if !c.rules.mayChangeMembers(c) {
		return
	}
	for _, x := range c.members().Members {
		if !x.Voter && c.timeSinceContact(x) >= 4*c.cfg.RemoveAfter {
			_, _ = c.remove(x.Incarnation)
			return
		}
	}
}

// introduce brings a node that is no member to the leader: one that asks for
// entry at another member, or a former voter that does not know of its removal
// and asks for votes. An introduction is passed on once only, since leaders
// may be known wrongly.
func (c *core) admitOrForward(x Member, forwarded bool) {
	if _, ok := c.members().find(x.Incarnation); ok || !c.cfg.AdmitLearners {
		return
	}
	switch {
	case c.role == Leader:
		c.admit(x)
	case !forwarded && c.leader.Address != "" && c.leader.Incarnation != c.cfg.Self.Incarnation:
		c.sendImmediately(Message{
			Type: MsgHello, Group: c.group(), From: x, To: c.leader.Incarnation, ToAddress: c.leader.Address, Forced: true,
		})
	}
}
