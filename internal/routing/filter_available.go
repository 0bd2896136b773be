package routing

// Available removes targets that are leaving, that the settings drain, or whose
// last announcement is older than TargetLease.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(r *Request, c *Candidate) bool {
	return !c.Leaving && !c.Drained && r.Now.Sub(c.LastAnnounced) <= TargetLease
}
