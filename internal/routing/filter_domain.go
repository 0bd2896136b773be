package routing

// DomainInService removes targets whose failure domain operators have taken out of
// service.
type DomainInService struct{}

// Keep implements Filter.
func (DomainInService) Keep(_ *Request, c *Candidate) bool { return c.InService }
