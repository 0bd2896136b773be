package routing

// MemoryHeadroom prefers targets with much memory left at the predicted peak.
type MemoryHeadroom struct{}

// Score implements Scorer.
func (MemoryHeadroom) Score(_ *Request, c *Candidate) float64 {
	if c.Memory == 0 {
		return 1
	}
	return min(1, max(0, 1-c.Peak/c.Memory))
}
