package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/wakeup"
)

// Limits on the load that this instance puts on one target.
const (
	// connShare is the fraction of a target's connection limit that all
	// instances together use.
	connShare = 0.8
	minConns  = 2
	// coldShare is the fraction of a cold target's request rate that all
	// instances together use.
	coldShare = 0.8
	// coldBurstShare is the part of the requests of one second that all instances
	// together may send at once to a target that starts cold.
	coldBurstShare = 0.45
	// suspectMin is how long a target is avoided after its first failure. Each
	// consecutive failure doubles the time, up to suspectMax.
	suspectMin = 300 * time.Millisecond
	suspectMax = 5 * time.Second
)

// endpoint is one incarnation of a target, with the requests and connections
// that this instance has open to it. table.mu guards all fields that change
// after creation.
type endpoint struct {
	id            string
	incarnation   int64
	address       string
	failureDomain string // failure domain in which the target runs
	region        string
	service       string
	version       string // version of the target's software
	// drainStarted is closed once this incarnation gets no new requests any more.
	drainStarted chan struct{}

	target         *fleet.Target
	usable         bool
	draining       bool
	said           statements // what this incarnation has said of itself
	requests       int        // requests in flight from this instance
	tokens         int        // engine memory that the requests in flight are expected to need, in tokens
	incomingCopies int        // copies of runs being transferred to this target
	prefillTokens  int        // prompt tokens of requests that have no first event yet
	conns          int        // open connections from this instance, idle ones included
	idle           []*targetConn
	failures       int
	suspectUntil   time.Time // time until which the target is avoided because of failures
	coldBucket     tokenBucket
	// limit is the number of requests per second that the target accepts from all
	// instances together, as its newest response to any of them states; 0 if it states none.
	limit       float64
	limitBucket tokenBucket
	createdAt   time.Time
	// otherLoads holds the load that each other instance places on the target, by instance name.
	otherLoads map[string]Load
	// moveSlot is a semaphore of one: a run holds it while it is moved off the target.
	moveSlot chan struct{}
}

// table tracks the endpoints and reserves capacity on them for requests.
type table struct {
	self    Location
	regions map[string]string

	mu               sync.Mutex
	view             *fleet.View
	endpoints        map[string]*endpoint       // endpoints by target ID
	loadedBy         map[string]map[string]Load // loads of other instances by target ID, by instance name
	loadsChanged     wakeup.Flag
	changedEndpoints []*endpoint // endpoints added or changed since the last takeChangedEndpoints
}

func newTable(self Location, regions map[string]string) *table {
	return &table{self: self, regions: regions, endpoints: map[string]*endpoint{}, view: &fleet.View{}, loadedBy: map[string]map[string]Load{}, loadsChanged: wakeup.New()}
}

// syncEndpoints updates the endpoints from a view of the fleet (this instance's
// copy of the replicated state). A target that has a new incarnation or address
// gets a new endpoint.
func (t *table) syncEndpoints(v *fleet.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameDomains := maps.Equal(t.view.OutOfService, v.OutOfService)
	t.view = v
	for id, target := range v.Targets {
		e := t.endpoints[id]
		if e != nil && e.said.leavingExpired(target, now) {
			e = nil // what runs there goes on with the endpoint as it was
		}
		if e != nil && e.target == target && sameDomains {
			continue
		}
		var former *endpoint
		if e != nil && (e.incarnation != target.Incarnation || e.address != target.Address) {
			t.startDrain(e)
			former, e = e, nil
		}
		if e == nil {
			e = t.newEndpoint(target, now)
			t.adoptStatements(e, former)
			t.endpoints[id] = e
		}
		t.updateEndpoint(e, target, now)
	}
	for id, e := range t.endpoints {
		if _, ok := v.Targets[id]; !ok {
			t.startDrain(e)
			delete(t.endpoints, id)
		}
	}
}

// newEndpoint returns an endpoint of which nothing but the announcement is known.
func (t *table) newEndpoint(target *fleet.Target, now time.Time) *endpoint {
	e := &endpoint{
		id: target.ID, incarnation: target.Incarnation, address: target.Address, failureDomain: target.FailureDomain,
		region: t.regions[target.FailureDomain], service: target.Service, version: target.Version, drainStarted: make(chan struct{}),
		otherLoads: map[string]Load{}, moveSlot: make(chan struct{}, 1), createdAt: now,
	}
	t.changedEndpoints = append(t.changedEndpoints, e)
	return e
}

func (t *table) updateEndpoint(e *endpoint, target *fleet.Target, now time.Time) {
	usable := t.view.Usable(target) && !e.draining
	if e.target != nil && (usable != e.usable || e.target.State != target.State) {
		t.changedEndpoints = append(t.changedEndpoints, e)
	}
	if e.target != nil && target.Sequence > e.target.Sequence {
		e.suspectUntil = now // the target is no longer avoided because a new announcement shows that it is alive
	}
	e.target, e.usable = target, usable
	if target.State == fleet.Draining || target.State == fleet.Gone {
		t.startDrain(e)
	}
}

// startDrain stops new requests to an endpoint and closes its idle connections.
func (t *table) startDrain(e *endpoint) {
	if e.draining {
		return
	}
	e.draining, e.usable = true, false
	close(e.drainStarted)
	t.closeIdle(e)
}

func (t *table) closeIdle(e *endpoint) {
	for _, c := range e.idle {
		c.close()
	}
	e.conns -= len(e.idle)
	e.idle = nil
}

// demandFor returns the demand of a caller's request. Targets in this instance's
// failure domain are preferred.
func (t *table) demandFor(q *request, exclude []*endpoint) *demand {
	return &demand{q: q, origin: t.self, costs: requestCosts, exclude: exclude, version: q.version}
}

// acquireLease picks an endpoint and reserves capacity there. It returns nil if
// no endpoint can accept the request.
func (t *table) acquireLease(d *demand, now time.Time) *lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.q.route.Resumable && d.version == nil {
		d.streamVersions = t.view.StreamVersions(d.q.service.Name)
	}
	candidates := t.candidates(d, now)
	for len(candidates) > 0 {
		considered := candidates
		if !d.isMove {
			considered = sampleCandidates(candidates, d, rand.Shuffle)
		}
		e := pickCheapest(considered, d, now, rand.Float64)
		if t.admit(e, d.q.service, now) {
			return t.reserveCapacityLocked(e, d.q)
		}
		candidates = slices.DeleteFunc(candidates, func(x *endpoint) bool { return x == e })
	}
	return nil
}

// reserveCapacityLocked adds q to the load of an endpoint until the lease is
// released. The caller holds t.mu.
func (t *table) reserveCapacityLocked(e *endpoint, q *request) *lease {
	tokens := q.tokens.expectedAtEnd()
	e.requests++
	e.tokens += tokens
	e.prefillTokens += q.tokens.prompt
	t.loadsChanged.Set()
	return &lease{table: t, endpoint: e, tokens: tokens, prefillTokens: q.tokens.prompt, reservedAt: time.Now()}
}

// reserveCapacity is reserveCapacityLocked for callers that do not hold t.mu and whose
// request can only be served by this endpoint.
func (t *table) reserveCapacity(e *endpoint, q *request) *lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chargeLimit(e, time.Now())
	return t.reserveCapacityLocked(e, q)
}

// candidates returns the endpoints that may serve a request now.
func (t *table) candidates(d *demand, now time.Time) []*endpoint {
	connLimit := t.maxConns(d.q.service)
	var out []*endpoint
	for _, e := range t.endpoints {
		if e.availability(now) == available && e.canServe(d, connLimit) {
			out = append(out, e)
		}
	}
	return out
}

// canServe reports whether an endpoint can serve a request, unless it wants nothing just
// now. The caller holds table.mu.
func (e *endpoint) canServe(d *demand, connLimit int) bool {
	if e.service != d.q.service.Name || !e.usable || slices.Contains(d.exclude, e) {
		return false
	}
	if d.version != nil && e.version != *d.version {
		return false
	}
	if d.streamVersions != nil && !slices.Contains(d.streamVersions, e.version) {
		return false
	}
	if !regionAllowed(d.q, e.region) || (e.conns >= connLimit && len(e.idle) == 0) {
		return false
	}
	if !d.isMove {
		return true
	}
	total := e.totalLoad()
	return e.region == d.origin.Region && memoryShare(&total, d.q) <= maxMemoryShareAfterMove
}

// regionAllowed reports whether the route and the client account of q permit
// the region.
func regionAllowed(q *request, region string) bool {
	if len(q.route.Regions) > 0 && !slices.Contains(q.route.Regions, region) {
		return false
	}
	return q.account == nil || len(q.account.Regions) == 0 || slices.Contains(q.account.Regions, region)
}

// maxConns returns this instance's share of a target's connection limit, but at
// least minConns however many instances share it.
func (t *table) maxConns(s *manifest.Service) int {
	if s.MaxConns <= 0 {
		return 1 << 10
	}
	return max(minConns, int(connShare*float64(s.MaxConns))/t.view.EntryCount())
}

// admitToColdTarget reports whether a request may be sent to e now. Requests to
// a cold target are limited to this instance's share of the service's cold
// rate.
func (t *table) admitToColdTarget(e *endpoint, s *manifest.Service, now time.Time) bool {
	if !now.Before(e.target.ColdUntil) || s.ColdPerSecond <= 0 {
		return true
	}
	instances := t.view.EntryCount()
	rate := coldShare * s.ColdPerSecond / float64(instances)
	if e.coldBucket.refilledAt.IsZero() {
		e.coldBucket = newTokenBucket(instances, coldBurst(s.ColdPerSecond), t.position(e.id), now)
	}
	return e.coldBucket.takeToken(rate, max(1, rate/4), now)
}

// position returns the position in [0, 1) of this instance among those that share
// the rate of a target. The positions of all instances are spread evenly, in another order for
// each target. An instance that is not listed takes a random one.
func (t *table) position(target string) float64 {
	if _, listed := t.view.Entries[t.self.Name]; !listed {
		return rand.Float64()
	}
	rank := 0
	for name := range t.view.Entries {
		if name < t.self.Name {
			rank++
		}
	}
	n := len(t.view.Entries)
	shifted := (rank + int(xxhash.Sum64String(target)%uint64(n))) % n
	return (float64(shifted) + 0.5) / float64(n)
}

// instanceCount returns the number of instances that share the targets.
func (t *table) instanceCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.EntryCount()
}

// addIncomingCopies adds n, which may be negative, to the copies being
// transferred to an endpoint.
func (t *table) addIncomingCopies(e *endpoint, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.incomingCopies += n
	t.loadsChanged.Set()
}

// markFailed marks an endpoint as suspect after a failed attempt, for a time
// that grows with each consecutive failure.
func (t *table) markFailed(e *endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.suspectUntil = now.Add(min(suspectMin<<min(e.failures, 5), suspectMax))
	e.failures++
	t.loadsChanged.Set()
}

// clearFailures clears the failures of an endpoint after a complete response.
func (t *table) clearFailures(e *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.failures, e.suspectUntil = 0, time.Time{}
}

// usableEndpoints returns the endpoints of a service that may get new work.
func (t *table) usableEndpoints(service string) []*endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*endpoint
	for _, e := range t.endpoints {
		if e.service == service && e.usable {
			out = append(out, e)
		}
	}
	return out
}

// takeChangedEndpoints returns the endpoints that were added, or whose state or
// usability changed, since the last call.
func (t *table) takeChangedEndpoints() []endpointStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []endpointStatus
	for _, e := range t.changedEndpoints {
		out = append(out, endpointStatus{id: e.id, service: e.service, version: e.version, failureDomain: e.failureDomain, usable: e.usable, state: e.target.State, sequence: e.target.Sequence, leavingSource: e.said.leavingSource})
	}
	t.changedEndpoints = nil
	return out
}

// endpointStatus is the part of an endpoint that is logged when it changes.
type endpointStatus struct {
	id, service, version, failureDomain string
	usable                              bool
	state                               fleet.TargetState
	sequence                            uint64
	leavingSource                       string // who brought the target's statement that it leaves
}

func (f *Forwarder) logTargets() {
	for _, n := range f.table.takeChangedEndpoints() {
		line := f.config.Logger.Info().Str("target", n.id).Str("service", n.service).Str("version", n.version).Str("failure_domain", n.failureDomain).
			Bool("usable", n.usable).Int("state", int(n.state)).Uint64("sequence", n.sequence)
		if n.leavingSource != "" {
			line = line.Str("says_it_leaves", n.leavingSource)
		}
		line.Msg("target")
	}
}
