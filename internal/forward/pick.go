package forward

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Costs that placement weighs, in parts of a target's capacity. They answer an
// everyday load: targets of the own failure domain are preferred until they
// are clearly fuller than others, since traffic between failure domains is
// paid for and slower.
const (
	zoneCost   = 0.15
	regionCost = 0.45
	// silentCost ranks targets that sent no announcement for a while behind
	// all others, suspectCost those that failed lately behind those.
	silentCost  = 4
	suspectCost = 8
	// nearFull is the part of an engine's memory beyond which preemptions
	// become likely, fullCost what exceeding it costs.
	nearFull = 0.8
	fullCost = 3
)

// pick returns the cheapest of some endpoints; equals are drawn by lot. random
// yields values in [0, 1).
func pick(candidates []*endpoint, q *request, self Place, now time.Time, random func() float64) *endpoint {
	var best *endpoint
	least, ties := 0.0, 0.0
	for _, e := range candidates {
		c := cost(e, q, self, now)
		switch {
		case best == nil || c < least:
			best, least, ties = e, c, 1
		case c == least:
			ties++
			if random()*ties < 1 {
				best = e
			}
		}
	}
	return best
}

// cost is what placing q at e costs.
func cost(e *endpoint, q *request, self Place, now time.Time) float64 {
	c := load(e, q)
	switch {
	case e.region != self.Region:
		c += regionCost
	case e.zone != self.FailureDomain:
		c += zoneCost
	}
	if e.target.State == fleet.Silent {
		c += silentCost
	}
	if now.Before(e.suspect) {
		c += suspectCost
	}
	return c
}

// load is the part of e's capacity that is taken once q is there.
func load(e *endpoint, q *request) float64 {
	engine := q.service.Engine
	if engine == nil {
		return float64(e.requests+1) / float64(max(1, e.target.Slots))
	}
	slots := float64(e.requests+1) / float64(max(1, engine.Slots))
	memory := float64(e.tokens+q.tokens.expected()) / float64(max(1, engine.MemoryTokens))
	c := max(slots, memory)
	if memory > nearFull {
		c += fullCost * (memory - nearFull)
	}
	return c
}
