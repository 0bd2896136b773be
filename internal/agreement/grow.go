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
func (c *core) growMembers() {
	voters := c.members().voters()
	var silent []Member
	for _, v := range voters {
		if v.Incarnation != c.cfg.Self.Incarnation && c.silentFor(v) >= c.cfg.RemoveAfter {
			silent = append(silent, v)
		}
	}
	if len(silent) > 0 && len(voters) > minAutoVoters && c.spares(len(voters)) {
		_, _ = c.remove(silent[0].Incarnation) // refused while a change is open; tried again
		return
	}
	if len(voters) < min(maxAutoVoters+len(silent), maxVoters) {
		c.promoteOne()
	}
	c.dropLostLearners()
}

// spares reports whether, with one silent voter of n removed, one more could
// be lost.
func (c *core) spares(n int) bool {
	return c.inContact(c.members()) > c.rules.quorum(n-1)
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
func (c *core) dropLostLearners() {
	if !c.rules.mayChange(c) {
		return
	}
	for _, x := range c.members().Members {
		if !x.Voter && c.silentFor(x) >= 4*c.cfg.RemoveAfter {
			_, _ = c.remove(x.Incarnation)
			return
		}
	}
}

// introduce brings a node that is no member to the leader: one that asks for
// entry at another member, or a former voter that does not know of its removal
// and asks for votes. An introduction is passed on once only, since leaders
// may be known wrongly.
func (c *core) introduce(x Member, passedOn bool) {
	if _, ok := c.members().find(x.Incarnation); ok || !c.cfg.AdmitLearners {
		return
	}
	switch {
	case c.role == Leader:
		c.admit(x)
	case !passedOn && c.leader.Address != "" && c.leader.Incarnation != c.cfg.Self.Incarnation:
		c.sendEarly(Message{
			Type: MsgHello, Group: c.group(), From: x, To: c.leader.Incarnation, ToAddress: c.leader.Address, Forced: true,
		})
	}
}
