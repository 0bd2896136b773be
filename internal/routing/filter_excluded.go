package routing

import "slices"

// NotExcluded removes targets that failed for this request.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(r *Request, c *Candidate) bool { return !slices.Contains(r.Exclude, c.Name) }
