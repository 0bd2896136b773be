package permit

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

// maxProbes limits the shards of one region that are probed in one round. The
// selection changes from round to round.
const maxProbes = 4

// singleShardSliceFactor is how many times longer a queue slice (the time that a request
// waits in one shard's queue before it probes other shards) is for a service with a single
// shard.
const singleShardSliceFactor = 4

// Requirements describes the permit that a request needs.
type Requirements struct {
	Team    string
	Service string
	Shards  int
	// Regions lists regions in order of preference, this instance's own first.
	Regions         []string
	RequestID       string
	Request         *api.RequestClass
	Deadline        time.Time // time at which the request stops waiting
	Started         time.Time // time at which the request began to wait
	ExcludedTargets []string  // targets that failed for this request
	// CrossRegionAllowed reports whether regions after the first may be used; nil means yes.
	CrossRegionAllowed func() bool
}

// Acquirer obtains permits from shard owners.
type Acquirer struct {
	source            session.Source
	owners            *Owners
	registry          *Registry
	timing            Timing
	probes            tally.Counter
	queueSlices       tally.Counter
	otherRegionGrants tally.Counter

	suspects avoidedTargets // by target
	leaving  avoidedTargets // by incarnation
	quiet    avoidedTargets // by incarnation
}

// NewAcquirer returns an acquirer that adds granted permits to registry.
func NewAcquirer(source session.Source, owners *Owners, registry *Registry, timing Timing, scope tally.Scope) *Acquirer {
	return &Acquirer{
		source: source, owners: owners, registry: registry, timing: timing,
		probes:            scope.Counter("entry.acquire_probes"),
		queueSlices:       scope.Counter("entry.acquire_slices"),
		otherRegionGrants: scope.Counter("entry.acquire_other_region"),
	}
}

// probeRound summarizes the owners' responses in one round of probes.
type probeRound struct {
	queueable        []queueCandidate // full shards whose queue accepts the request
	overloadedShards int
	noTargetShards   int
	noOwnerShards    int
	retryAfter       time.Duration
}

type queueCandidate struct {
	key         session.ShardKey
	queueLength uint32
}

// Acquire waits for a permit until req.Deadline. It checks the freshness lease after
// each wait. An error means that the request holds no permit and did not run.
func (a *Acquirer) Acquire(ctx context.Context, req Requirements) (*HeldPermit, error) {
	for {
		if err := a.checkContextAndLease(ctx); err != nil {
			return nil, err
		}
		view, changed := a.source.View(), a.source.Changed()
		held, r := a.probeShards(ctx, view, req)
		remaining := time.Until(req.Deadline)
		if held == nil && remaining <= 0 {
			return nil, deadlineError(r)
		}
		if held == nil && len(r.queueable) > 0 {
			held, r = a.waitInQueue(ctx, view, req, r, remaining)
		}
		if held != nil {
			return held, nil
		}
		switch {
		case len(r.queueable) > 0:
			continue // probe again: the request has waited for one queue slice
		case r.overloadedShards > 0:
			return nil, resultcode.Newf(resultcode.Overloaded, "the queues of service %q are full", req.Service).WithRetryAfter(max(r.retryAfter, a.timing.RecheckInterval))
		case r.noOwnerShards == 0:
			if err := a.noTargetError(req, time.Now()); err != nil {
				return nil, err
			}
		}
		a.waitForChange(ctx, changed, min(remaining, a.timing.RecheckInterval))
	}
}

func (a *Acquirer) checkContextAndLease(ctx context.Context) error {
	if ctx.Err() != nil {
		return resultcode.Newf(resultcode.Cancelled, "the caller disconnected")
	}
	if !a.source.Fresh() {
		return NoFreshLeaseError()
	}
	return nil
}

// NoFreshLeaseError returns the error of an instance without a valid freshness lease.
func NoFreshLeaseError() error {
	return resultcode.Newf(resultcode.NoFreshLease, "no fresh state from the control group").WithRetryAfter(time.Second)
}

// noTargetError returns the refusal of a request for which the owners know no target; nil
// while one may still announce itself to a new owner.
func (a *Acquirer) noTargetError(req Requirements, now time.Time) error {
	if err := a.allQuietError(req, now); err != nil {
		return err
	}
	if now.Sub(req.Started) < a.timing.NoTargetGrace {
		return nil
	}
	return resultcode.Newf(resultcode.NoTarget, "no target of service %q can accept this request", req.Service).WithRetryAfter(time.Second)
}

func deadlineError(r probeRound) error {
	if r.noOwnerShards > 0 && len(r.queueable) == 0 {
		return resultcode.Newf(resultcode.NoOwner, "no owner of the shard can be reached").WithRetryAfter(time.Second)
	}
	return resultcode.Newf(resultcode.DeadlineExceeded, "the request exceeded the queue timeout of its class").WithRetryAfter(max(r.retryAfter, time.Second))
}

// waitForChange waits until the view (this instance's copy of the replicated state)
// changes, ctx ends or d has passed.
func (a *Acquirer) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// probeShards requests a permit from shards without queueing. It probes the other regions
// only if the first region's shards have no free permit and the cross-region budget
// allows it. If the request can use only one shard, probeShards does not probe it but
// returns it as queueable.
func (a *Acquirer) probeShards(ctx context.Context, view *session.View, req Requirements) (*HeldPermit, probeRound) {
	var r probeRound
	for i, region := range req.Regions {
		if i > 0 && req.CrossRegionAllowed != nil && !req.CrossRegionAllowed() {
			break
		}
		keys := a.probeOrder(req, region)
		if len(req.Regions) == 1 && len(keys) == 1 {
			// With a single shard there is nothing to compare: queue there at once.
			if _, ok := a.owners.Lookup(view, keys[0]); ok {
				return nil, probeRound{queueable: []queueCandidate{{key: keys[0]}}}
			}
		}
		for _, key := range keys {
			a.probes.Inc(1)
			held := a.acquireFrom(ctx, view, key, req, 0, &r)
			if held != nil && i > 0 {
				a.otherRegionGrants.Inc(1)
			}
			if held != nil {
				return held, r
			}
		}
	}
	return nil, r
}

// probeOrder returns the shards of a region to probe, at most maxProbes. They are sorted
// by the number of free permits minus the queue length, highest first, as known from the
// owner's last response to a report. Equal shards are in random order.
func (a *Acquirer) probeOrder(req Requirements, region string) []session.ShardKey {
	type scoredShard struct {
		key  session.ShardKey
		free int64
	}
	shards := make([]scoredShard, 0, req.Shards)
	for n := range req.Shards {
		key := session.ShardKey{Team: req.Team, Service: req.Service, Region: region, Number: uint32(n)}
		free, queue := a.registry.shardLoad(key)
		shards = append(shards, scoredShard{key, int64(free) - int64(queue)})
	}
	rand.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	slices.SortStableFunc(shards, func(x, y scoredShard) int { return cmp.Compare(y.free, x.free) })
	if len(shards) > maxProbes {
		// The last probe is chosen at random among the rest, so that an
		// outdated hint cannot exclude a shard forever.
		i := maxProbes - 1 + rand.IntN(len(shards)-maxProbes+1)
		shards[maxProbes-1], shards[i] = shards[i], shards[maxProbes-1]
		shards = shards[:maxProbes]
	}
	keys := make([]session.ShardKey, len(shards))
	for i, s := range shards {
		keys[i] = s.key
	}
	return keys
}

// waitInQueue waits for one queue slice in the shortest queue that accepts the request. The
// returned round replaces probed, because it holds the responses after the wait.
func (a *Acquirer) waitInQueue(ctx context.Context, view *session.View, req Requirements, probed probeRound, remaining time.Duration) (*HeldPermit, probeRound) {
	slices.SortStableFunc(probed.queueable, func(x, y queueCandidate) int { return cmp.Compare(x.queueLength, y.queueLength) })
	r := probeRound{noOwnerShards: probed.noOwnerShards, noTargetShards: probed.noTargetShards, overloadedShards: probed.overloadedShards}
	for _, c := range probed.queueable {
		a.queueSlices.Inc(1)
		held := a.acquireFrom(ctx, view, c.key, req, min(remaining, a.queueSlice(req)), &r)
		if held != nil || len(r.queueable) > 0 {
			return held, r
		}
	}
	return nil, r
}

// queueSlice returns how long a request waits in one queue before it probes other
// shards. A single shard has no alternative in the region, so its slices are longer:
// fewer calls reach its owner when it is busiest.
func (a *Acquirer) queueSlice(req Requirements) time.Duration {
	if req.Shards <= 1 {
		return singleShardSliceFactor * a.timing.QueueSlice
	}
	return a.timing.QueueSlice
}

// acquireFrom requests a permit from the owner of one shard, waits in its queue for at most
// wait, and adds the owner's response to the round r. It returns nil if no permit was
// granted.
func (a *Acquirer) acquireFrom(ctx context.Context, view *session.View, key session.ShardKey, req Requirements, wait time.Duration, r *probeRound) *HeldPermit {
	owner, ok := a.owners.Lookup(view, key)
	if !ok {
		r.countUnreachable(req, key)
		return nil
	}
	a.registry.markUsed(key)
	now := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+a.timing.CallTimeout)
	defer cancel()
	excluded := a.targetsToExclude(req, now)
	response, err := owner.Command.Acquire(callCtx, &api.AcquireRequest{
		Shard: key.Proto(), HolderSession: a.source.SessionID(), RequestId: req.RequestID, Request: req.Request,
		WaitMs: uint32(wait.Milliseconds()), WaitedMs: uint32(now.Sub(req.Started).Milliseconds()),
		ExcludeTargets: excluded, ExcludeIncarnations: a.incarnationsToExclude(req, len(excluded), now),
	})
	if err != nil {
		r.countUnreachable(req, key)
		return nil
	}
	r.retryAfter = max(r.retryAfter, time.Duration(response.GetRetryAfterMs())*time.Millisecond)
	switch response.GetOutcome() {
	case api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED:
		return a.registry.Add(key, response.GetPermit(), req.Request, time.Now())
	case api.AcquireOutcome_ACQUIRE_OUTCOME_FULL:
		r.queueable = append(r.queueable, queueCandidate{key, response.GetQueueLength()})
	case api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED:
		r.overloadedShards++
	case api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET:
		r.noTargetShards++
	default:
		r.countUnreachable(req, key)
	}
	return nil
}

// countUnreachable counts a shard whose owner is missing or does not respond. Only
// shards of the first region count as waiting for an owner. Other regions may have no
// instance at all, so their shards count as shards without a target.
func (r *probeRound) countUnreachable(req Requirements, key session.ShardKey) {
	if key.Region == req.Regions[0] {
		r.noOwnerShards++
	} else {
		r.noTargetShards++
	}
}

// TryAcquire requests a permit in req.Regions without waiting. It returns nil if none is
// free, ctx has ended or the freshness lease is invalid.
func (a *Acquirer) TryAcquire(ctx context.Context, req Requirements) *HeldPermit {
	if a.checkContextAndLease(ctx) != nil {
		return nil
	}
	view := a.source.View()
	var r probeRound
	for _, region := range req.Regions {
		for _, key := range a.probeOrder(req, region) {
			a.probes.Inc(1)
			if held := a.acquireFrom(ctx, view, key, req, 0, &r); held != nil {
				return held
			}
		}
	}
	return nil
}
