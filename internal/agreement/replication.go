package agreement

import (
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// maxRounds limits the number of heartbeat rounds whose send time is kept.
const maxRounds = 1024

// heartbeatRound is the send time of one heartbeat round.
type heartbeatRound struct {
	number uint64
	sent   time.Time
}

// progress is what the leader knows of another member's log and connection.
//
// probeSent is set while the one append message that may be in flight during
// probing is unanswered. lastProgress is when the member's log last advanced,
// or when sending to the member last started or was retried. lastContact is the
// time of the member's last answer, or the time it was added.
type progress struct {
	member Member
	match  uint64 // highest index known to be durable on the member
	next   uint64 // index of the next entry to send
	// probing means that the follower's log may differ. Only one append message
	// is sent at a time until the logs are known to match.
	probing          bool
	probeSent        bool
	inFlight         int // bytes of entries sent but not acknowledged
	lastProgress     time.Time
	lastContact      time.Time
	round            uint64 // newest heartbeat round that the member answered
	snapshotTransfer *snapshotTransfer
}

// syncPeers adds and removes peers to match the current members.
func (c *core) syncPeers() {
	for _, m := range c.members().Members {
		if m.Incarnation == c.cfg.Self.Incarnation {
			continue
		}
		if p, ok := c.peers[m.Incarnation]; ok {
			p.member = m
			continue
		}
		// The first append must contain at least one entry: only entries reveal
		// what the follower lacks.
		c.peers[m.Incarnation] = &progress{member: m, next: max(c.log.lastIndex(), 1), probing: true, lastProgress: c.now, lastContact: c.now}
	}
	for id := range c.peers {
		if _, ok := c.members().find(id); !ok {
			delete(c.peers, id)
		}
	}
}

// eachPeer calls visit for each peer in member order, which keeps core
// deterministic.
func (c *core) eachPeer(visit func(*progress)) {
	for _, m := range c.members().Members {
		if p, ok := c.peers[m.Incarnation]; ok {
			visit(p)
		}
	}
}

// appendEntry appends an entry to the leader's log and returns its index.
// replicate sends it later.
func (c *core) appendEntry(t wal.EntryType, data []byte) uint64 {
	e := wal.Entry{Index: c.log.lastIndex() + 1, Term: c.state.Term, Type: t, Data: data}
	c.log.append(e)
	return e.Index
}

// replicate sends missing entries to each peer, within the in-flight limit.
func (c *core) replicate() {
	if c.role == Leader {
		c.eachPeer(c.sendEntries)
	}
}

func (c *core) sendEntries(p *progress) {
	if c.role != Leader {
		return // a commit has just ended this node's leadership
	}
	if p.next <= c.log.baseIndex && p.snapshotTransfer == nil {
		c.startSnapshotTransfer(p)
	}
	if p.snapshotTransfer != nil {
		return
	}
	for p.next <= c.log.lastIndex() && !p.probeSent && p.inFlight < c.cfg.MaxInFlightBytes {
		m := c.appendMessage(p, p.next-1)
		m.Entries = c.log.entriesFrom(p.next, c.cfg.MaxAppendBytes)
		c.sendImmediately(m)
		if p.probing {
			p.probeSent = true
			return
		}
		last := m.Entries[len(m.Entries)-1].Index
		p.inFlight += c.log.dataBytes(p.next-1, last)
		if p.next == p.match+1 {
			p.lastProgress = c.now
		}
		p.next = last + 1
	}
}

func (c *core) appendMessage(p *progress, prev uint64) Message {
	m := c.newMessage(MsgAppend, p.member)
	m.Index, m.LogTerm = prev, c.log.term(prev)
	m.Commit, m.Round = c.commit, c.round
	return m
}

// broadcastHeartbeat starts a heartbeat round: it sends each member a message
// whose answer proves that this node was still the leader when the round started.
func (c *core) broadcastHeartbeat() {
	c.round++
	c.rounds = append(c.rounds, heartbeatRound{number: c.round, sent: c.now})
	if len(c.rounds) > maxRounds {
		c.rounds = slices.Delete(c.rounds, 0, 1)
	}
	c.nextHeartbeat = c.now.Add(c.cfg.HeartbeatInterval)
	c.eachPeer(func(p *progress) {
		// The entry at match is known to be present, so a heartbeat that
		// arrives before the entries sent earlier does not cause a mismatch.
		m := c.appendMessage(p, p.match)
		if p.match < c.log.baseIndex {
			m.Index, m.LogTerm = 0, 0
		}
		m.Commit = min(m.Commit, p.match)
		c.sendImmediately(m)
	})
	c.advanceQuorumRound()
}

// advanceQuorumRound updates the newest heartbeat round that a quorum has
// answered.
func (c *core) advanceQuorumRound() {
	var answered []uint64
	for _, v := range c.members().voters() {
		switch p := c.peers[v.Incarnation]; {
		case v.Incarnation == c.cfg.Self.Incarnation:
			answered = append(answered, c.round)
		case p != nil:
			answered = append(answered, p.round)
		}
	}
	round := c.quorumValue(answered)
	if round <= c.quorumRound {
		return
	}
	c.quorumRound = round
	for len(c.rounds) > 0 && c.rounds[0].number <= round {
		c.quorumContact = c.rules.contactTime(c, c.rounds[0])
		c.rounds = c.rounds[1:]
	}
}

// quorumValue returns the highest value that a quorum of the values reaches.
func (c *core) quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.rules.quorum(len(values))]
}

// resendUnanswered resends data that was not answered within two heartbeat
// intervals. A peer that is out of contact gets only heartbeats until it
// answers.
func (c *core) resendUnanswered() {
	c.eachPeer(func(p *progress) {
		if c.now.Sub(p.lastProgress) < 2*c.cfg.HeartbeatInterval || c.now.Sub(p.lastContact) > c.cfg.ElectionTimeout {
			return
		}
		p.lastProgress = c.now
		if p.snapshotTransfer != nil {
			c.sendSnapshotChunk(p)
			return
		}
		if p.probeSent || p.next > p.match+1 {
			p.probeSent, p.inFlight = false, 0
			p.probing = true
			p.next = min(p.next, c.log.lastIndex())
			if p.match > 0 {
				p.next = p.match + 1
			}
		}
		c.sendEntries(p)
	})
}

func (c *core) onFollowerAnswer(m Message) {
	p, ok := c.peers[m.From.Incarnation]
	if !ok || m.Round == 0 {
		return // the message does not answer an append message of this term
	}
	p.lastContact = c.now
	if m.Round > c.round {
		c.setViolation("%s answered round %d, the newest is %d", m.From.Name, m.Round, c.round)
		return
	}
	p.round = max(p.round, m.Round)
	c.advanceQuorumRound()
	switch {
	case m.Type == MsgSnapshotAnswer:
		c.onSnapshotAnswer(p, m)
	case m.Reject:
		c.onMismatch(p, m)
	default:
		c.onMatch(p, m.Index)
	}
}

func (c *core) onMismatch(p *progress, m Message) {
	if m.Index < p.match || (!p.probing && m.Index+1 >= p.next) {
		return // the answer is outdated: a later one has arrived or p.next has changed
	}
	p.probing, p.probeSent, p.inFlight = true, false, 0
	p.next = min(p.next, m.Index+1)
	c.sendEntries(p)
}

func (c *core) onMatch(p *progress, index uint64) {
	if index > c.log.lastIndex() {
		c.setViolation("%s has entry %d, the leader's last entry is %d", p.member.Name, index, c.log.lastIndex())
		return
	}
	if index <= p.match {
		return
	}
	p.match = index
	p.next = max(p.next, index+1)
	// inFlight is recalculated instead of reduced by the size of the
	// acknowledged entries, because that size is unknown if a snapshot has
	// meanwhile removed them from the log.
	p.inFlight = c.log.dataBytes(p.match, p.next-1)
	p.probing, p.probeSent = false, false
	p.lastProgress = c.now
	if p.snapshotTransfer != nil && index >= p.snapshotTransfer.snapshot.Index {
		p.snapshotTransfer = nil
	}
	c.advanceCommit()
	c.sendEntries(p)
	c.sendTakeOver(p)
}

// advanceCommit commits the entries that a quorum has stored, provided that the
// last one is of the leader's own term: an entry of an earlier term could still
// be replaced.
func (c *core) advanceCommit() {
	var matches []uint64
	for _, v := range c.members().voters() {
		switch p := c.peers[v.Incarnation]; {
		case v.Incarnation == c.cfg.Self.Incarnation:
			matches = append(matches, c.log.stableIndex)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	index := c.quorumValue(matches)
	if index <= c.commit || !c.rules.mayCommit(c, index) {
		return
	}
	c.setCommit(index)
	c.stepDownIfRemoved()
}

func (c *core) onAppend(m Message) error {
	answer := c.newAnswer(MsgAppendAnswer, m)
	prev, entries := m.Index, m.Entries
	if prev < c.log.baseIndex {
		// Skip the entries that the snapshot of this node already covers.
		n := min(uint64(len(entries)), c.log.baseIndex-prev)
		prev, entries = prev+n, entries[n:]
		if prev < c.log.baseIndex {
			answer.Index = prev
			c.sendAfterPersist(answer)
			return nil
		}
	} else if !c.rules.prevEntryMatches(c, prev, m.LogTerm) {
		answer.Reject, answer.Index = true, c.log.conflictHint(prev)
		c.sendAfterPersist(answer)
		return nil
	}
	if err := c.mergeEntries(entries); err != nil {
		return err
	}
	match := prev + uint64(len(entries))
	c.setCommit(min(m.Commit, match))
	answer.Index = match
	c.sendAfterPersist(answer)
	return c.violation
}

// mergeEntries appends missing entries. If an existing entry conflicts with the
// leader's, it and all following ones are replaced.
func (c *core) mergeEntries(entries []wal.Entry) error {
	for i, e := range entries {
		if e.Index <= c.log.lastIndex() {
			if c.log.term(e.Index) == e.Term {
				continue
			}
			if !c.truncate(e.Index - 1) {
				return c.violation
			}
		}
		c.log.append(entries[i])
		if err := c.recordMembership(e); err != nil {
			return err
		}
		c.updateLearnerRole()
	}
	return nil
}
