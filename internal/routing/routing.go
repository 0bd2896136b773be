// Package routing chooses the target for one request, by filters, weighted
// scores and a pick. It is pure: candidates come in with the state the
// plugins need, and the chosen one goes out.
package routing

import "time"

// TargetLease is how long an announcement entitles a target to new work.
const TargetLease = 3 * time.Second

// Candidate is a target as the plugins see it.
type Candidate struct {
	Name          string
	FailureDomain string
	Models        []string
	Announced     time.Time // time of the last announcement
	Leaving       bool
	Drained       bool // taken out by settings
	InService     bool // its failure domain is in service

	InFlight int
	Limit    int // most requests it may run, for this request
	Bound    int // most requests it says it can run; 0 unknown
	// Peak is the predicted peak of resident tokens with the request added,
	// Memory the tokens that fit; 0 is unknown.
	Peak   float64
	Memory float64
	// Prefix is the share of the request's prompt that is probably cached, 0 to 1.
	Prefix float64
	// DomainLoad is the used share of the limits in its failure domain, 0 to 1.
	DomainLoad float64
}

// Request is what the plugins need to know of a request.
type Request struct {
	Model   string // empty for plain services
	Exclude []string
	Now     time.Time
}

// Filter keeps or removes a candidate.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker chooses among scored candidates; none is never passed.
type Picker interface {
	Pick(scored []Scored) *Candidate
}

// Scored is a candidate with its weighted score.
type Scored struct {
	*Candidate
	Score float64
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Router is a composition of plugins.
type Router struct {
	Filters []Filter
	Scorers []Weighted
	Picker  Picker
}

// Default returns the composition that owners use. Capacity is a separate
// filter, since its inputs cost a forecast.
func Default() *Router {
	return &Router{
		Filters: []Filter{ServesModel{}, DomainInService{}, Alive{}, NotExcluded{}},
		Scorers: []Weighted{
			{MemoryHeadroom{}, memoryWeight},
			{ConcurrencyHeadroom{}, concurrencyWeight},
			{PrefixAffinity{}, prefixWeight},
			{DomainBalance{}, domainWeight},
		},
		Picker: Best{},
	}
}

// Weights of the scores. Prefix affinity only breaks ties: a cached prefix saves
// some milliseconds once, a larger batch slows every token of its sequences. At
// a weight of 0.5 the p99 of the time between tokens was 1.46 times the best
// baseline's (docs/measurements.md, round A).
const (
	memoryWeight      = 1.0
	concurrencyWeight = 1.0
	prefixWeight      = 0.1
	domainWeight      = 0.2
)

// Keep reports whether all filters keep the candidate.
func (r *Router) Keep(q *Request, c *Candidate) bool {
	for _, f := range r.Filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

// Pick returns the best of the candidates, which must have passed the filters,
// or nil when there are none.
func (r *Router) Pick(q *Request, candidates []*Candidate) *Candidate {
	if len(candidates) == 0 {
		return nil
	}
	scored := make([]Scored, len(candidates))
	for i, c := range candidates {
		scored[i].Candidate = c
		for _, w := range r.Scorers {
			scored[i].Score += w.Weight * w.Scorer.Score(q, c)
		}
	}
	return r.Picker.Pick(scored)
}
