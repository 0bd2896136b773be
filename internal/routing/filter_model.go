package routing

import "slices"

// ServesModel removes targets that do not serve the request's model. Requests to
// plain services have no model and keep all targets.
type ServesModel struct{}

// Keep implements Filter.
func (ServesModel) Keep(r *Request, c *Candidate) bool {
	return r.Model == "" || slices.Contains(c.Models, r.Model)
}
