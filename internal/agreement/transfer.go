package agreement

import "github.com/endivetrack/endivetrack/internal/wal"

// transfer is a snapshot on its way to a follower that needs entries the
// leader no longer has. One chunk is in flight at a time.
type transfer struct {
	snapshot wal.Snapshot
	offset   uint64
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	from        string
	index, term uint64
	total       uint64
	data        []byte
}

func (c *core) startTransfer(p *progress) {
	if c.snapshot.Index < c.log.baseIndex {
		c.violated("the log starts behind %d, the snapshot ends at %d", c.log.baseIndex, c.snapshot.Index)
		return
	}
	p.transfer = &transfer{snapshot: c.snapshot}
	p.waiting, p.inFlight = false, 0
	p.moved = c.now
	c.sendChunk(p)
}

func (c *core) sendChunk(p *progress) {
	t := p.transfer
	m := c.message(MsgSnapshot, p.member)
	m.Index, m.LogTerm, m.Round = t.snapshot.Index, t.snapshot.Term, c.round
	end := min(t.offset+uint64(c.cfg.ChunkBytes), uint64(len(t.snapshot.Data)))
	m.Chunk = &Chunk{
		Offset:     t.offset,
		Total:      uint64(len(t.snapshot.Data)),
		Data:       t.snapshot.Data[t.offset:end],
		Membership: t.snapshot.Membership,
	}
	c.sendEarly(m)
}

func (c *core) onChunkAnswer(p *progress, m Message) {
	t := p.transfer
	if t == nil || m.Index != t.snapshot.Index || m.Chunk.Offset > uint64(len(t.snapshot.Data)) || m.Chunk.Offset == t.offset {
		return // a repeated answer; a lost chunk is sent again after two heartbeats
	}
	t.offset = m.Chunk.Offset
	p.moved = c.now
	c.sendChunk(p)
}

func (c *core) onSnapshot(m Message) error {
	if m.Index <= c.commit || c.log.term(m.Index) == m.LogTerm {
		// The log already holds all that the snapshot covers.
		c.setCommit(max(c.commit, m.Index))
		answer := c.answer(MsgAppendAnswer, m)
		answer.Index = m.Index
		c.sendLate(answer)
		return c.violation
	}
	if m.Chunk.Total > c.cfg.MaxSnapshot {
		return malformed("snapshot of %d bytes exceeds the bound of %d", m.Chunk.Total, c.cfg.MaxSnapshot)
	}
	in := c.incoming
	if in == nil || in.from != m.From.Incarnation || in.index != m.Index || in.term != m.LogTerm || in.total != m.Chunk.Total {
		in = &incomingSnapshot{from: m.From.Incarnation, index: m.Index, term: m.LogTerm, total: m.Chunk.Total}
		c.incoming = in
	}
	if m.Chunk.Offset == uint64(len(in.data)) && uint64(len(in.data)+len(m.Chunk.Data)) <= in.total {
		in.data = append(in.data, m.Chunk.Data...)
	}
	if uint64(len(in.data)) < in.total {
		answer := c.answer(MsgSnapshotAnswer, m)
		answer.Index = m.Index
		answer.Chunk = &Chunk{Offset: uint64(len(in.data))}
		c.sendLate(answer)
		return nil
	}
	return c.install(m, in.data)
}

// install replaces the log by a complete snapshot.
func (c *core) install(m Message, data []byte) error {
	c.incoming = nil
	members, err := decodeMembership(0, m.Chunk.Membership)
	if err != nil {
		return err
	}
	c.snapshot = wal.Snapshot{Index: m.Index, Term: m.LogTerm, Membership: m.Chunk.Membership, Data: data}
	s := c.snapshot
	c.out.install = &s
	c.log.reset(m.Index, m.LogTerm)
	c.memberships = []membership{members}
	c.setCommit(m.Index)
	c.settleRole()
	c.event("agreement.install_snapshot")
	answer := c.answer(MsgAppendAnswer, m)
	answer.Index = m.Index
	c.sendLate(answer)
	return c.violation
}
