package scheduler

import (
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
)

// grantPass is one run of the grant loop over the queue. Grants only reduce the
// free capacity, so a request that finds no target is not retried in the same
// pass. domainLoads holds the used share of the targets' limits, by failure
// domain.
type grantPass struct {
	shard        *Shard
	now          time.Time
	full         bool      // set if the failure cache is empty, so that every request is tried on every target
	freedTargets []*target // targets on which failed requests are retried
	domainLoads  map[string]float64
}

// newPass starts a pass. It is a full pass if the failure cache is missing or
// has expired.
func (s *Shard) newPass(now time.Time) *grantPass {
	p := &grantPass{shard: s, now: now, domainLoads: s.domainLoads(now)}
	if s.failureCache == nil || now.Sub(s.failureCache.createdAt) >= failureCacheTTL {
		p.full = true
		s.failureCache = &failureCache{createdAt: now, onAllTargets: newFailureSet(), onFreedTargets: newFailureSet()}
	}
	for _, t := range s.targets {
		if p.full {
			t.freed = false
		} else if t.freed {
			p.freedTargets = append(p.freedTargets, t)
		}
	}
	return p
}

// grantAll grants permits until no waiting request finds a target. It stops early
// when a reservation ends, which clears the failure cache; the caller must then
// run a new pass.
func (p *grantPass) grantAll() (out []Decision) {
	for p.shard.failureCache != nil {
		it, t := p.nextGrant()
		if it == nil {
			break
		}
		p.shard.queue.Serve(it)
		p.shard.discardRequest(it.Value)
		out = append(out, p.shard.grantPermit(it.Value, t, p.now))
	}
	return out
}

// nextGrant returns the first request in queue order that a target can run, and
// that target. Both are nil if there is none.
func (p *grantPass) nextGrant() (*admission.Item[*waitingRequest], *target) {
	for it := range p.shard.queue.All() {
		w := it.Value
		switch cache := p.shard.failureCache; {
		case !cache.onAllTargets.contains(w):
			if t := p.chooseTarget(w, nil); t != nil {
				return it, t
			}
			cache.onAllTargets.add(w)
			cache.onFreedTargets.add(w)
		case len(p.freedTargets) > 0 && !cache.onFreedTargets.contains(w):
			if t := p.chooseTarget(w, p.freedTargets); t != nil {
				return it, t
			}
			cache.onFreedTargets.add(w)
		}
	}
	return nil, nil
}

// chooseTarget returns the best target in subset for the request, or nil. A nil
// subset means all targets. In a full pass it may reserve a target for a request
// that others have overtaken for too long.
func (p *grantPass) chooseTarget(w *waitingRequest, subset []*target) *target {
	fitting, overMemory := p.candidates(w, subset)
	if c := p.shard.router.Pick(p.shard.routingRequest(w.request, p.now), fitting); c != nil {
		return p.shard.targets[c.Name]
	}
	if len(overMemory) > 0 && p.full && p.now.Sub(w.request.Arrived) > maxOvertakenTime {
		p.shard.reserveTarget(w, overMemory)
	}
	return nil
}

// candidates returns the targets in subset that can run the request now
// (fitting), and those below their concurrency limit that lack the memory
// (overMemory). A nil subset means all targets.
func (p *grantPass) candidates(w *waitingRequest, subset []*target) (fitting, overMemory []*routing.Candidate) {
	q := p.shard.routingRequest(w.request, p.now)
	var forecast *admission.Forecast
	consider := func(t *target) {
		c := p.shard.candidate(t, w.short, p.now)
		if c == nil || c.InFlight >= c.Limit || !p.shard.router.Keep(q, c) || p.shard.reservedForOther(w, t.name) {
			return
		}
		c.DomainLoad = p.domainLoads[c.FailureDomain]
		c.CachedShare = t.prefix.CachedPromptShare(w.request.Class.GetPrefixHashes())
		if c.MemoryTokens > 0 {
			if forecast == nil {
				forecast = p.shard.requestForecast(w.request.Class)
			}
			c.PeakTokens = p.shard.predictedPeak(t, w.request, forecast, p.now)
		}
		if (routing.HasCapacity{}).Keep(q, c) {
			fitting = append(fitting, c)
		} else {
			overMemory = append(overMemory, c)
		}
	}
	if subset == nil {
		for _, t := range p.shard.targets {
			consider(t)
		}
	}
	for _, t := range subset {
		consider(t)
	}
	return fitting, overMemory
}

// routingRequest converts r for the routing filters and scorers.
func (s *Shard) routingRequest(r Request, now time.Time) *routing.Request {
	q := &routing.Request{Exclude: r.Exclude, Now: now}
	if !s.isPlainService() {
		q.Model = r.Class.GetModel()
	}
	return q
}

// domainLoads returns the used share of the targets' limits by failure domain.
func (s *Shard) domainLoads(now time.Time) map[string]float64 {
	used, limit := map[string]float64{}, map[string]float64{}
	for _, t := range s.targets {
		if s.acceptsWork(t, now) {
			fd := t.announcement.GetFailureDomain()
			used[fd] += float64(len(t.permits))
			limit[fd] += float64(s.allowedRequests(t, now))
		}
	}
	for fd := range used {
		used[fd] /= max(1, limit[fd])
	}
	return used
}

// grantPermit creates a permit for the request on the target. A target that has
// been idle for too long restarts its cold start ramp (the gradual raise of its
// limit) first.
func (s *Shard) grantPermit(w *waitingRequest, t *target, now time.Time) Decision {
	s.lastPermit++
	id := "p" + strconv.FormatUint(s.epoch, 10) + "." + strconv.FormatUint(s.lastPermit, 10)
	p := &permit{id: id, target: t, holder: w.request.Holder, class: w.request.Class, short: w.short, grantedAt: now, observedLength: unobserved}
	if len(t.permits) == 0 && now.Sub(t.idleSince) > admission.MaxWarmIdle && t.limit != nil {
		t.limit.RestartRamp()
	}
	s.addPermit(p, now)
	t.prefix.RecordSent(w.request.Class.GetPrefixHashes(), now)
	s.totals.Grants++
	return Decision{Ticket: w.ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED,
		Permit: s.permitProto(p), Waited: now.Sub(w.request.Arrived)}
}
