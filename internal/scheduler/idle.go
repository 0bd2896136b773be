package scheduler

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
)

// idleRate is what Totals' integrals grow by per second until the next event.
type idleRate struct {
	since          time.Time
	idle, capacity float64
}

func (s *Shard) integrateIdle(now time.Time) {
	if seconds := now.Sub(s.idle.since).Seconds(); seconds > 0 {
		s.totals.IdleSeconds += s.idle.idle * seconds
		s.totals.CapacitySeconds += s.idle.capacity * seconds
	}
	s.idle.since = now
}

// observeWaiting notes which targets keep requests waiting, for the control of
// their limits, and how much of them idles meanwhile. Only full passes are
// looked at: what it costs is worth ten samples a second.
func (s *Shard) observeWaiting(full bool, now time.Time) {
	if s.queue.Len() == 0 {
		s.idle = idleRate{since: now}
		return
	}
	if !full {
		return
	}
	s.idle = idleRate{since: now}
	var requests []sampleRequest
	for _, w := range s.easiest() {
		requests = append(requests, sampleRequest{w, s.routingRequest(Request{Class: w.request.Class}, now), s.requestForecast(w.request.Class)})
	}
	for _, t := range s.targets {
		if share, serves := s.idleShare(t, requests, now); serves {
			s.idle.capacity++
			s.idle.idle += share
		}
	}
}

// sampleRequest stands for the waiting requests of its model and kind.
type sampleRequest struct {
	*waiting
	routing  *routing.Request
	forecast *admission.Forecast
}

// easiest returns the waiting request with the smallest prompt of each model,
// among short classes and among the others.
func (s *Shard) easiest() map[easiestKey]*waiting {
	out := map[easiestKey]*waiting{}
	for it := range s.queue.All() {
		w := it.Value
		key := easiestKey{w.request.Class.GetModel(), w.short}
		if e := out[key]; e == nil || w.request.Class.GetPromptTokens() < e.request.Class.GetPromptTokens() {
			out[key] = w
		}
	}
	return out
}

type easiestKey struct {
	model string
	short bool
}

// idleShare returns the unused share of the target's limit if it could run one
// of the requests, and whether it may get any of them at all. It notes whether
// the limit keeps one from running.
func (s *Shard) idleShare(t *target, requests []sampleRequest, now time.Time) (share float64, serves bool) {
	for _, r := range requests {
		c := s.candidate(t, r.short, now)
		if c == nil || !s.router.Keep(r.routing, c) {
			continue
		}
		serves = true
		if c.InFlight >= c.Limit {
			t.sample.Wanted = true
			continue
		}
		if c.Memory > 0 {
			c.Peak = s.peakWith(t, r.request, r.forecast, now)
		}
		if (routing.HasCapacity{}).Keep(r.routing, c) {
			share = max(share, 1-float64(c.InFlight)/float64(c.Limit))
		}
	}
	return share, serves
}
