package owner

import (
	"context"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/scheduler"
	"github.com/endivetrack/endivetrack/internal/session"
)

// Bounds on what one call may ask for.
const (
	maxWait     = 30 * time.Second
	maxWaited   = 10 * time.Minute
	maxExcluded = 64
)

// retryAfter is the hint in refusals, short because permits free often.
const retryAfter = 250 * time.Millisecond

// Acquire waits for a permit, at most for the request's wait_ms.
func (o *Owner) Acquire(ctx context.Context, r *api.AcquireRequest) (*api.AcquireResponse, error) {
	if len(r.GetExcludeTargets()) > maxExcluded || r.GetHolderSession() == 0 {
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.MessageMalformed, "acquire: holder %d, %d excluded targets", r.GetHolderSession(), len(r.GetExcludeTargets())))
	}
	ticket, w, refusal := o.enqueue(r)
	if refusal != nil {
		return refusal, nil
	}
	select {
	case d := <-w.answer:
		return o.response(r, d), nil
	case <-ctx.Done():
		o.abandon(r, ticket, w)
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.Cancelled, "acquire: the holder gave up"))
	}
}

func (o *Owner) enqueue(r *api.AcquireRequest) (scheduler.Ticket, waiter, *api.AcquireResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.owned(session.KeyOf(r.GetShard()))
	if sh == nil || !o.cfg.Source.Fresh() {
		return 0, waiter{}, o.refuse(api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER, false, 0)
	}
	now := o.cfg.Clock.Now()
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait)
	waited := min(time.Duration(r.GetWaitedMs())*time.Millisecond, maxWaited)
	class := r.GetRequest()
	if class == nil {
		class = &api.RequestClass{}
	}
	ticket, outcome := sh.state.Enqueue(scheduler.Request{
		Holder: r.GetHolderSession(), Class: class, Exclude: r.GetExcludeTargets(),
		Arrived: now.Add(-waited), Until: now.Add(wait),
	}, now)
	if outcome != api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED {
		return 0, waiter{}, o.refuse(outcome, false, sh.state.QueueLength())
	}
	w := waiter{until: now.Add(wait), answer: make(chan scheduler.Decision, 1)}
	sh.waiters[ticket] = w
	o.schedule(sh, now)
	return ticket, w, nil
}

// abandon ends a wait whose caller has gone, and releases a permit that was
// granted at the same time.
func (o *Owner) abandon(r *api.AcquireRequest, ticket scheduler.Ticket, w waiter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.shards[session.KeyOf(r.GetShard())]
	if sh == nil {
		return
	}
	select {
	case d := <-w.answer:
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

func (o *Owner) response(r *api.AcquireRequest, d scheduler.Decision) *api.AcquireResponse {
	if d.Outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED {
		return &api.AcquireResponse{Outcome: d.Outcome, Permit: d.Permit}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	length := 0
	if sh := o.shards[session.KeyOf(r.GetShard())]; sh != nil {
		length = sh.state.QueueLength()
	}
	return o.refuse(d.Outcome, d.DeadlineUp, length)
}

func (o *Owner) refuse(outcome api.AcquireOutcome, deadline bool, queueLength int) *api.AcquireResponse {
	o.countRefusal(outcome, deadline)
	return &api.AcquireResponse{Outcome: outcome, RetryAfterMs: uint32(retryAfter.Milliseconds()), QueueLength: uint32(queueLength)}
}

// Release ends a permit. An owner that does not own the shard answers with an
// error, since it cannot tell who holds the permit.
func (o *Owner) Release(_ context.Context, r *api.ReleaseRequest) (*api.ReleaseResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.owned(session.KeyOf(r.GetShard()))
	if sh == nil {
		return nil, notOwner(r.GetShard())
	}
	now := o.cfg.Clock.Now()
	held := sh.state.Release(r.GetHolderSession(), r.GetReason(), r.GetFinal(), now)
	o.schedule(sh, now)
	return &api.ReleaseResponse{Held: held}, nil
}

// Report reconciles the permits of one holder with its full list.
func (o *Owner) Report(_ context.Context, r *api.ReportRequest) (*api.ReportResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.owned(session.KeyOf(r.GetShard()))
	if sh == nil {
		return &api.ReportResponse{NotOwner: true}, nil
	}
	now := o.cfg.Clock.Now()
	sh.state.Report(r.GetHolderSession(), r.GetPermits(), now)
	o.schedule(sh, now)
	return &api.ReportResponse{
		FreePermits: uint32(sh.state.FreePermits(now)), QueueLength: uint32(sh.state.QueueLength()),
		MovedPermits: sh.state.Moved(r.GetHolderSession(), r.GetPermits()),
	}, nil
}

// Transfer moves a permit to the instance at which the caller resumed.
func (o *Owner) Transfer(_ context.Context, r *api.TransferRequest) (*api.TransferResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.owned(session.KeyOf(r.GetShard()))
	if sh == nil {
		return nil, notOwner(r.GetShard())
	}
	p := sh.state.Transfer(r.GetToSession(), r.GetPermitId(), r.GetTarget(), o.cfg.Clock.Now())
	return &api.TransferResponse{Moved: p != nil, Permit: p}, nil
}

// Announce takes a target's announcement.
func (o *Owner) Announce(_ context.Context, r *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.owned(session.KeyOf(r.GetShard()))
	if sh == nil {
		return &api.AnnounceResponse{NotOwner: true}, nil
	}
	now := o.cfg.Clock.Now()
	sh.state.Announce(r.GetAnnouncement(), now)
	o.schedule(sh, now)
	return &api.AnnounceResponse{}, nil
}

func notOwner(s *api.Shard) error {
	return resultcode.ToTwirp(resultcode.Newf(resultcode.NoOwner, "shard %s is not owned by this instance", session.KeyOf(s)))
}
