package agreement

import "github.com/endivetrack/endivetrack/internal/wal"

// snapshotTransfer is the state of sending a snapshot to a follower that needs
// entries the leader has already compacted. One chunk is in flight at a time.
type snapshotTransfer struct {
	snapshot wal.Snapshot
	offset   uint64
}

// incomingSnapshot collects the chunks of a snapshot from the leader.
type incomingSnapshot struct {
	from        string
	index, term uint64
	total       uint64
	data        []byte
}

func (c *core) startSnapshotTransfer(p *progress) {
	if c.snapshot.Index < c.log.baseIndex {
		c.setViolation("the log starts after %d, the snapshot ends at %d", c.log.baseIndex, c.snapshot.Index)
		return
	}
	p.snapshotTransfer = &snapshotTransfer{snapshot: c.snapshot}
	p.probeSent, p.inFlight = false, 0
	p.lastProgress = c.now
	c.sendSnapshotChunk(p)
}

func (c *core) sendSnapshotChunk(p *progress) {
	t := p.snapshotTransfer
	m := c.newMessage(MsgSnapshot, p.member)
	m.Index, m.LogTerm, m.Round = t.snapshot.Index, t.snapshot.Term, c.round
	end := min(t.offset+uint64(c.cfg.ChunkBytes), uint64(len(t.snapshot.Data)))
	m.Chunk = &Chunk{
		Offset:     t.offset,
		Total:      uint64(len(t.snapshot.Data)),
		Data:       t.snapshot.Data[t.offset:end],
		Membership: t.snapshot.Membership,
	}
	c.sendImmediately(m)
}

func (c *core) onSnapshotAnswer(p *progress, m Message) {
	t := p.snapshotTransfer
	if t == nil || m.Index != t.snapshot.Index || m.Chunk.Offset > uint64(len(t.snapshot.Data)) || m.Chunk.Offset == t.offset {
		return // a duplicate answer; lost chunks are resent after two heartbeat intervals
	}
	t.offset = m.Chunk.Offset
	p.lastProgress = c.now
	c.sendSnapshotChunk(p)
}

func (c *core) onSnapshot(m Message) error {
	if m.Index <= c.commit || c.log.term(m.Index) == m.LogTerm {
		// The log already contains everything that the snapshot covers.
		c.setCommit(max(c.commit, m.Index))
		answer := c.newAnswer(MsgAppendAnswer, m)
		answer.Index = m.Index
		c.sendAfterPersist(answer)
		return c.violation
	}
	if m.Chunk.Total > c.cfg.MaxSnapshotSize {
		return malformedError("snapshot of %d bytes exceeds the bound of %d", m.Chunk.Total, c.cfg.MaxSnapshotSize)
	}
	incoming := c.incoming
	if incoming == nil || incoming.from != m.From.Incarnation || incoming.index != m.Index || incoming.term != m.LogTerm || incoming.total != m.Chunk.Total {
		incoming = &incomingSnapshot{from: m.From.Incarnation, index: m.Index, term: m.LogTerm, total: m.Chunk.Total}
		c.incoming = incoming
	}
	if m.Chunk.Offset == uint64(len(incoming.data)) && uint64(len(incoming.data)+len(m.Chunk.Data)) <= incoming.total {
		incoming.data = append(incoming.data, m.Chunk.Data...)
	}
	if uint64(len(incoming.data)) < incoming.total {
		answer := c.newAnswer(MsgSnapshotAnswer, m)
		answer.Index = m.Index
		answer.Chunk = &Chunk{Offset: uint64(len(incoming.data))}
		c.sendAfterPersist(answer)
		return nil
	}
	return c.installSnapshot(m, incoming.data)
}

// installSnapshot replaces the log with a completely received snapshot.
func (c *core) installSnapshot(m Message, data []byte) error {
	c.incoming = nil
	members, err := decodeMembership(0, m.Chunk.Membership)
	if err != nil {
		return err
	}
	c.snapshot = wal.Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Chunk.Membership, Data: data}
	s := c.snapshot
	c.out.receivedSnapshot = &s
	c.log.reset(m.Index, m.LogTerm)
	c.memberships = []membership{members}
	c.setCommit(m.Index)
	c.updateLearnerRole()
	c.event("agreement.install_snapshot")
	answer := c.newAnswer(MsgAppendAnswer, m)
	answer.Index = m.Index
	c.sendAfterPersist(answer)
	return c.violation
}
