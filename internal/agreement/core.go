package agreement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// coreConfig configures the protocol core.
type coreConfig struct {
	Self Member // this node; it never votes if Diskless is set
	// Bootstrap lists the initial voters by name and address. It is empty on a
	// node that only joins an existing group.
	Bootstrap []Member
	// Seeds lists addresses at which to ask to join the group.
	Seeds             []string
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ReplaceAfter is how long a voter must be out of contact before a learner
	// of the same name replaces it. 0 or less: never.
	ReplaceAfter time.Duration
	// PromoteLearners lets the leader add and remove voters by itself.
	PromoteLearners bool
	// RemoveAfter is how long a voter must be out of contact before the leader
	// removes it. Used with PromoteLearners.
	RemoveAfter time.Duration
	// AdmitLearners lets the leader add nodes that ask to join.
	AdmitLearners    bool
	MaxAppendBytes   int // maximum bytes of entry data per append message
	MaxInFlightBytes int // maximum unacknowledged bytes sent to one follower
	ChunkBytes       int
	MaxSnapshotSize  uint64
	MaxLagEntries    uint64 // how many entries a learner may lack up to the commit index when it is promoted
}

// core is the consensus protocol without I/O. It is a deterministic function of
// its configuration, its random source and the sequence of calls.
//
// Calls collect their effects in out. The caller must, in this order: get the
// output from takeOutput, send out.immediate, make the hard state and
// out.entries durable, call onPersisted and send out.afterPersist.
//
// On the leader, round is the newest heartbeat round, quorumRound the newest one
// that a quorum answered, and quorumContact the send time of quorumRound.
type core struct {
	cfg   coreConfig
	rules rules
	rand  *rand.Rand
	now   time.Time

	state       wal.HardState
	log         memLog
	commit      uint64
	snapshot    wal.Snapshot // newest snapshot; Index 0 if there is none
	memberships []membership // memberships known from the log and snapshot, ascending by Index; the last one is in effect

	role             Role
	leader           Member // leader of the current term, if known
	leaderContact    time.Time
	electionDeadline time.Time
	preVoting        bool
	votes            map[string]bool

	peers            map[string]*progress // the other members' progress, by incarnation; set on the leader only
	round            uint64
	rounds           []heartbeatRound
	quorumRound      uint64
	quorumContact    time.Time
	leaderSince      time.Time
	nextHeartbeat    time.Time
	termStart        uint64 // index of the leader's first entry in its term
	transferTarget   string // incarnation of the voter that leadership is being transferred to
	transferDeadline time.Time

	reads     []readRequest
	readRound uint64 // newest heartbeat round that was started to confirm a read

	discovery discoveryState
	incoming  *incomingSnapshot

	out output
	// violation is the first invariant violation. If it is set, the node must stop.
	violation error
}

// output is the work that core leaves to its caller.
type output struct {
	stateChanged     bool
	receivedSnapshot *wal.Snapshot // snapshot from the leader that replaces the log and the state machine's state
	entries          []wal.Entry
	immediate        []Message // messages that may be sent before the hard state and entries are durable
	afterPersist     []Message // messages that must wait until the hard state and entries are durable
	events           []event   // state changes for the timeline
	reads            []readResult
}

// event is a state change that is recorded in the timeline.
type event struct {
	kind   string
	fields []string
}

// newCore creates a core from the state read from disk.
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
	c.log.stableIndex = c.log.lastIndex()
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
	// The first election timeout may be short, because an existing leader makes
	// contact within one heartbeat interval. If this node nevertheless becomes
	// a candidate too early, pre-votes keep it from disturbing that leader.
	c.electionDeadline = c.now.Add(2*c.cfg.HeartbeatInterval + time.Duration(c.rand.Int64N(int64(c.cfg.ElectionTimeout))))
	return c, nil
}

// members returns the membership in effect: the newest one in the log,
// committed or not.
func (c *core) members() membership {
	if n := len(c.memberships); n > 0 {
		return c.memberships[n-1]
	}
	return membership{}
}

// inGroup reports whether the node belongs to a group.
func (c *core) inGroup() bool { return len(c.memberships) > 0 }

func (c *core) groupID() string { return c.members().Group }

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

// isVoter reports whether this node's log lists it as a voter.
func (c *core) isVoter() bool { return c.members().isVoter(c.cfg.Self.Incarnation) }

// updateLearnerRole switches between Follower and Learner, depending on whether
// the node is a voter.
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
		c.setViolation("term decreases from %d to %d", c.state.Term, s.Term)
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

// newMessage returns a message to another node with the common fields set.
func (c *core) newMessage(t MessageType, to Member) Message {
	return Message{Type: t, Group: c.groupID(), From: c.cfg.Self, To: to.Incarnation, ToAddress: to.Address, Term: c.state.Term}
}

// newAnswer returns an answer to m with the common fields set. The group is
// taken from m, because a node that has no entries yet has not learned its
// group.
func (c *core) newAnswer(t MessageType, m Message) Message {
	a := c.newMessage(t, m.From)
	a.Group, a.Round = m.Group, m.Round
	return a
}

func (c *core) sendImmediately(m Message) { c.out.immediate = append(c.out.immediate, m) }

func (c *core) sendAfterPersist(m Message) { c.out.afterPersist = append(c.out.afterPersist, m) }

// takeOutput returns the work for the caller and clears it.
func (c *core) takeOutput() output {
	c.replicate()
	c.advanceReads()
	out := c.out
	out.entries = c.unstableEntries()
	c.out = output{}
	return out
}

// unstableEntries returns the entries that are not durable yet.
func (c *core) unstableEntries() []wal.Entry {
	if c.log.stableIndex >= c.log.lastIndex() {
		return nil
	}
	rest := c.log.entries[c.log.stableIndex-c.log.baseIndex:]
	return rest[:len(rest):len(rest)]
}

// onPersisted must be called once the hard state and all entries are durable.
// Only then do the node's vote for itself and its own copy of an entry count.
func (c *core) onPersisted() {
	c.log.stableIndex = c.log.lastIndex()
	switch {
	case c.role == Candidate && c.state.Vote == c.cfg.Self.Incarnation && !c.preVoting:
		c.countVote(c.cfg.Self.Incarnation, true)
	case c.role == Leader:
		c.advanceCommit()
	}
}

func (c *core) event(kind string, fields ...string) {
	c.out.events = append(c.out.events, event{kind: kind, fields: fields})
}

// truncate removes all entries after index. It fails with an invariant
// violation if that would remove a committed entry.
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

// setCommit advances the commit index. A lower index has no effect.
func (c *core) setCommit(index uint64) {
	if index > c.log.lastIndex() {
		c.setViolation("commit index %d exceeds the last entry %d", index, c.log.lastIndex())
		return
	}
	c.commit = max(c.commit, index)
}

// compact makes s the newest snapshot and removes the entries that it covers
// from memory, except the last keepEntries of them that fit into keepBytes, which stay for
// followers that lag. It returns the new base index.
func (c *core) compact(s wal.Snapshot, keepEntries uint64, keepBytes int) uint64 {
	if s.Index > c.snapshot.Index {
		c.snapshot = s
	}
	c.log.compact(c.log.beforeLast(s.Index, keepEntries, keepBytes))
	for len(c.memberships) > 1 && c.memberships[1].Index <= c.snapshot.Index {
		c.memberships = c.memberships[1:]
	}
	return c.log.baseIndex
}

// membershipAt returns the membership in effect at a committed index.
func (c *core) membershipAt(index uint64) membership {
	out := membership{}
	for _, m := range c.memberships {
		if m.Index <= index {
			out = m
		}
	}
	return out
}
