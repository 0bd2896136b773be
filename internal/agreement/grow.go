package agreement

import "time"

// Bounds of a group that grows and mends itself.
const (
	// maxAutoVoters is how many voters the leader makes by itself.
	maxAutoVoters = 5
	// minAutoVoters is the size below which no silent voter is removed.
	minAutoVoters = 3
	// removeAfter is how long a voter must be silent before it is removed. It
	// exceeds restarts and short partitions; a voter that comes back later
	// joins again as a learner.
	removeAfter = 8 * time.Second
)

// growMembers makes one change towards a group of maxAutoVoters voters that
// are all alive. Each change moves one voter, so that any two successive
// majorities share a member; a removal is proposed only while a majority of
// the remaining voters answers.
func (c *core) growMembers() {
	voters := c.members().voters()
	if len(voters) > minAutoVoters {
		for _, v := range voters {
			if v.Incarnation != c.cfg.Self.Incarnation && c.silentFor(v) >= removeAfter {
				_, _ = c.remove(v.Incarnation) // refused without a quorum; tried again
				return
			}
		}
	}
	if len(voters) < maxAutoVoters {
		c.promoteOne()
	}
	c.dropLostLearners()
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
		if !x.Voter && c.silentFor(x) >= 4*removeAfter {
			_, _ = c.remove(x.Incarnation)
			return
		}
	}
}

// readmit takes a former member back that does not know of its removal: its
// log still lists it as a voter, so it asks for votes.
func (c *core) readmit(x Member) {
	if !c.cfg.PromoteLearners || c.role != Leader || x.Diskless {
		return
	}
	c.admit(x)
}
