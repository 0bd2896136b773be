package routing

// ConcurrencyHeadroom prefers targets that run few requests. It counts against
// the target's own bound: the adaptive limits of equal targets differ by
// chance, and following them would keep their loads apart.
type ConcurrencyHeadroom struct{}

// Score implements Scorer.
func (ConcurrencyHeadroom) Score(_ *Request, c *Candidate) float64 {
	bound := max(c.Bound, c.Limit)
	if bound == 0 {
		return 0
	}
	return max(0, 1-float64(c.InFlight)/float64(bound))
}
