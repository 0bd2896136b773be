package agreement

import (
	"slices"
	"time"
)

// rules are the decisions on which safety rests. Tests replace single ones to
// show that the simulation notices.
type rules struct {
	// quorum is the number of voters out of n that decide.
	quorum func(n int) int
	// mayVote reports whether the node may cast a vote.
	mayVote func(*core) bool
	// logUpToDate reports whether a candidate's log holds all that is
	// committed as far as this node can tell.
	logUpToDate func(*core, Message) bool
	// matches reports whether the log holds the entry in front of new ones.
	matches func(c *core, index, term uint64) bool
	// mayCommit reports whether an entry that a quorum holds is committed.
	mayCommit func(c *core, index uint64) bool
	// mayChange reports whether the leader may append a membership.
	mayChangeMembers func(*core) bool
	// mayForm reports whether the coordinator may form a group.
	mayFormGroup func(*core) bool
	// contactTime is the time up to which an answered round proves the
	// leadership.
	contactTime func(*core, heartbeatRound) time.Time
	// readRound is the round that must be answered before a read.
	readRound func(*core) uint64
}

func safeRules() rules {
	return rules{
		quorum:           func(n int) int { return n/2 + 1 },
		mayVote:          mayVote,
		logUpToDate:      logUpToDate,
		matches:          matches,
		mayCommit:        mayCommit,
		mayChangeMembers: mayChangeMembers,
		mayFormGroup:     mayFormGroup,
		contactTime:      func(_ *core, r heartbeatRound) time.Time { return r.sent },
		readRound:        func(c *core) uint64 { return c.round + 1 },
	}
}

// mayVote: a learner with a disk answers too, since its promotion may be in
// the candidate's log and not yet in its own, and only the candidate's members
// decide whether its vote counts. A first voter answers before it has an entry:
// it is asked by its incarnation, so the candidate's log names it, and it has
// never voted under this incarnation. Any other node without a log, and one
// without a disk, must not vote.
func mayVote(c *core) bool {
	if c.cfg.Self.Diskless {
		return false
	}
	if !c.inGroup() {
		return slices.ContainsFunc(c.cfg.Bootstrap, func(b Member) bool { return b.Name == c.cfg.Self.Name })
	}
	_, listed := c.members().find(c.cfg.Self.Incarnation)
	return listed
}

func logUpToDate(c *core, m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func matches(c *core, index, term uint64) bool {
	return index == 0 || (index <= c.log.last() && c.log.term(index) == term)
}

// mayCommit: an entry of an earlier term could still be replaced by a leader
// that does not have it, even if a quorum holds it.
func mayCommit(c *core, index uint64) bool { return c.log.term(index) == c.state.Term }

// mayChange: with two uncommitted changes, or with one on top of a change of
// an earlier leader that may still become committed, two majorities without a
// common member could decide.
func mayChangeMembers(c *core) bool {
	return c.members().Index <= c.commit && c.commit >= c.termStart
}

// mayForm: every other first voter must have said that it has no log. If one
// belongs to a group already, or does not answer, a group may exist and this
// node may have lost its disk.
func mayFormGroup(c *core) bool {
	if c.discovery.groupExists {
		return false
	}
	for _, b := range c.cfg.Bootstrap {
		if _, ok := c.discovery.withoutLog[b.Name]; !ok && b.Name != c.cfg.Self.Name {
			return false
		}
	}
	return true
}
