package agreement

import (
	"slices"
	"time"
)

// rules are the decisions that safety depends on. Tests replace one of them at
// a time by a wrong one to show that the simulation detects the fault.
type rules struct {
	// quorum returns how many of n voters are needed for a decision.
	quorum func(n int) int
	// mayVote reports whether the node may cast a vote.
	mayVote func(*core) bool
	// logUpToDate reports whether a candidate's log holds every entry that is
	// committed as far as this node can tell.
	logUpToDate func(*core, Message) bool
	// prevEntryMatches reports whether the log holds the entry before the new ones.
	prevEntryMatches func(c *core, index, term uint64) bool
	// mayCommit reports whether an entry stored by a quorum is committed.
	mayCommit func(c *core, index uint64) bool
	// mayChangeMembers reports whether the leader may append a membership.
	mayChangeMembers func(*core) bool
	// mayFormGroup reports whether the coordinator may form a group.
	mayFormGroup func(*core) bool
	// contactTime returns the time until which a heartbeat round that a quorum
	// answered proves that this node was the leader.
	contactTime func(*core, heartbeatRound) time.Time
	// readRound returns the heartbeat round that a quorum must answer before a read.
	readRound func(*core) uint64
}

func safeRules() rules {
	return rules{
		quorum:           func(n int) int { return n/2 + 1 },
		mayVote:          mayVote,
		logUpToDate:      logUpToDate,
		prevEntryMatches: prevEntryMatches,
		mayCommit:        mayCommit,
		mayChangeMembers: mayChangeMembers,
		mayFormGroup:     mayFormGroup,
		contactTime:      func(_ *core, r heartbeatRound) time.Time { return r.sent },
		readRound:        func(c *core) uint64 { return c.round + 1 },
	}
}

// mayVote allows every member with a disk to vote. This includes learners: a
// learner's promotion may be in the candidate's log but not yet in the
// learner's own log, and only the candidate's membership decides whether the
// vote counts.
//
// An initial voter may vote before it has any entries, because the vote request
// is addressed to its incarnation, so the candidate's log lists it, and because
// it has never voted under this incarnation. Other nodes without a log, nodes
// that are not members and diskless nodes must not vote.
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

// logUpToDate accepts a candidate whose log is at least as up to date as this
// node's, as in Raft.
func logUpToDate(c *core, m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func prevEntryMatches(c *core, index, term uint64) bool {
	return index == 0 || (index <= c.log.lastIndex() && c.log.term(index) == term)
}

// mayCommit accepts only entries of the leader's own term: an entry of an
// earlier term, even if a quorum stores it, could still be replaced by a leader
// that does not have it.
func mayCommit(c *core, index uint64) bool { return c.log.term(index) == c.state.Term }

// mayChangeMembers requires that the current membership and an entry of the
// leader's own term are committed. With two uncommitted changes, or with a
// change on top of an earlier leader's change that may still be committed, two
// majorities without a common member could make decisions.
func mayChangeMembers(c *core) bool {
	return c.members().Index <= c.commit && c.commit >= c.termStart
}

// mayFormGroup requires that every other initial voter has answered that it has
// no log. If one belongs to a group or does not answer, a group may already
// exist and this node may have lost its disk.
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
