package scheduler

import (
	"maps"
	"slices"
	"time"

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
	easiest := map[string]*waiting{} // the smallest prompt stands for its model
	for it := range s.queue.All() {
		c := it.Value.request.Class
		if w := easiest[c.GetModel()]; w == nil || c.GetPromptTokens() < w.request.Class.GetPromptTokens() {
			easiest[c.GetModel()] = it.Value
		}
	}
	counted := map[string]bool{}
	for _, model := range slices.Sorted(maps.Keys(easiest)) {
		s.observeModel(easiest[model], now, counted)
	}
}

// observeModel does this for the targets of one model that are not counted yet.
func (s *Shard) observeModel(w *waiting, now time.Time, counted map[string]bool) {
	q := s.routingRequest(Request{Class: w.request.Class}, now)
	forecast := s.requestForecast(w.request.Class)
	for _, t := range s.targets {
		c := s.candidate(t, w.short, now)
		if c == nil || counted[t.name] || !s.router.Keep(q, c) {
			continue
		}
		counted[t.name] = true
		s.idle.capacity++
		if c.InFlight >= c.Limit {
			t.sample.Wanted = true
			continue
		}
		if c.Memory > 0 {
			c.Peak = s.peakWith(t, w.request, forecast, now)
		}
		if (routing.HasCapacity{}).Keep(q, c) {
			s.idle.idle += 1 - float64(c.InFlight)/float64(c.Limit)
		}
	}
}
