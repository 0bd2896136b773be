package routing

// ConcurrencyHeadroom prefers targets far below their concurrency limit.
type ConcurrencyHeadroom struct{}

// Score implements Scorer.
func (ConcurrencyHeadroom) Score(_ *Request, c *Candidate) float64 {
	if c.Limit == 0 {
		return 0
	}
	return max(0, 1-float64(c.InFlight)/float64(c.Limit))
}
