package agreement

// readRequest waits for confirmation that this node was still the leader after
// the request arrived.
type readRequest struct {
	id    uint64
	round uint64 // heartbeat round that a quorum must answer first; answers to a later round also count
}

// readResult is the result of a readRequest. The read must see all entries up to index.
type readResult struct {
	id    uint64
	index uint64
	err   error
}

// requestRead requests the log index up to which a linearizable read must see
// all entries. The result follows in output.reads.
func (c *core) requestRead(id uint64) {
	if c.role != Leader {
		c.out.reads = append(c.out.reads, readResult{id: id, err: c.notLeader()})
		return
	}
	c.reads = append(c.reads, readRequest{id: id, round: c.rules.readRound(c)})
}

// advanceReads completes the read requests whose heartbeat round a quorum has
// answered. The leader must also have committed an entry of its own term,
// because before that its commit index may be too low.
func (c *core) advanceReads() {
	if len(c.reads) == 0 || c.role != Leader {
		return
	}
	newest := c.reads[len(c.reads)-1].round
	if newest > c.round && c.quorumRound >= c.readRound {
		// All waiting reads share one additional heartbeat round at a time.
		c.broadcastHeartbeat()
		c.readRound = c.round
	}
	for len(c.reads) > 0 && c.reads[0].round <= c.quorumRound && c.commit >= c.termStart {
		c.out.reads = append(c.out.reads, readResult{id: c.reads[0].id, index: c.commit})
		c.reads = c.reads[1:]
	}
}

// failReads fails all waiting read requests when the leader steps down.
func (c *core) failReads() {
	for _, r := range c.reads {
		c.out.reads = append(c.out.reads, readResult{id: r.id, err: c.notLeader()})
	}
	c.reads, c.readRound = nil, 0
}
