package routing

// HasCapacity removes targets at their concurrency limit and targets whose memory
// the request would probably exceed. An idle target accepts any request;
// otherwise one with a long prompt could never run.
type HasCapacity struct{}

// Keep implements Filter.
func (HasCapacity) Keep(_ *Request, c *Candidate) bool {
	if c.InFlight >= c.Limit {
		return false
	}
	return c.InFlight == 0 || c.MemoryTokens == 0 || c.PeakTokens <= c.MemoryTokens
}
