package owner

import (
	"context"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/scheduler"
	"github.com/endivetrack/endivetrack/internal/session"
)

// Bounds on wait_ms, waited_ms and the number of excluded targets in one
// AcquireRequest.
const (
	maxWait            = 30 * time.Second
	maxPriorWait       = 10 * time.Minute
	maxExcludedTargets = 64
)

// retryAfterHint is the retry delay that refusals suggest. It is short because
// permits are released often.
const retryAfterHint = 250 * time.Millisecond

// Acquire queues a request for at most wait_ms and returns a permit or a
// refusal. It fails if the request is malformed, or if ctx ends before the
// decision.
func (o *Owner) Acquire(ctx context.Context, r *api.AcquireRequest) (*api.AcquireResponse, error) {
	if excluded := len(r.GetExcludeTargets()) + len(r.GetExcludeIncarnations()); excluded > maxExcludedTargets || r.GetHolderSession() == 0 {
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.MessageMalformed, "acquire: holder %d, %d excluded targets", r.GetHolderSession(), excluded))
	}
	ticket, w, refusal := o.enqueueRequest(r)
	if refusal != nil {
		return refusal, nil
	}
	select {
	case d := <-w.decision:
		return o.acquireResponse(r, d), nil
	case <-ctx.Done():
		o.abandonRequest(r, ticket, w)
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.Cancelled, "acquire: the caller cancelled the request"))
	}
}

// enqueueRequest queues a request and schedules the shard. It returns either the
// waiter that receives the decision, or a refusal.
func (o *Owner) enqueueRequest(r *api.AcquireRequest) (scheduler.Ticket, waiter, *api.AcquireResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil || !o.cfg.Source.Fresh() {
		return 0, waiter{}, o.refusalResponse(api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER, false, 0)
	}
	now := o.cfg.Clock.Now()
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait)
	priorWait := min(time.Duration(r.GetWaitedMs())*time.Millisecond, maxPriorWait)
	class := r.GetRequest()
	if class == nil {
		class = &api.RequestClass{}
	}
	unwilling := sh.state.CurrentTargets(r.GetExcludeIncarnations())
	ticket, outcome := sh.state.Enqueue(scheduler.Request{
		Holder: r.GetHolderSession(), Class: class, Exclude: slices.Concat(r.GetExcludeTargets(), unwilling), Unwilling: unwilling,
		Arrived: now.Add(-priorWait), Until: now.Add(wait),
	}, now)
	if outcome != api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED {
		return 0, waiter{}, o.refusalResponse(outcome, false, sh.state.QueueLength())
	}
	w := waiter{deadline: now.Add(wait), decision: make(chan scheduler.Decision, 1)}
	sh.waiters[ticket] = w
	o.schedule(sh, now)
	return ticket, w, nil
}

// abandonRequest removes from the queue a request that its caller has cancelled.
// If a permit was granted in the meantime, abandonRequest releases it.
func (o *Owner) abandonRequest(r *api.AcquireRequest, ticket scheduler.Ticket, w waiter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.shards[session.KeyOf(r.GetShard())]
	if sh == nil {
		return
	}
	select {
	case d := <-w.decision:
		if d.Permit != nil {
			now := o.cfg.Clock.Now()
			sh.state.Release(r.GetHolderSession(), api.ReleaseReason_RELEASE_REASON_NOT_STARTED, &api.Progress{PermitId: d.Permit.GetId()}, now)
			o.schedule(sh, now)
		}
	default:
		sh.state.Cancel(ticket)
		delete(sh.waiters, ticket)
	}
}

// acquireResponse converts a scheduling decision to the response of Acquire.
func (o *Owner) acquireResponse(r *api.AcquireRequest, d scheduler.Decision) *api.AcquireResponse {
	if d.Outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED {
		return &api.AcquireResponse{Outcome: d.Outcome, Permit: d.Permit}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	queueLength := 0
	if sh := o.shards[session.KeyOf(r.GetShard())]; sh != nil {
		queueLength = sh.state.QueueLength()
	}
	return o.refusalResponse(d.Outcome, d.QueueTimedOut, queueLength)
}

// refusalResponse counts a refusal of Acquire in the metrics and returns its response.
func (o *Owner) refusalResponse(outcome api.AcquireOutcome, deadlineExceeded bool, queueLength int) *api.AcquireResponse {
	o.countRefusal(outcome, deadlineExceeded)
	return &api.AcquireResponse{Outcome: outcome, RetryAfterMs: uint32(retryAfterHint.Milliseconds()), QueueLength: uint32(queueLength)}
}

// Release ends a permit and reports whether the caller held it. If this
// instance does not own the shard, Release returns an error, because it cannot
// determine who holds the permit.
func (o *Owner) Release(_ context.Context, r *api.ReleaseRequest) (*api.ReleaseResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil {
		return nil, notOwnerError(r.GetShard())
	}
	now := o.cfg.Clock.Now()
	held := sh.state.Release(r.GetHolderSession(), r.GetReason(), r.GetFinal(), now)
	o.schedule(sh, now)
	return &api.ReleaseResponse{Held: held}, nil
}

// Report reconciles the shard's permits of one holder with the full list that
// the holder sends. The response names the listed permits that now belong to
// another holder.
func (o *Owner) Report(_ context.Context, r *api.ReportRequest) (*api.ReportResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil {
		return &api.ReportResponse{NotOwner: true}, nil
	}
	now := o.cfg.Clock.Now()
	sh.state.Report(r.GetHolderSession(), r.GetPermits(), now)
	o.schedule(sh, now)
	return &api.ReportResponse{
		FreePermits: uint32(sh.state.FreePermits(now)), QueueLength: uint32(sh.state.QueueLength()),
		MovedPermits: sh.state.PermitsHeldElsewhere(r.GetHolderSession(), r.GetPermits()),
	}, nil
}

// Transfer moves a permit to the instance where the client resumed its
// generation, and reports whether the permit was moved.
func (o *Owner) Transfer(_ context.Context, r *api.TransferRequest) (*api.TransferResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil {
		return nil, notOwnerError(r.GetShard())
	}
	p := sh.state.Transfer(r.GetToSession(), r.GetPermitId(), r.GetTarget(), o.cfg.Clock.Now())
	return &api.TransferResponse{Moved: p != nil, Permit: p}, nil
}

// Announce records a target's announcement in the shard that the target
// belongs to.
func (o *Owner) Announce(_ context.Context, r *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil {
		return &api.AnnounceResponse{NotOwner: true}, nil
	}
	now := o.cfg.Clock.Now()
	sh.state.Announce(r.GetAnnouncement(), now)
	o.schedule(sh, now)
	return &api.AnnounceResponse{}, nil
}

// RecordLeaving records that a target said in an answer that it leaves.
func (o *Owner) RecordLeaving(_ context.Context, r *api.RecordLeavingRequest) (*api.RecordLeavingResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil {
		return &api.RecordLeavingResponse{NotOwner: true}, nil
	}
	now := o.cfg.Clock.Now()
	sh.state.RecordLeaving(r.GetTarget(), now)
	o.schedule(sh, now)
	return &api.RecordLeavingResponse{}, nil
}

func notOwnerError(shard *api.Shard) error {
	return resultcode.ToTwirp(resultcode.Newf(resultcode.NoOwner, "shard %s is not owned by this instance", session.KeyOf(shard)))
}
