package agreement

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
	"github.com/endivetrack/endivetrack/internal/wal/waltest"
)

var testNow = time.Unix(1000, 0)

// testMembers returns n voters named a, b, ... Each one's incarnation and
// address equal its name.
func testMembers(n int) membership {
	m := membership{Group: "g"}
	for i := range n {
		name := string(rune('a' + i))
		m = m.with(Member{Name: name, Incarnation: name, Address: name, Voter: true})
	}
	return m
}

// testCore returns a core whose log holds the membership m in term 1, followed
// by one entry per given term.
func testCore(t *testing.T, name string, m membership, terms ...uint64) *core {
	t.Helper()
	data, err := m.encode()
	assert.NilError(t, err)
	s := wal.State{HardState: wal.HardState{Term: 1}, Entries: []wal.Entry{{Index: 1, Term: 1, Type: wal.EntryMembership, Data: data}}}
	for _, term := range terms {
		s.Entries = append(s.Entries, wal.Entry{Index: uint64(len(s.Entries)) + 1, Term: term, Type: wal.EntryCommand})
		s.HardState.Term = term
	}
	config, err := Config{Name: name, Address: name}.withDefaults()
	assert.NilError(t, err)
	c, err := newCore(config.core(Member{Name: name, Incarnation: name, Address: name}), 1, testNow, s)
	assert.NilError(t, err)
	return c
}

// elect makes c the leader of the given term with the votes of the named nodes.
func elect(t *testing.T, c *core, term uint64, voters ...string) {
	t.Helper()
	c.state.Term = term - 1
	c.state.Vote = ""
	c.startElection(false)
	c.takeOutput()
	c.onPersisted()
	for _, v := range voters {
		assert.NilError(t, c.step(testNow, Message{Type: MsgVoteAnswer, Group: "g", From: Member{Name: v, Incarnation: v}, To: c.cfg.Self.Incarnation, Term: term}))
	}
	assert.Equal(t, c.role, Leader)
	c.takeOutput()
	c.onPersisted()
}

// acknowledge delivers to leader c another node's answer that its log matches
// up to index.
func acknowledge(t *testing.T, c *core, from string, index uint64) {
	t.Helper()
	assert.NilError(t, c.step(testNow, Message{Type: MsgAppendAnswer, Group: "g", From: Member{Name: from, Incarnation: from}, To: c.cfg.Self.Incarnation, Term: c.state.Term, Index: index, Round: 1}))
	c.takeOutput()
	c.onPersisted()
}

// commitsEntryOfOldTerm lets a leader of term 4 replicate an entry of term 2 to
// a majority. A node whose last entry is of term 3 can still win an election
// and replace that entry. The function reports whether the leader commits it
// nevertheless.
func commitsEntryOfOldTerm(t *testing.T, change func(*rules)) bool {
	leader := testCore(t, "a", testMembers(5), 2)
	change(&leader.rules)
	elect(t, leader, 4, "b", "c")
	acknowledge(t, leader, "b", 2)
	acknowledge(t, leader, "c", 2)
	rival := testCore(t, "e", testMembers(5), 3)
	for _, name := range []string{"b", "c", "d"} {
		voter := testCore(t, name, testMembers(5), []uint64{2}[:min(1, int('d'-name[0]))]...)
		m := Message{Index: rival.log.lastIndex(), LogTerm: rival.log.lastTerm()}
		assert.Assert(t, voter.rules.logUpToDate(voter, m), "%s does not vote for the rival", name)
	}
	return leader.commit >= 2
}

// Guards against committing an entry of an earlier term because enough nodes
// have a copy of it: a later leader may lack the entry and replace it.
func TestLeaderCommitsOnlyOwnTerm(t *testing.T) {
	assert.Assert(t, !commitsEntryOfOldTerm(t, func(*rules) {}))
	assert.Assert(t, commitsEntryOfOldTerm(t, func(r *rules) { r.mayCommit = func(*core, uint64) bool { return true } }),
		"the scenario does not detect the wrong rule")
	leader := testCore(t, "a", testMembers(5), 2)
	elect(t, leader, 4, "b", "c")
	acknowledge(t, leader, "b", 3)
	acknowledge(t, leader, "c", 3)
	assert.Equal(t, leader.commit, uint64(3))
}

// voteLosingStore does not persist votes.
type voteLosingStore struct{ storage }

func (s voteLosingStore) Append(h wal.HardState, e []wal.Entry) error {
	return s.storage.Append(wal.HardState{Term: h.Term}, e)
}

// votesAfterRestart sends a node vote requests from two candidates of the same
// term and crashes its machine after each. It returns how many votes were
// granted.
func votesAfterRestart(t *testing.T, wrap func(storage) storage) int {
	disk, granted := waltest.NewMemFS(), 0
	data, err := testMembers(3).encode()
	assert.NilError(t, err)
	for run, candidate := range []string{"b", "c"} {
		store, state, self, err := openStorage("d", wal.Options{FS: disk}, Member{Name: "a", Address: "a"}, func() string { return "a" })
		assert.NilError(t, err)
		config, err := Config{Name: "a", Address: "a"}.withDefaults()
		assert.NilError(t, err)
		c, err := newCore(config.core(self), 1, testNow, state)
		assert.NilError(t, err)
		r := replica{core: c, store: wrap(store)}
		if run == 0 {
			c.appendFirstEntry(wal.Entry{Index: 1, Term: firstTerm, Type: wal.EntryMembership, Data: data})
		}
		assert.NilError(t, c.step(testNow, Message{Type: MsgVote, Group: "g", From: Member{Name: candidate, Incarnation: candidate, Address: candidate}, To: "a", Term: 5, Index: 9, LogTerm: 4}))
		_, err = r.flush(func(m Message) {
			if m.Type == MsgVoteAnswer && !m.Reject {
				granted++
			}
		})
		assert.NilError(t, err)
		disk.Crash(rand.New(rand.NewPCG(1, 1)))
	}
	return granted
}

// Guards against a node that votes twice in one term because a crash made it
// lose its first vote.
func TestVoteSurvivesCrash(t *testing.T) {
	assert.Equal(t, votesAfterRestart(t, func(s storage) storage { return s }), 1)
	assert.Equal(t, votesAfterRestart(t, func(s storage) storage { return voteLosingStore{s} }), 2,
		"the scenario does not detect a vote that is not durable")
}

// Guards against votes from a node without a log that is not an initial voter,
// and from a diskless node: both may have lost earlier votes.
func TestUnknownAndDisklessNodesDoNotVote(t *testing.T) {
	vote := Message{Type: MsgVote, Group: "g", From: Member{Name: "b", Incarnation: "b", Address: "b"}, To: "a", Term: 5, Index: 9, LogTerm: 4}
	grantedVotes := func(c *core) (granted int) {
		for _, typ := range []MessageType{MsgPreVote, MsgVote} {
			m := vote
			m.Type = typ
			assert.NilError(t, c.step(testNow, m))
		}
		for _, m := range c.takeOutput().afterPersist {
			if !m.Reject {
				granted++
			}
		}
		return granted
	}
	known := testCore(t, "a", testMembers(3))
	assert.Equal(t, grantedVotes(known), 2)
	empty := testCore(t, "a", testMembers(3))
	empty.log, empty.memberships = memLog{}, nil
	assert.Equal(t, grantedVotes(empty), 0)
	diskless := testCore(t, "a", testMembers(3))
	diskless.cfg.Self.Diskless = true
	assert.Equal(t, grantedVotes(diskless), 0)
}

// Guards against accepting messages that are addressed to another incarnation
// of the node or come from another group.
func TestMisaddressedMessagesAreRefused(t *testing.T) {
	c := testCore(t, "a", testMembers(3))
	for _, m := range []Message{
		{Type: MsgAppend, Group: "g", From: Member{Name: "b", Incarnation: "b"}, To: "lost", Term: 9},
		{Type: MsgAppend, Group: "other", From: Member{Name: "b", Incarnation: "b"}, To: "a", Term: 9},
	} {
		assert.Equal(t, resultcode.From(c.step(testNow, m)).Code, resultcode.IdentityMismatch)
		assert.Equal(t, c.state.Term, uint64(1))
	}
}

// Guards against two concurrent membership changes, and against a change before
// the leader has committed an entry of its own term. In both cases two
// majorities without a common member could make decisions.
func TestOneMembershipChangeAtATime(t *testing.T) {
	leader := testCore(t, "a", testMembers(3))
	elect(t, leader, 2, "b")
	_, err := leader.removeMember("c")
	assert.Assert(t, errors.Is(err, ErrMembershipChange), "before the first commit of the term: %v", err)
	acknowledge(t, leader, "b", 2)
	index, err := leader.addLearner(Member{Name: "d", Incarnation: "d1", Address: "d"})
	assert.NilError(t, err)
	_, err = leader.removeMember("c")
	assert.Assert(t, errors.Is(err, ErrMembershipChange), "on top of an uncommitted change: %v", err)
	leader.takeOutput()
	leader.onPersisted()
	acknowledge(t, leader, "b", index)
	_, err = leader.promoteLearner("d1")
	assert.Assert(t, errors.Is(err, ErrMembershipChange), "a learner that lags: %v", err)
	acknowledge(t, leader, "d1", index)
	_, err = leader.promoteLearner("d1")
	assert.NilError(t, err)
}

// Guards against invariant violations that go undetected. Each must return an
// error with code 9002, which stops the node.
func TestInvariantsStopTheNode(t *testing.T) {
	from := func(name string) Member { return Member{Name: name, Incarnation: name} }
	for name, m := range map[string][]Message{
		"two leaders in one term": {
			{Type: MsgAppend, From: from("b"), Term: 2},
			{Type: MsgAppend, From: from("c"), Term: 2},
		},
		"a committed entry is replaced": {
			{Type: MsgAppend, From: from("b"), Term: 2, Index: 1, LogTerm: 1, Commit: 2, Entries: []wal.Entry{{Index: 2, Term: 2, Type: wal.EntryNoop}}},
			{Type: MsgAppend, From: from("c"), Term: 3, Index: 1, LogTerm: 1, Entries: []wal.Entry{{Index: 2, Term: 3, Type: wal.EntryNoop}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := testCore(t, "a", testMembers(3))
			var err error
			for _, x := range m {
				assert.NilError(t, err)
				x.Group, x.To = "g", "a"
				err = c.step(testNow, x)
			}
			assert.Equal(t, resultcode.From(err).Code, resultcode.InvariantViolation)
			_, err = (&replica{core: c, store: noStorage{}}).flush(func(Message) {})
			assert.Equal(t, resultcode.From(err).Code, resultcode.InvariantViolation)
		})
	}
}

// Guards against a follower that receives no more entries. If compaction
// removes entries from the log before the follower acknowledges them, they must
// not count as in flight forever.
func TestInFlightResetAfterCompaction(t *testing.T) {
	leader := testCore(t, "a", testMembers(3))
	elect(t, leader, 2, "b")
	acknowledge(t, leader, "b", 2)
	acknowledge(t, leader, "c", 2)
	last := leader.appendEntry(wal.EntryCommand, make([]byte, 100))
	leader.takeOutput()
	leader.onPersisted()
	acknowledge(t, leader, "c", last)
	assert.Equal(t, leader.commit, last)
	assert.Equal(t, leader.peers["b"].inFlight, 100)
	leader.compact(wal.Snapshot{Index: last, Term: 2}, 0, 0)
	acknowledge(t, leader, "b", last)
	assert.Equal(t, leader.peers["b"].inFlight, 0)
}
