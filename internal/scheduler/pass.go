package scheduler

import (
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

// memoTTL is how long failed attempts are remembered while no target frees
// capacity; running outputs and their forecasts move on meanwhile.
const memoTTL = 100 * time.Millisecond

// memo remembers which requests found no target, since most passes follow one
// release and can help only few of the waiting requests. A request that found
// none is tried again, and so are larger requests of the same class, only at
// targets that freed capacity since.
type memo struct {
	at      time.Time
	failed  failures // at all targets
	retried failures // also at the targets that freed capacity since
}

// failures is a set of requests that found no target.
type failures struct {
	smallest map[failedKey]uint32 // smallest prompt that found none
	tickets  map[Ticket]bool      // requests with excluded or reserved targets
}

type failedKey struct {
	account, model, class string
	maxTokens             uint32
}

// special reports whether the targets open to the request differ from those of
// its class.
func (w *waiting) special() bool { return len(w.request.Exclude) > 0 || w.reserved }

func newFailures() failures {
	return failures{smallest: map[failedKey]uint32{}, tickets: map[Ticket]bool{}}
}

func keyOfFailed(r Request) failedKey {
	c := r.Class
	return failedKey{c.GetAccount(), c.GetModel(), c.GetClass(), c.GetMaxTokens()}
}

func (f *failures) has(w *waiting) bool {
	if w.special() {
		return f.tickets[w.ticket]
	}
	prompt, ok := f.smallest[keyOfFailed(w.request)]
	return ok && w.request.Class.GetPromptTokens() >= prompt
}

func (f *failures) add(w *waiting) {
	if w.special() {
		f.tickets[w.ticket] = true
	} else {
		f.smallest[keyOfFailed(w.request)] = w.request.Class.GetPromptTokens()
	}
}

// pass is one run of the grant loop over the queue. Grants only use capacity
// up, so a request that found no target stays without one for the whole pass.
type pass struct {
	s     *Shard
	now   time.Time
	full  bool      // all targets are tried for all requests
	freed []*target // tried for requests that failed before
	loads map[string]float64
}

// free notes that a target may have capacity that it did not have before.
func (s *Shard) free(t *target) {
	t.freed = true
	if s.memo != nil {
		s.memo.retried = newFailures()
	}
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

// reservation keeps a target free for a request that others overtook for too
// long. There is at most one per model.
type reservation struct {
	ticket Ticket
	target string
}

// keptFrom reports whether the target is kept free for another request. Short
// classes may use it: they are gone soon.
func (s *Shard) keptFrom(w *waiting, target string) bool {
	if w.short {
		return false
	}
	for _, r := range s.reserved {
		if r.target == target && r.ticket != w.ticket && s.tickets[r.ticket] != nil {
			return true
		}
	}
	return false
}

// reserve keeps the target with the most room free for the request.
func (s *Shard) reserve(w *waiting, tight []*routing.Candidate) {
	model := w.request.Class.GetModel()
	r, held := s.reserved[model]
	if held && r.ticket != w.ticket && s.tickets[r.ticket] != nil {
		return
	}
	best := tight[0]
	for _, c := range tight {
		if w.reserved && c.Name == r.target {
			return
		}
		if c.Peak/c.Memory < best.Peak/best.Memory || c.Peak/c.Memory == best.Peak/best.Memory && c.Name < best.Name {
			best = c
		}
	}
	w.reserved = true
	s.reserved[model] = reservation{w.ticket, best.Name}
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
	if only != nil {
		for _, t := range only {
			try(t)
		}
		return fitting, tight
	}
	for _, t := range p.s.targets {
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
// their limits, and how much of them idles meanwhile.
func (s *Shard) observeWaiting(p *pass) {
	if s.queue.Len() == 0 {
		s.idle = idleRate{since: p.now}
		return
	}
	if !p.full {
		return
	}
	s.idle = idleRate{since: p.now}
	seen := map[string]bool{} // one request per model stands for all
	counted := map[string]bool{}
	for it := range s.queue.All() {
		if model := it.Value.request.Class.GetModel(); !seen[model] {
			seen[model] = true
			s.observeModel(it.Value, p.now, counted)
		}
	}
}

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
