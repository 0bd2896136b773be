package routing

// ConcurrencyHeadroom prefers targets that run few requests relative to the
// maximum that they announce. It does not use the adaptive limits: those of equal
// targets differ by chance, and using them would keep the loads unequal.
type ConcurrencyHeadroom struct{}

// Score implements Scorer.
func (ConcurrencyHeadroom) Score(_ *Request, c *Candidate) float64 {
	bound := max(c.MaxRunning, c.Limit)
	if bound == 0 {
		return 0
	}
	return max(0, 1-float64(c.InFlight)/float64(bound))
}
