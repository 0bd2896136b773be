package scheduler

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
)

// idleRate holds the current growth per second of Totals.IdleSeconds
// (idlePerSecond) and of Totals.CapacitySeconds (capacityPerSecond). The totals
// include the time up to integratedUntil.
type idleRate struct {
	integratedUntil                  time.Time
	idlePerSecond, capacityPerSecond float64
}

// integrateIdle adds the idle time and the capacity since the last call to the
// totals.
func (s *Shard) integrateIdle(now time.Time) {
	if seconds := now.Sub(s.idleGrowth.integratedUntil).Seconds(); seconds > 0 {
		s.totals.IdleSeconds += s.idleGrowth.idlePerSecond * seconds
		s.totals.CapacitySeconds += s.idleGrowth.capacityPerSecond * seconds
	}
	s.idleGrowth.integratedUntil = now
}

// sampleIdleCapacity measures how much target capacity is idle while requests
// wait. It also marks the targets whose limit keeps a request waiting, as input
// for their limit control. It samples only after full passes, at most ten times
// a second, because it is expensive.
func (s *Shard) sampleIdleCapacity(full bool, now time.Time) {
	if s.queue.Len() == 0 {
		s.idleGrowth = idleRate{integratedUntil: now}
		return
	}
	if !full {
		return
	}
	s.idleGrowth = idleRate{integratedUntil: now}
	var requests []representativeRequest
	for _, w := range s.smallestPerGroup() {
		requests = append(requests, representativeRequest{w, s.routingRequest(Request{Class: w.request.Class}, now), s.requestForecast(w.request.Class)})
	}
	for _, t := range s.targets {
		if share, serves := s.idleShare(t, requests, now); serves {
			s.idleGrowth.capacityPerSecond++
			s.idleGrowth.idlePerSecond += share
		}
	}
}

// representativeRequest stands for all waiting requests of its group.
type representativeRequest struct {
	*waitingRequest
	routing  *routing.Request
	forecast *admission.Forecast
}

// smallestPerGroup returns the waiting request with the smallest prompt of each
// group.
func (s *Shard) smallestPerGroup() map[requestGroup]*waitingRequest {
	out := map[requestGroup]*waitingRequest{}
	for it := range s.queue.All() {
		w := it.Value
		key := requestGroup{w.request.Class.GetModel(), w.short}
		if e := out[key]; e == nil || w.request.Class.GetPromptTokens() < e.request.Class.GetPromptTokens() {
			out[key] = w
		}
	}
	return out
}

// requestGroup separates waiting requests by model, and requests of short classes
// (whose outputs have only a few tokens) from the others.
type requestGroup struct {
	model string
	short bool
}

// idleShare returns the unused share of the target's limit, or 0 if the target
// has no capacity for any of the requests. serves reports whether the target is
// eligible for at least one of them, regardless of capacity. If its limit keeps
// a request waiting, idleShare records that in the target's sample.
func (s *Shard) idleShare(t *target, requests []representativeRequest, now time.Time) (share float64, serves bool) {
	for _, r := range requests {
		c := s.candidate(t, r.short, now)
		if c == nil || !s.router.Keep(r.routing, c) {
			continue
		}
		serves = true
		if c.InFlight >= c.Limit {
			t.sample.LimitReached = true
			continue
		}
		if c.MemoryTokens > 0 {
			c.PeakTokens = s.predictedPeak(t, r.request, r.forecast, now)
		}
		if (routing.HasCapacity{}).Keep(r.routing, c) {
			share = max(share, 1-float64(c.InFlight)/float64(c.Limit))
		}
	}
	return share, serves
}
