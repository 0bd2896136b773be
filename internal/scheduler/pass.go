package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
)

// overtakenPatience is how long other requests may overtake one that no
// target's memory can take. Then a target is kept free for it, or requests
// with long prompts would starve.
const overtakenPatience = time.Second

// pass is one run of the grant loop over the queue. Grants only use capacity
// up, so a request that found no target stays without one for the whole pass,
// and so do larger requests of the same class.
type pass struct {
	s        *Shard
	now      time.Time
	failed   map[failedKey]uint32 // smallest prompt that found no target
	unplaced map[Ticket]bool      // failed requests with excluded targets
	reserved map[string]Ticket    // targets kept free
}

type failedKey struct {
	account, model, class string
	maxTokens             uint32
}

func (s *Shard) newPass(now time.Time) *pass {
	return &pass{s: s, now: now, failed: map[failedKey]uint32{}, unplaced: map[Ticket]bool{}, reserved: map[string]Ticket{}}
}

// next returns the first request in the order of service that a target can
// run, and the target; nil when there is none.
func (p *pass) next() (*admission.Item[*waiting], *target) {
	for it := range p.s.queue.All() {
		if p.hasFailed(it.Value) {
			continue
		}
		if t := p.place(it.Value); t != nil {
			return it, t
		}
		p.fail(it.Value)
	}
	return nil, nil
}

func keyOfFailed(r Request) failedKey {
	c := r.Class
	return failedKey{c.GetAccount(), c.GetModel(), c.GetClass(), c.GetMaxTokens()}
}

func (p *pass) hasFailed(w *waiting) bool {
	if len(w.request.Exclude) > 0 || w.reserved != "" {
		return p.unplaced[w.ticket]
	}
	prompt, ok := p.failed[keyOfFailed(w.request)]
	return ok && w.request.Class.GetPromptTokens() >= prompt
}

func (p *pass) fail(w *waiting) {
	p.unplaced[w.ticket] = true
	if len(w.request.Exclude) == 0 && w.reserved == "" {
		p.failed[keyOfFailed(w.request)] = w.request.Class.GetPromptTokens()
	}
}

// place chooses a target for the request, or keeps one free for it.
func (p *pass) place(w *waiting) *target {
	fitting, tight := p.s.candidates(w.request, w.short, p.now)
	fitting = slices.DeleteFunc(fitting, func(c *routing.Candidate) bool { return p.keptFrom(w, c.Name) })
	if c := p.s.router.Pick(p.s.routingRequest(w.request, p.now), fitting); c != nil {
		return p.s.targets[c.Name]
	}
	if len(tight) > 0 && p.now.Sub(w.request.Arrived) > overtakenPatience {
		p.reserve(w, tight)
	}
	return nil
}

// keptFrom reports whether the target is kept free for another request. Short
// classes may use it: they are gone soon.
func (p *pass) keptFrom(w *waiting, name string) bool {
	ticket, kept := p.reserved[name]
	return kept && ticket != w.ticket && !w.short
}

// reserve keeps the target with the most room free for the request: at most
// one target per model at a time.
func (p *pass) reserve(w *waiting, tight []*routing.Candidate) {
	for _, ticket := range p.reserved {
		if it := p.s.tickets[ticket]; it != nil && it.Value.request.Class.GetModel() == w.request.Class.GetModel() {
			return
		}
	}
	best := tight[0]
	for _, c := range tight {
		if c.Name == w.reserved {
			best = c
			break
		}
		if c.Peak/c.Memory < best.Peak/best.Memory {
			best = c
		}
	}
	w.reserved = best.Name
	p.reserved[best.Name] = w.ticket
}

// candidates returns the targets that can run the request now, and those that
// have concurrency left but not the memory.
func (s *Shard) candidates(r Request, short bool, now time.Time) (fitting, tight []*routing.Candidate) {
	q := s.routingRequest(r, now)
	loads := s.domainLoads(now)
	for _, t := range s.targets {
		c := s.candidate(t, short, now)
		if c == nil || !s.router.Keep(q, c) || c.InFlight >= c.Limit {
			continue
		}
		c.DomainLoad = loads[c.FailureDomain]
		c.Prefix = t.prefix.Cached(r.Class.GetPrefixHashes())
		if c.Memory > 0 {
			c.Peak = s.peakWith(t, r.Class, now)
		}
		if (routing.HasCapacity{}).Keep(q, c) {
			fitting = append(fitting, c)
		} else {
			tight = append(tight, c)
		}
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
	s.idle = idleRate{since: now}
}

// observeWaiting notes which targets keep requests waiting, for the control of
// their limits, and how much of them idles meanwhile.
func (s *Shard) observeWaiting(now time.Time) {
	if s.queue.Len() == 0 {
		return
	}
	seen := map[string]bool{} // one request per model stands for all
	counted := map[string]bool{}
	for it := range s.queue.All() {
		w := it.Value
		if model := w.request.Class.GetModel(); seen[model] {
			continue
		} else {
			seen[model] = true
		}
		q := s.routingRequest(Request{Class: w.request.Class}, now)
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
				c.Peak = s.peakWith(t, w.request.Class, now)
			}
			if (routing.HasCapacity{}).Keep(q, c) || len(t.permits) == 0 {
				s.idle.idle += 1 - float64(c.InFlight)/float64(c.Limit)
			}
		}
	}
}
