package agreement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// coreConfig is what the protocol needs to know.
type coreConfig struct {
	Self Member // Voter: the node may become one
	// Bootstrap are the first voters by name and address; empty for a node
	// that only joins an existing group.
	Bootstrap []Member
	// Seeds are addresses at which to ask for entry to the group.
	Seeds             []string
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ReplaceAfter is how long a voter must be silent before a learner of the
	// same name takes its place. 0: never.
	ReplaceAfter time.Duration
	// PromoteLearners lets the leader grow and mend the group by itself.
	PromoteLearners bool
	// RemoveAfter is how long a voter must be silent before a group that mends
	// itself drops it.
	RemoveAfter time.Duration
	// AdmitLearners lets the leader add nodes that ask for entry.
	AdmitLearners    bool
	MaxAppendBytes   int // of one append message
	MaxInFlightBytes int // bytes sent to one follower and not answered
	ChunkBytes       int
	MaxSnapshotBytes uint64
	MaxLagEntries    uint64 // entries that a learner may lack when it is promoted
}

// core is the protocol without input and output. It is a deterministic
// function of its configuration, random source and the sequence of calls.
//
// What it wants done collects in out. The caller must make out.state and
// out.entries durable, in this order: send out.early, persist, call persisted,
// send out.late.
type core struct {
	cfg   coreConfig
	rules rules
	rand  *rand.Rand
	now   time.Time

	state       wal.HardState
	log         memLog
	commit      uint64
	snapshot    wal.Snapshot // newest one; Index 0 if none
	memberships []membership // ascending; the last is in force

	role             Role
	leader           Member // of the current term, if known
	leaderContact    time.Time
	electionDeadline time.Time
	preVoting        bool
	votes            map[string]bool

	peers            map[string]*progress // leader only, by incarnation
	round            uint64
	rounds           []heartbeatRound
	quorumRound      uint64
	quorumContact    time.Time
	leaderSince      time.Time
	nextHeartbeat    time.Time
	termStart        uint64 // index of the leader's first entry
	transferTarget   string // incarnation of the voter that takes over, if any
	transferDeadline time.Time

	reads     []readRequest
	readRound uint64 // newest round started for a read

	discovery discoveryState
	incoming  *incomingSnapshot

	out output
	// violation is the first broken invariant; the node must stop.
	violation error
}

// output is what the caller of core must do next.
type output struct {
	stateChanged     bool
	receivedSnapshot *wal.Snapshot // replaces the log and the state machine
	entries          []wal.Entry
	immediate        []Message // may leave before the persist
	afterPersist     []Message // must not leave before the persist
	events           []event   // changes of state, for the time line
	reads            []readResult
}

// event is a change of state worth a line in the log.
type event struct {
	kind   string
	fields []string
}

// newCore restores the protocol from what the disk held.
func newCore(cfg coreConfig, seed uint64, now time.Time, s wal.State) (*core, error) {
	c := &core{
		cfg:      cfg,
		rules:    safeRules(),
		rand:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		now:      now,
		state:    s.HardState,
		snapshot: s.Snapshot,
		commit:   s.Snapshot.Index,
		role:     Follower,
		log:      memLog{baseIndex: s.PrevIndex, baseTerm: s.PrevTerm, entries: s.Entries},
	}
	c.log.stable = c.log.last()
	if s.Snapshot.Index > 0 {
		m, err := decodeMembership(0, s.Snapshot.Membership)
		if err != nil {
			return nil, err
		}
		c.memberships = []membership{m}
	}
	for _, e := range s.Entries {
		if e.Index > s.Snapshot.Index {
			if err := c.recordMembership(e); err != nil {
				return nil, err
			}
		}
	}
	c.updateLearnerRole()
	// A node that has just started hears a leader within a heartbeat interval
	// if there is one; pre-votes keep an early candidate from disturbing it.
	c.electionDeadline = c.now.Add(2*c.cfg.HeartbeatInterval + time.Duration(c.rand.Int64N(int64(c.cfg.ElectionTimeout))))
	return c, nil
}

// members returns the membership in force: the newest one in the log,
// committed or not.
func (c *core) members() membership {
	if n := len(c.memberships); n > 0 {
		return c.memberships[n-1]
	}
	return membership{}
}

// formed reports whether the node belongs to a group.
func (c *core) inGroup() bool { return len(c.memberships) > 0 }

func (c *core) group() string { return c.members().Group }

func (c *core) recordMembership(e wal.Entry) error {
	if e.Type != wal.EntryMembership {
		return nil
	}
	m, err := decodeMembership(e.Index, e.Data)
	if err != nil {
		return err
	}
	c.memberships = append(c.memberships, m)
	return nil
}

// isVoter reports whether the node is a voter as far as its log tells.
func (c *core) isVoter() bool { return c.members().isVoter(c.cfg.Self.Incarnation) }

// settleRole shows a follower that is not a voter as a learner.
func (c *core) updateLearnerRole() {
	if c.role != Follower && c.role != Learner {
		return
	}
	c.role = Follower
	if !c.isVoter() {
		c.role = Learner
	}
}

func (c *core) resetElectionTimer() {
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout + time.Duration(c.rand.Int64N(int64(c.cfg.ElectionTimeout))))
}

func (c *core) setState(s wal.HardState) {
	if s.Term < c.state.Term {
		c.setViolation("term goes from %d back to %d", c.state.Term, s.Term)
		return
	}
	if s.Term == c.state.Term && c.state.Vote != "" && s.Vote != c.state.Vote {
		c.setViolation("second vote in term %d", s.Term)
		return
	}
	if s != c.state {
		c.state = s
		c.out.stateChanged = true
	}
}

func (c *core) setViolation(format string, args ...any) {
	if c.violation == nil {
		c.violation = resultcode.Newf(resultcode.InvariantViolation, format, args...)
	}
}

// message starts a message to another node.
func (c *core) newMessage(t MessageType, to Member) Message {
	return Message{Type: t, Group: c.group(), From: c.cfg.Self, To: to.Incarnation, ToAddress: to.Address, Term: c.state.Term}
}

// answer starts the answer to m. It names the group of m: a node that is about
// to receive its first entries does not know its group yet.
func (c *core) newAnswer(t MessageType, m Message) Message {
	a := c.newMessage(t, m.From)
	a.Group, a.Round = m.Group, m.Round
	return a
}

func (c *core) sendImmediately(m Message) { c.out.immediate = append(c.out.immediate, m) }

func (c *core) sendAfterPersist(m Message) { c.out.afterPersist = append(c.out.afterPersist, m) }

// take returns what the caller must do now.
func (c *core) takeOutput() output {
	c.replicate()
	c.advanceReads()
	out := c.out
	out.entries = c.unstable()
	c.out = output{}
	return out
}

// unstable returns the entries that must be made durable.
func (c *core) unstable() []wal.Entry {
	if c.log.stable >= c.log.last() {
		return nil
	}
	rest := c.log.entries[c.log.stable-c.log.baseIndex:]
	return rest[:len(rest):len(rest)]
}

// persisted is called once the hard state and all entries are durable. Only
// then do the node's own vote and its own copy of an entry count.
func (c *core) onPersisted() {
	c.log.stable = c.log.last()
	switch {
	case c.role == Candidate && c.state.Vote == c.cfg.Self.Incarnation && !c.preVoting:
		c.countVote(c.cfg.Self.Incarnation, true)
	case c.role == Leader:
		c.advanceCommit()
	}
}

func (c *core) addEvent(kind string, fields ...string) {
	c.out.events = append(c.out.events, event{kind: kind, fields: fields})
}

// truncate removes the entries behind index from the log. Committed entries
// never change.
func (c *core) truncate(index uint64) bool {
	if index < c.commit {
		c.setViolation("truncating to %d below the commit index %d", index, c.commit)
		return false
	}
	c.log.truncate(index)
	c.memberships = slices.DeleteFunc(c.memberships, func(m membership) bool { return m.Index > index })
	c.updateLearnerRole()
	return true
}

// setCommit moves the commit index forward.
func (c *core) setCommit(index uint64) {
	if index > c.log.last() {
		c.setViolation("commit index %d behind the last entry %d", index, c.log.last())
		return
	}
	c.commit = max(c.commit, index)
}

// compact drops entries from memory once a snapshot covers them, but keeps
// some for followers that lag a little.
func (c *core) compact(s wal.Snapshot, keepEntries uint64) uint64 {
	if s.Index > c.snapshot.Index {
		c.snapshot = s
	}
	if s.Index > keepEntries {
		c.log.compact(s.Index - keepEntries)
	}
	for len(c.memberships) > 1 && c.memberships[1].Index <= c.snapshot.Index {
		c.memberships = c.memberships[1:]
	}
	return c.log.baseIndex
}

// membershipAt returns the membership in force at a committed index.
func (c *core) membershipAt(index uint64) membership {
	out := membership{}
	for _, m := range c.memberships {
		if m.Index <= index {
			out = m
		}
	}
	return out
}
