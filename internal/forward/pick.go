package forward

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Costs that placement weighs, in parts of a target's capacity.
const (
	// silentCost ranks targets that sent no announcement for a while behind
	// all others, suspectCost those that failed this or another instance
	// lately behind those.
	silentCost  = 4
	suspectCost = 8
	// nearFull is the part of an engine's memory beyond which preemptions
	// become likely, fullCost what exceeding it costs.
	nearFull = 0.8
	fullCost = 3
	// startingTokens is the prompt length that, waiting in front of a request,
	// costs as much as a full target: an engine reads it in about the time
	// within which a first event is due.
	startingTokens = 12_000
	// coldSlowdown is how many times longer a cold engine takes for the same
	// work, warmUp how long after its cold time it still catches up.
	coldSlowdown = 2.5
	warmUp       = 2 * time.Second
	// roomShare is the part of an engine's memory that a moved run may fill.
	roomShare = 0.95
)

// distance is what leaving a failure domain or a region costs.
type distance struct {
	zone, region float64
	// incoming is what each copy costs that is on its way to a target: copies
	// share its link.
	incoming float64
}

var (
	// nearCaller answers an everyday load: targets near the caller are
	// preferred until they are clearly fuller than others, since traffic
	// between failure domains is paid for and slower.
	nearCaller = distance{zone: 0.15, region: 0.45}
	// nearSource answers a target that leaves within seconds: a copy to
	// another failure domain takes twice as long, and there may not be time
	// for it.
	nearSource = distance{zone: 1, incoming: 0.7}
)

// demand is what a place is looked for.
type demand struct {
	q       *request
	from    Place // near which place
	far     distance
	exclude []*endpoint
	// copied is set for a run whose memory is copied: engines whose memory it
	// would fill are left out, and those of other regions, since one copy
	// would block the narrow link between regions and the source's own for
	// many seconds.
	copied bool
}

// pick returns the cheapest of some endpoints; equals are drawn by lot. random
// yields values in [0, 1).
func pick(candidates []*endpoint, d *demand, now time.Time, random func() float64) *endpoint {
	var best *endpoint
	least, ties := 0.0, 0.0
	for _, e := range candidates {
		c := cost(e, d, now)
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

// farChoices is how many targets of other failure domains one decision looks
// at. What is known of those is older, and with many instances all of them
// would run to the one that looked free a second ago; two drawn by lot spread
// the load almost as well as a fresh view of all.
const farChoices = 2

// sample returns the candidates near d's place and some of the others.
func sample(candidates []*endpoint, d *demand, shuffle func(n int, swap func(i, j int))) []*endpoint {
	var near, far []*endpoint
	for _, e := range candidates {
		if e.zone == d.from.FailureDomain {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far[:min(len(far), farChoices)]...)
}

// cost is what a place at e costs.
func cost(e *endpoint, d *demand, now time.Time) float64 {
	there := e.total()
	c := load(e, d.q)*slowdown(e, d, now) + d.far.incoming*float64(there.Incoming)
	switch {
	case e.region != d.from.Region:
		c += d.far.region
	case e.zone != d.from.FailureDomain:
		c += d.far.zone
	}
	if e.target.State == fleet.Silent {
		c += silentCost
	}
	if there.Suspect || now.Before(e.suspect) {
		c += suspectCost
	}
	return c
}

// slowdown is how many times longer e takes for the same work. It answers
// engines that have just started: they look empty to all instances at once, and
// a pile of prompts keeps them slow beyond their cold time. Runs that are moved
// bring no prompt to read.
func slowdown(e *endpoint, d *demand, now time.Time) float64 {
	if d.q.service.Engine == nil || d.copied {
		return 1
	}
	behind := e.target.ColdUntil.Add(warmUp).Sub(now)
	share := min(1, max(0, behind.Seconds()/warmUp.Seconds()))
	return 1 + (coldSlowdown-1)*share
}

// load is the part of e's capacity that is taken once q is there.
func load(e *endpoint, q *request) float64 {
	engine, there := q.service.Engine, e.total()
	if engine == nil {
		return float64(there.Requests+1) / float64(max(1, e.target.Slots))
	}
	slots := float64(there.Requests+1) / float64(max(1, engine.Slots))
	memory := memoryShare(e, q)
	c := max(slots, memory) + float64(there.Starting)/startingTokens
	if memory > nearFull {
		c += fullCost * (memory - nearFull)
	}
	return c
}

// memoryShare is the part of an engine's memory that is taken once q is there.
func memoryShare(e *endpoint, q *request) float64 {
	return float64(e.total().Tokens+q.tokens.expected()) / float64(max(1, q.service.Engine.MemoryTokens))
}
