package routing

// DomainBalance prefers failure domains with a low load, so that the loss of one
// interrupts as few requests as possible.
type DomainBalance struct{}

// Score implements Scorer.
func (DomainBalance) Score(_ *Request, c *Candidate) float64 {
	return min(1, max(0, 1-c.DomainLoad))
}
