package forward

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Placement costs, in multiples of a target's capacity: a target in full use
// costs 1.
const (
	// silentCost ranks targets without a recent announcement behind all
	// others. suspectCost ranks targets whose requests recently failed, at
	// this or another instance, behind the silent ones.
	silentCost  = 4
	suspectCost = 8
	// highMemoryShare is the fraction of an engine's memory above which
	// preemptions become likely. highMemoryCost is multiplied by the excess.
	highMemoryShare = 0.8
	highMemoryCost  = 3
	// fullLoadPrefillTokens is the number of queued prompt tokens that cost as
	// much as a full target: an engine processes them in about the time within
	// which a first event is due.
	fullLoadPrefillTokens = 12_000
	// coldSlowdown is how many times longer a cold engine takes for the same work.
	// It declines to 1 during warmUp after the cold period, as the backlog shrinks.
	coldSlowdown = 2.5
	warmUp       = 2 * time.Second
	// maxMemoryShareAfterMove bounds an engine's memory use with a run moved to it.
	maxMemoryShareAfterMove = 0.95
)

// placementCosts holds the costs of a target other than its utilization. The
// region cost is added if the target is in another region than the request's
// origin. The failureDomain cost is added if it is in the same region but in
// another failure domain.
type placementCosts struct {
	failureDomain, region float64
	// perIncomingCopy is the cost of each copy that is being transferred to
	// the target, since copies share its link.
	perIncomingCopy float64
}

var (
	// requestCosts is used to choose targets for callers' requests. Targets in the
	// instance's own failure domain are preferred until they are clearly fuller than
	// others, since traffic between failure domains is slower and is charged for.
	requestCosts = placementCosts{failureDomain: 0.15, region: 0.45}
	// moveCosts is used to choose new targets for runs moved off a draining
	// target, which stops within seconds. A copy to another failure domain takes
	// twice as long and may not finish in time.
	moveCosts = placementCosts{failureDomain: 1, perIncomingCopy: 0.7}
)

// demand describes a request to be placed and the constraints on its endpoint.
type demand struct {
	q       *request
	origin  Location // location of this instance or, for a move, of the run's current target
	costs   placementCosts
	exclude []*endpoint
	// version is the software version that must serve the request; nil if any may.
	version *string
	// streamVersions are the versions at which a stream may begin; nil if any.
	streamVersions []string
	// isMove is set for a run whose memory is copied to the new endpoint.
	// Engines whose memory the run would fill are excluded. Engines of other
	// regions are excluded too: one copy would block the narrow link between
	// regions, and the source's own link, for many seconds.
	isMove bool
}

// pickCheapest returns the candidate with the lowest cost and breaks ties at
// random. The function random returns values in [0, 1).
func pickCheapest(candidates []*endpoint, d *demand, now time.Time, random func() float64) *endpoint {
	var best *endpoint
	lowest, ties := 0.0, 0.0
	for _, e := range candidates {
		c := placementCost(e, d, now)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = e, c, 1
		case c == lowest:
			ties++
			if random()*ties < 1 {
				best = e
			}
		}
	}
	return best
}

// maxRemoteCandidates is how many targets of other failure domains one decision
// considers. Their loads are older, and with many instances all would choose
// the target that was least loaded a second ago. Two random choices distribute
// the load almost as well as up-to-date loads of all targets.
const maxRemoteCandidates = 2

// sampleCandidates returns all candidates in the failure domain of demand d and
// at most maxRemoteCandidates random others. Silent ones are among these only if there are
// too few others: they may long have ended.
func sampleCandidates(candidates []*endpoint, d *demand, shuffle func(n int, swap func(i, j int))) []*endpoint {
	var local, remote, silent []*endpoint
	for _, e := range candidates {
		switch {
		case e.failureDomain == d.origin.FailureDomain:
			local = append(local, e)
		case e.target.State == fleet.Silent:
			silent = append(silent, e)
		default:
			remote = append(remote, e)
		}
	}
	for _, others := range [][]*endpoint{remote, silent} {
		shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	}
	remote = append(remote, silent...)
	return append(local, remote[:min(len(remote), maxRemoteCandidates)]...)
}

// placementCost returns the cost of serving demand d at endpoint e; lower is
// better.
func placementCost(e *endpoint, d *demand, now time.Time) float64 {
	total := e.totalLoad()
	c := utilization(e, d.q, &total)*slowdown(e, d, now) + d.costs.perIncomingCopy*float64(total.IncomingCopies)
	switch {
	case e.region != d.origin.Region:
		c += d.costs.region
	case e.failureDomain != d.origin.FailureDomain:
		c += d.costs.failureDomain
	}
	if e.target.State == fleet.Silent {
		c += silentCost
	}
	if total.Suspect || now.Before(e.suspectUntil) {
		c += suspectCost
	}
	return c
}

// slowdown returns how many times longer endpoint e takes than a warm engine for
// the same work. A newly started engine looks empty to all instances at once, and
// a backlog of prompts keeps it slow beyond its cold period. Moved runs have no
// prompt to process, so they are not affected.
func slowdown(e *endpoint, d *demand, now time.Time) float64 {
	if d.q.service.Engine == nil || d.isMove {
		return 1
	}
	catchUp := e.target.ColdUntil.Add(warmUp).Sub(now)
	share := min(1, max(0, catchUp.Seconds()/warmUp.Seconds()))
	return 1 + (coldSlowdown-1)*share
}

// utilization returns the fraction of endpoint e's capacity in use once request q
// is placed there beside the total load.
func utilization(e *endpoint, q *request, total *Load) float64 {
	engine := q.service.Engine
	if engine == nil {
		return float64(total.Requests+1) / float64(max(1, e.target.Slots))
	}
	slots := float64(total.Requests+1) / float64(max(1, engine.Slots))
	memory := memoryShare(total, q)
	c := max(slots, memory) + float64(total.PrefillTokens)/fullLoadPrefillTokens
	if memory > highMemoryShare {
		c += highMemoryCost * (memory - highMemoryShare)
	}
	return c
}

// memoryShare returns the fraction of an engine's memory in use once request q is
// placed there beside the total load.
func memoryShare(total *Load, q *request) float64 {
	return float64(total.Tokens+q.tokens.expectedAtEnd()) / float64(max(1, q.service.Engine.MemoryTokens))
}
