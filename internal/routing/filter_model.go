package routing

import "slices"

// ServesModel keeps targets that have the request's model. Requests to plain
// services name none.
type ServesModel struct{}

// Keep implements Filter.
func (ServesModel) Keep(r *Request, c *Candidate) bool {
	return r.Model == "" || slices.Contains(c.Models, r.Model)
}
