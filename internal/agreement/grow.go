package agreement

import "time"

// Limits for a group whose leader manages the voters (PromoteLearners).
const (
	// maxAutoVoters is the number of voters that the leader aims for.
	maxAutoVoters = 5
	// minAutoVoters is the number of voters at which no more voters are removed.
	minAutoVoters = 3
	// defaultRemoveAfter is how long a voter must be out of contact before its removal. It
	// exceeds the duration of a process restart. Even when leaders change often, it must
	// be well below the time for which one leader stays in office, because each new leader
	// measures from zero. A removed voter that comes back joins again as a learner.
	defaultRemoveAfter = 2 * time.Second
)

// adjustVoters makes at most one change of the voters per call, towards a group
// of maxAutoVoters voters that are all in contact. Each change adds or removes
// one voter, so that any two successive majorities share a member.
//
// An unreachable voter is removed only if the remaining voters could lose one
// more and still have a quorum: a voter that counts as reachable may be about to
// fail, while the unreachable one may still have its disk. Until then, learners
// are promoted to additional voters.
func (c *core) adjustVoters() {
	voters := c.members().voters()
	var unreachable []Member
	for _, v := range voters {
		if v.Incarnation != c.cfg.Self.Incarnation && c.timeSinceContact(v) >= c.cfg.RemoveAfter {
			unreachable = append(unreachable, v)
		}
	}
	if len(unreachable) > 0 && len(voters) > minAutoVoters && c.toleratesAnotherLoss(len(voters)) {
		// The removal fails while an earlier membership change is uncommitted; it
		// is retried at the next heartbeat.
		_, _ = c.removeMember(unreachable[0].Incarnation)
		return
	}
	if len(voters) < min(maxAutoVoters+len(unreachable), maxVoters) {
		c.promoteOneLearner()
	}
	c.removeUnreachableLearners()
}

// toleratesAnotherLoss reports whether the group still has a quorum after one
// unreachable voter of its n voters is removed and one more voter fails.
func (c *core) toleratesAnotherLoss(n int) bool {
	return c.countVotersInContact(c.members()) > c.rules.quorum(n-1)
}

func (c *core) promoteOneLearner() {
	for _, learner := range c.members().Members {
		if !learner.Voter && !learner.Diskless && c.caughtUp(learner.Incarnation) {
			// The promotion fails while an earlier membership change is uncommitted;
			// it is retried at the next heartbeat.
			_, _ = c.promoteLearner(learner.Incarnation)
			return
		}
	}
}

// removeUnreachableLearners removes at most one learner that has been out of
// contact for a long time, so that replaced instances do not fill up the
// membership.
func (c *core) removeUnreachableLearners() {
	if !c.rules.mayChangeMembers(c) {
		return
	}
	for _, learner := range c.members().Members {
		if !learner.Voter && c.timeSinceContact(learner) >= 4*c.cfg.RemoveAfter {
			_, _ = c.removeMember(learner.Incarnation)
			return
		}
	}
}

// admitOrForward handles a node that is not a member: one that asked to join,
// or a removed voter that has not learned of its removal and asks for votes.
// The leader admits the node as a learner. In both cases, any other member sends
// a join request for the node to the leader that it knows. A request is forwarded
// only once, because the leader known to a member may be an outdated one.
func (c *core) admitOrForward(node Member, forwarded bool) {
	if _, ok := c.members().find(node.Incarnation); ok || !c.cfg.AdmitLearners {
		return
	}
	switch {
	case c.role == Leader:
		c.admitLearner(node)
	case !forwarded && c.leader.Address != "" && c.leader.Incarnation != c.cfg.Self.Incarnation:
		c.sendImmediately(Message{
			Type: MsgHello, Group: c.groupID(), From: node, To: c.leader.Incarnation, ToAddress: c.leader.Address, Forced: true,
		})
	}
}
