package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Bounds of what an instance does to a target.
const (
	// connShare is the part of a target's connection limit that all instances
	// together use.
	connShare = 0.8
	minConns  = 2
	// coldShare is the part of the rate a cold target bears that all instances
	// together use.
	coldShare = 0.8
	// suspectFor is how long a target that failed is avoided at first; each
	// failure in a row doubles it up to suspectMax.
	suspectFor = 300 * time.Millisecond
	suspectMax = 5 * time.Second
)

// endpoint is one incarnation of a target with what this instance has there.
// The table's lock guards all but the fields set at creation.
type endpoint struct {
	id      string
	born    int64
	address string
	zone    string // failure domain
	region  string
	service string
	// left is closed once the target gets no new work for good.
	left chan struct{}

	target   *fleet.Target
	usable   bool
	leaving  bool
	requests int // in flight from here
	tokens   int // their expected memory
	incoming int // copies on their way from other targets
	starting int // prompt tokens of requests without a first event
	conns    int // open connections from here
	idle     []*targetConn
	failures int
	suspect  time.Time // avoided until then
	cold     coldLimit
	// others is what the other instances have in flight there.
	others map[string]Load
	// moving holds a token while one run is moved away.
	moving chan struct{}
}

// table holds the endpoints.
type table struct {
	self    Place
	regions map[string]string

	mu        sync.Mutex
	view      *fleet.View
	endpoints map[string]*endpoint // by target id
	news      []*endpoint          // whose standing changed since the last look
}

func newTable(self Place, regions map[string]string) *table {
	return &table{self: self, regions: regions, endpoints: map[string]*endpoint{}, view: &fleet.View{}}
}

// sync brings the endpoints up to a view.
func (t *table) sync(v *fleet.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameDomains := maps.Equal(t.view.OutOfService, v.OutOfService)
	t.view = v
	for id, target := range v.Targets {
		e := t.endpoints[id]
		if e != nil && e.target == target && sameDomains {
			continue
		}
		if e != nil && (e.born != target.Born || e.address != target.Address) {
			t.leave(e)
			e = nil
		}
		if e == nil {
			e = &endpoint{
				id: id, born: target.Born, address: target.Address, zone: target.FailureDomain,
				region: t.regions[target.FailureDomain], service: target.Service, left: make(chan struct{}),
				others: map[string]Load{}, moving: make(chan struct{}, 1),
			}
			t.endpoints[id] = e
			t.news = append(t.news, e)
		}
		t.update(e, target, now)
	}
	for id, e := range t.endpoints {
		if _, ok := v.Targets[id]; !ok {
			t.leave(e)
			delete(t.endpoints, id)
		}
	}
}

func (t *table) update(e *endpoint, target *fleet.Target, now time.Time) {
	usable := t.view.Usable(target)
	if e.target != nil && (usable != e.usable || e.target.State != target.State) {
		t.news = append(t.news, e)
	}
	if e.target != nil && target.Sequence > e.target.Sequence {
		e.suspect = now // it shows life
	}
	e.target, e.usable = target, usable
	if target.State == fleet.Draining || target.State == fleet.Gone {
		t.leave(e)
	}
}

// leave ends new work at an endpoint and drops its idle connections.
func (t *table) leave(e *endpoint) {
	if e.leaving {
		return
	}
	e.leaving, e.usable = true, false
	close(e.left)
	t.closeIdle(e)
}

func (t *table) closeIdle(e *endpoint) {
	for _, c := range e.idle {
		c.close()
	}
	e.conns -= len(e.idle)
	e.idle = nil
}

// near returns the demand of a caller's request.
func (t *table) near(q *request, exclude []*endpoint) *demand {
	return &demand{q: q, from: t.self, far: nearCaller, exclude: exclude}
}

// acquire picks an endpoint and takes a place there; nil if none can take the
// request.
func (t *table) acquire(d *demand, now time.Time) *lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(d)
	for len(candidates) > 0 {
		looked := candidates
		if !d.copied {
			looked = sample(candidates, d, rand.Shuffle)
		}
		e := pick(looked, d, now, rand.Float64)
		if t.admitCold(e, d.q.service, now) {
			return t.take(e, d.q)
		}
		candidates = slices.DeleteFunc(candidates, func(x *endpoint) bool { return x == e })
	}
	return nil
}

// take takes a place at an endpoint; the caller holds the lock.
func (t *table) take(e *endpoint, q *request) *lease {
	tokens := q.tokens.expected()
	e.requests++
	e.tokens += tokens
	e.starting += q.tokens.prompt
	return &lease{table: t, endpoint: e, tokens: tokens, starting: q.tokens.prompt}
}

// place takes a place at a certain endpoint.
func (t *table) place(e *endpoint, q *request) *lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(e, q)
}

// candidates are the endpoints that may serve a request.
func (t *table) candidates(d *demand) []*endpoint {
	most := t.maxConns(d.q.service)
	var out []*endpoint
	for _, e := range t.endpoints {
		if e.service != d.q.service.Name || !e.usable || slices.Contains(d.exclude, e) {
			continue
		}
		if !allowed(d.q, e.region) || (e.conns >= most && len(e.idle) == 0) {
			continue
		}
		if d.copied && (e.region != d.from.Region || memoryShare(e, d.q) > roomShare) {
			continue
		}
		out = append(out, e)
	}
	return out
}

// allowed reports whether route and client account let a region serve q.
func allowed(q *request, region string) bool {
	if len(q.route.Regions) > 0 && !slices.Contains(q.route.Regions, region) {
		return false
	}
	return q.account == nil || len(q.account.Regions) == 0 || slices.Contains(q.account.Regions, region)
}

// maxConns is this instance's share of a target's connection limit.
func (t *table) maxConns(s *manifest.Service) int {
	if s.MaxConns <= 0 {
		return 1 << 10
	}
	return max(minConns, int(connShare*float64(s.MaxConns))/t.view.Sharers())
}

// admitCold takes a token for a cold endpoint.
func (t *table) admitCold(e *endpoint, s *manifest.Service, now time.Time) bool {
	if !now.Before(e.target.ColdUntil) || s.ColdPerSecond <= 0 {
		return true
	}
	return e.cold.take(coldShare*s.ColdPerSecond/float64(t.view.Sharers()), now)
}

// entries is the number of instances that share the targets.
func (t *table) entries() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Sharers()
}

// countIncoming notes a copy that is on its way to an endpoint.
func (t *table) countIncoming(e *endpoint, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.incoming += n
}

// failed notes that an endpoint did not answer as it should.
func (t *table) failed(e *endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.suspect = now.Add(min(suspectFor<<min(e.failures, 5), suspectMax))
	e.failures++
}

// succeeded notes a whole answer.
func (t *table) succeeded(e *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.failures, e.suspect = 0, time.Time{}
}

// still reports whether an endpoint may get new work at this moment.
func (t *table) still(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.usable
}

// takeNews returns the endpoints whose standing changed since the last call.
func (t *table) takeNews() []endpointNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []endpointNews
	for _, e := range t.news {
		out = append(out, endpointNews{id: e.id, service: e.service, zone: e.zone, usable: e.usable, state: e.target.State, sequence: e.target.Sequence})
	}
	t.news = nil
	return out
}

// endpointNews is what the log tells of an endpoint.
type endpointNews struct {
	id, service, zone string
	usable            bool
	state             fleet.TargetState
	sequence          uint64
}

func (f *Forwarder) logTargets() {
	for _, n := range f.table.takeNews() {
		f.config.Logger.Info().Str("target", n.id).Str("service", n.service).Str("failure_domain", n.zone).
			Bool("usable", n.usable).Int("state", int(n.state)).Uint64("sequence", n.sequence).Msg("target")
	}
}
