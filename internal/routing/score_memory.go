package routing

// MemoryHeadroom prefers targets with a large share of their memory free at the
// predicted peak. Targets whose memory size is unknown score 1.
type MemoryHeadroom struct{}

// Score implements Scorer.
func (MemoryHeadroom) Score(_ *Request, c *Candidate) float64 {
	if c.MemoryTokens == 0 {
		return 1
	}
	return min(1, max(0, 1-c.PeakTokens/c.MemoryTokens))
}
