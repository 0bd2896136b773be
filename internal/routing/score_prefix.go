package routing

// PrefixAffinity prefers targets that have the prompt's prefix in their cache.
// The score is capped by the target's own free share: a target that is nearly
// full attracts no work by its cache.
type PrefixAffinity struct{}

// fullAffinity is the free share of the limit from which on the cached prefix
// counts in full.
const fullAffinity = 0.25

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, c *Candidate) float64 {
	if c.Limit == 0 {
		return 0
	}
	free := 1 - float64(c.InFlight)/float64(c.Limit)
	return c.Prefix * min(1, max(0, free/fullAffinity))
}
