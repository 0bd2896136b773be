package routing

import "slices"

// NotExcluded removes the targets that the request excludes because they failed
// for it.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(r *Request, c *Candidate) bool { return !slices.Contains(r.Exclude, c.Name) }
