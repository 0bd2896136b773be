package routing

// HasCapacity removes targets at their concurrency limit, and those whose
// memory the request would probably overfill. A target that runs nothing takes
// any request, or one with a long prompt could never run.
type HasCapacity struct{}

// Keep implements Filter.
func (HasCapacity) Keep(_ *Request, c *Candidate) bool {
	if c.InFlight >= c.Limit {
		return false
	}
	return c.InFlight == 0 || c.Memory == 0 || c.Peak <= c.Memory
}
