package scheduler

import (
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
)

// pass is one run of the grant loop over the queue. Grants only use capacity
// up, so a request that found no target stays without one for the whole pass.
type pass struct {
	s     *Shard
	now   time.Time
	full  bool      // all targets are tried for all requests
	freed []*target // tried for requests that failed before
	loads map[string]float64
}

func (s *Shard) newPass(now time.Time) *pass {
	p := &pass{s: s, now: now, loads: s.domainLoads(now)}
	if s.memo == nil || now.Sub(s.memo.at) >= memoTTL {
		p.full = true
		s.memo = &memo{at: now, failed: newFailures(), retried: newFailures()}
	}
	for _, t := range s.targets {
		if p.full {
			t.freed = false
		} else if t.freed {
			p.freed = append(p.freed, t)
		}
	}
	return p
}

// grantAll grants until no waiting request finds a target, or until a
// reservation ended, which makes a new pass necessary.
func (p *pass) grantAll() (out []Decision) {
	for p.s.memo != nil {
		it, t := p.next()
		if it == nil {
			break
		}
		p.s.queue.Serve(it)
		p.s.forget(it.Value)
		out = append(out, p.s.grant(it.Value, t, p.now))
	}
	return out
}

// next returns the first request in the order of service that a target can
// run, and the target; nil when there is none.
func (p *pass) next() (*admission.Item[*waiting], *target) {
	for it := range p.s.queue.All() {
		w := it.Value
		switch m := p.s.memo; {
		case !m.failed.has(w):
			if t := p.place(w, nil); t != nil {
				return it, t
			}
			m.failed.add(w)
			m.retried.add(w)
		case len(p.freed) > 0 && !m.retried.has(w):
			if t := p.place(w, p.freed); t != nil {
				return it, t
			}
			m.retried.add(w)
		}
	}
	return nil, nil
}

// place chooses one of the targets for the request, or keeps one free for it.
// No targets means all.
func (p *pass) place(w *waiting, only []*target) *target {
	fitting, tight := p.candidates(w, only)
	if c := p.s.router.Pick(p.s.routingRequest(w.request, p.now), fitting); c != nil {
		return p.s.targets[c.Name]
	}
	if len(tight) > 0 && p.full && p.now.Sub(w.request.Arrived) > overtakenPatience {
		p.s.reserve(w, tight)
	}
	return nil
}

// candidates returns the targets that can run the request now, and those that
// have concurrency left but not the memory.
func (p *pass) candidates(w *waiting, only []*target) (fitting, tight []*routing.Candidate) {
	q := p.s.routingRequest(w.request, p.now)
	var forecast *admission.Forecast
	try := func(t *target) {
		c := p.s.candidate(t, w.short, p.now)
		if c == nil || c.InFlight >= c.Limit || !p.s.router.Keep(q, c) || p.s.keptFrom(w, t.name) {
			return
		}
		c.DomainLoad = p.loads[c.FailureDomain]
		c.Prefix = t.prefix.Cached(w.request.Class.GetPrefixHashes())
		if c.Memory > 0 {
			if forecast == nil {
				forecast = p.s.requestForecast(w.request.Class)
			}
			c.Peak = p.s.peakWith(t, w.request, forecast, p.now)
		}
		if (routing.HasCapacity{}).Keep(q, c) {
			fitting = append(fitting, c)
		} else {
			tight = append(tight, c)
		}
	}
	if only == nil {
		for _, t := range p.s.targets {
			try(t)
		}
	}
	for _, t := range only {
		try(t)
	}
	return fitting, tight
}

func (s *Shard) routingRequest(r Request, now time.Time) *routing.Request {
	q := &routing.Request{Exclude: r.Exclude, Now: now}
	if !s.plain() {
		q.Model = r.Class.GetModel()
	}
	return q
}

func (s *Shard) domainLoads(now time.Time) map[string]float64 {
	used, limit := map[string]float64{}, map[string]float64{}
	for _, t := range s.targets {
		if s.alive(t, now) {
			fd := t.announcement.GetFailureDomain()
			used[fd] += float64(len(t.permits))
			limit[fd] += float64(s.limit(t, now))
		}
	}
	for fd := range used {
		used[fd] /= max(1, limit[fd])
	}
	return used
}

func (s *Shard) grant(w *waiting, t *target, now time.Time) Decision {
	s.lastPermit++
	id := "p" + strconv.FormatUint(s.epoch, 10) + "." + strconv.FormatUint(s.lastPermit, 10)
	p := &permit{id: id, target: t, holder: w.request.Holder, class: w.request.Class, short: w.short, granted: now, observed: unobserved}
	if len(t.permits) == 0 && now.Sub(t.idleSince) > admission.IdleSpell && t.limit != nil {
		t.limit.Cool()
	}
	s.add(p, now)
	t.prefix.Sent(w.request.Class.GetPrefixHashes(), now)
	s.totals.Grants++
	return Decision{Ticket: w.ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED,
		Permit: s.proto(p), Waited: now.Sub(w.request.Arrived)}
}
