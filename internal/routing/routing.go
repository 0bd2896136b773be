// Package routing chooses the target for a request. Filters remove candidates,
// scorers rate the remaining ones by weighted scores, and a picker chooses among
// them. It does no I/O: candidates carry all the state that these plugins need.
package routing

import "time"

// TargetLease is how long after an announcement a target may receive new work.
const TargetLease = 3 * time.Second

// Candidate describes a target to the plugins. Leaving is set if the target
// announces that it accepts no new work. InFlight is the number of requests that
// it runs.
type Candidate struct {
	Name          string
	FailureDomain string
	Models        []string
	LastAnnounced time.Time // time of the last announcement
	Leaving       bool
	Drained       bool // the settings drain the target, so it gets no new work
	InService     bool // operators have not taken the target's failure domain out of service

	InFlight   int
	Limit      int // most requests it may run, as it applies to this request
	MaxRunning int // most requests it announces that it can run; 0 if unknown
	// PeakTokens is the predicted peak of resident tokens if the target also
	// ran the request. MemoryTokens is how many tokens fit; 0 if unknown.
	PeakTokens   float64
	MemoryTokens float64
	// CachedShare is the share of the prompt that is probably cached, 0 to 1.
	CachedShare float64
	// DomainLoad is the used share of the limits in the target's failure domain, 0 to 1.
	DomainLoad float64
}

// Request describes a request to the plugins. Exclude holds the names of targets
// that must not run it.
type Request struct {
	Model   string // empty for plain services
	Exclude []string
	Now     time.Time
}

// Filter removes candidates that must not run the request. Keep reports whether
// the candidate stays.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates candidates. Score returns a value from 0 (worst) to 1 (best).
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker chooses one of the scored candidates. The slice is never empty.
type Picker interface {
	Pick(scored []ScoredCandidate) *Candidate
}

// ScoredCandidate is a candidate with its weighted total score.
type ScoredCandidate struct {
	*Candidate
	Score float64
}

// WeightedScorer is a scorer with its factor in the total score.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Router is a composition of filters, scorers and a picker.
type Router struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Default returns the router that owners use. HasCapacity is not among its filters
// and must be applied separately, because its input needs an expensive forecast.
func Default() *Router {
	return &Router{
		Filters: []Filter{ServesModel{}, DomainInService{}, Available{}, NotExcluded{}},
		Scorers: []WeightedScorer{
			{MemoryHeadroom{}, memoryWeight},
			{ConcurrencyHeadroom{}, concurrencyWeight},
			{PrefixAffinity{}, prefixWeight},
			{DomainBalance{}, domainWeight},
		},
		Picker: Best{},
	}
}

// Weights of the scores. Prefix affinity only breaks ties: a cached prefix saves
// a few milliseconds once, whereas a larger batch slows every token of all its
// sequences. At a weight of 0.5 the p99 of the time between tokens was 1.46 times
// that of the best baseline (docs/measurements.md, round A).
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

// Pick scores the candidates, which must have passed the filters, and returns the
// one that the picker chooses. It returns nil if there are none.
func (r *Router) Pick(q *Request, candidates []*Candidate) *Candidate {
	if len(candidates) == 0 {
		return nil
	}
	scored := make([]ScoredCandidate, len(candidates))
	for i, c := range candidates {
		scored[i].Candidate = c
		for _, w := range r.Scorers {
			scored[i].Score += w.Weight * w.Scorer.Score(q, c)
		}
	}
	return r.Picker.Pick(scored)
}
