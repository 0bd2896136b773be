package routing

// Alive removes targets that are leaving, drained by settings, or silent for
// longer than their lease.
type Alive struct{}

// Keep implements Filter.
func (Alive) Keep(r *Request, c *Candidate) bool {
	return !c.Leaving && !c.Drained && r.Now.Sub(c.Announced) <= TargetLease
}
