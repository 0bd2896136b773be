package routing

// PrefixAffinity prefers targets that have the prompt's prefix in their cache. The
// score falls in proportion to the target's own free share below
// fullAffinityFreeShare, so that a nearly full target attracts no work by its cache.
type PrefixAffinity struct{}

// fullAffinityFreeShare is the free share of the limit at or above which the
// cached prefix counts in full.
const fullAffinityFreeShare = 0.25

// Score implements Scorer.
func (PrefixAffinity) Score(_ *Request, c *Candidate) float64 {
	if c.Limit == 0 {
		return 0
	}
	free := 1 - float64(c.InFlight)/float64(c.Limit)
	return c.CachedShare * min(1, max(0, free/fullAffinityFreeShare))
}
