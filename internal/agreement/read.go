package agreement

// readRequest waits for proof that this node led after the request arrived.
type readRequest struct {
	id    uint64
	round uint64 // a quorum must answer this round or a later one
}

// readResult answers a readRequest: the read must see all entries up to index.
type readResult struct {
	id    uint64
	index uint64
	err   error
}

// requestRead asks for a linearizable read point.
func (c *core) requestRead(id uint64) {
	if c.role != Leader {
		c.out.reads = append(c.out.reads, readResult{id: id, err: c.notLeader()})
		return
	}
	c.reads = append(c.reads, readRequest{id: id, round: c.rules.readRound(c)})
}

// advanceReads answers the requests whose round a quorum answered. The commit
// index is complete only once an entry of the leader's own term is committed.
func (c *core) advanceReads() {
	if len(c.reads) == 0 || c.role != Leader {
		return
	}
	newest := c.reads[len(c.reads)-1].round
	if newest > c.round && c.quorumRound >= c.readRound {
		// One extra round at a time serves all requests that wait.
		c.broadcastHeartbeat()
		c.readRound = c.round
	}
	for len(c.reads) > 0 && c.reads[0].round <= c.quorumRound && c.commit >= c.termStart {
		c.out.reads = append(c.out.reads, readResult{id: c.reads[0].id, index: c.commit})
		c.reads = c.reads[1:]
	}
}

// failReads ends all requests of a leader that steps down.
func (c *core) failReads() {
	for _, r := range c.reads {
		c.out.reads = append(c.out.reads, readResult{id: r.id, err: c.notLeader()})
	}
	c.reads, c.readRound = nil, 0
}
