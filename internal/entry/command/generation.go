package command

import (
	"context"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/classify"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Fault points at which tests inject failures into a generation.
const (
	pointPermitGranted faultpoint.Point = "generation.permit_granted"
	pointBeforeStart   faultpoint.Point = "generation.before_start"
)

// generation is the state of one generation request in progress.
type generation struct {
	*classify.Generation
	identity *access.Identity
	sink     sink
	// mayHaveRun is set once an attempt may have run at a target: from then on
	// the request must not be reported as "not run".
	mayHaveRun      bool
	excludedTargets []string
	features        []string // what its repeats have in common
	lostTargets     int      // targets whose processes ended while they began to run it
	startedAt       time.Time
	// releaseSlot releases the request's slot in the account's limits. A detached
	// generation, which continues without its caller, keeps it until it ends.
	releaseSlot func()
	detached    bool
}

// Generate serves POST /v1/chat/completions, streamed or as one response. If the
// caller disconnects from a stream, the generation continues detached so that the
// caller can resume it.
func (s *Service) Generate(c echo.Context) error {
	w, r := c.Response(), c.Request()
	identity, releaseSlot, err := s.admitRequest(r)
	if err != nil {
		return err
	}
	g := &generation{identity: identity, releaseSlot: releaseSlot, startedAt: time.Now()}
	defer func() {
		if !g.detached {
			releaseSlot()
		}
	}()
	body, err := reply.ReadBody(w, r, maxEngineBodyBytes(identity))
	if err != nil {
		return err
	}
	parsed, err := classify.ParseGeneration(identity, r.Header.Get(classHeader), body)
	if err != nil {
		return err
	}
	s.counts.generations.Inc(1)
	g.Generation = parsed
	g.features = featuresOf(g)
	if parsed.Stream {
		g.sink = newStreamSink(w, s.Timing, 0)
	} else {
		g.sink = newCompletionSink(w, parsed.Request.GetModel(), parsed.Request.GetPromptTokens())
	}
	if !s.runWithRetries(r.Context(), g) {
		reply.Abort()
	}
	return nil
}

// maxEngineBodyBytes returns the largest body limit among the engine services that
// the account may call. The service itself is known only after the body was read.
func maxEngineBodyBytes(identity *access.Identity) int64 {
	var limit int64 = 1
	for name, service := range identity.Team.Services {
		if service.Kind == settings.KindEngine && identity.MayCall(name) {
			limit = max(limit, service.MaxBodyBytes)
		}
	}
	return limit
}

// runWithRetries runs the request and retries it at other targets while the result
// is retryable and the retry budget allows it. It reports whether the response has ended:
// after a takeover, or if the caller seems to have disconnected, it must be cut.
func (s *Service) runWithRetries(ctx context.Context, g *generation) bool {
	req := s.requirements(g.identity, g.Service, g.Class.QueueTimeout(), g.Request)
	for {
		if err := s.checkQuarantine(g); err != nil {
			return s.failResponse(g, err)
		}
		req.RequestID, req.ExcludedTargets = stream.RandomID(), g.excludedTargets
		held, err := s.Acquirer.Acquire(ctx, req)
		if err != nil {
			return s.failResponse(g, err)
		}
		sentAt := time.Now()
		res := s.runOnce(ctx, g, held)
		if res.outcome != failed {
			return res.outcome == completed
		}
		s.reportViolation(res.err)
		g.excludedTargets = append(g.excludedTargets, held.Permit.GetTarget())
		g.mayHaveRun = g.mayHaveRun || res.err.Execution != resultcode.NotRun
		if res.targetEnded {
			if err := s.recordLost(g, held, sentAt); err != nil {
				return s.failResponse(g, err)
			}
		}
		if !res.retryable {
			return s.failResponse(g, res.err)
		}
		if !s.takeRetry(g.identity) {
			return s.failResponse(g, retryBudgetError(res.err))
		}
		s.counts.restarted.Inc(1)
	}
}

// failResponse ends the caller's response with err. If an earlier attempt may have
// run, "not run" is replaced by "unknown". It always returns true, since the error
// has been sent.
func (s *Service) failResponse(g *generation, err error) bool {
	e := resultcode.From(err)
	if g.mayHaveRun && e.Execution == resultcode.NotRun {
		e = e.WithExecution(resultcode.Unknown)
	}
	g.sink.fail(e)
	return true
}

// runOnce runs the request at the permit's target under a new generation id. The permit
// is released once nothing needs it any more: when the generation has ended or could not
// be started. After a takeover it belongs to the other request.
func (s *Service) runOnce(ctx context.Context, g *generation, held *permit.HeldPermit) relayResult {
	if err := faultpoint.Hit(pointPermitGranted); err != nil {
		s.releasePermit(ctx, held, api.ReleaseReason_RELEASE_REASON_NOT_STARTED)
		return relayResult{outcome: failed, err: resultcode.Newf(resultcode.Internal, "%v", err)}
	}
	id := stream.GenerationID(g.Service, held.Permit.GetTarget(), uniqueIDPart(held))
	r := s.newRelay(id, g.identity, held, g.sink, 0)
	r.address, r.body, r.request, r.startedAt = held.Permit.GetAddress(), g.Body, g, g.startedAt
	r.onServed = func() { s.recordServed(g) }
	r.beforeDispatch = func() error {
		if err := faultpoint.Hit(pointBeforeStart); err != nil {
			return err
		}
		return s.checkBeforeSend(g.identity, g.Service, held)
	}
	if r.chargeLink != nil {
		r.chargeLink(len(g.Body))
	}
	return s.runRelay(ctx, r, g.identity)
}

// newRelay returns a relay that starts at the given token offset. The caller sets the
// fields that differ between a new and a resumed generation. held is the generation's
// permit; it may be nil.
func (s *Service) newRelay(id string, identity *access.Identity, held *permit.HeldPermit, out sink, offset int) *relay {
	r := &relay{
		engine: s.engine, id: id, held: held, sink: out, counts: s.counts, latencies: s.Latencies,
		seq:     stream.NewSequencer(id, offset, s.Timing.SilenceTimeout, time.Now()),
		decoder: stream.NewDecoder(id), onResponse: s.recordStatements(held),
	}
	if held != nil {
		r.suspectIfNotSent = func(err error) { s.suspectIfNotSent(held, err) }
		r.chargeLink = s.linkCharger(identity, held.Shard.Region)
	}
	return r
}

// runRelay runs relay r until the generation ends, its caller disconnects or another
// request takes over the generation. After a disconnect the generation continues in the
// background. The permit is released when the generation ends, but not after a takeover:
// it then belongs to the other request.
func (s *Service) runRelay(ctx context.Context, r *relay, identity *access.Identity) relayResult {
	running := s.generations.add(r.id, identity.TeamName, identity.AccountName, r.held)
	if r.held != nil {
		r.held.OnMoved(func() { running.cancel(errSuperseded) })
	}
	callCtx, cancel := context.WithCancelCause(running.ctx)
	stop := context.AfterFunc(ctx, func() { cancel(errCallerGone) })
	res := r.run(callCtx)
	stop()
	cancel(nil)
	if res.outcome == callerGone {
		s.counts.callersGone.Inc(1)
		if r.request != nil {
			r.request.detached = true
		}
		s.background.Go(func() {
			s.runDetached(r, running)
			if r.request != nil {
				r.request.releaseSlot()
			}
		})
		return res
	}
	r.closeConn()
	if !s.generations.remove(r.id, running) {
		return relayResult{outcome: superseded}
	}
	if res.outcome == superseded {
		r.held.Forget()
		return res
	}
	s.releaseAfterRelay(ctx, r, res)
	return res
}

// releaseAfterRelay releases the permit with the reason that matches res. A
// generation that may still run is cancelled at its target if the owner confirms
// that this instance held the permit.
func (s *Service) releaseAfterRelay(ctx context.Context, r *relay, res relayResult) {
	if r.held == nil {
		return
	}
	if res.outcome == completed {
		r.held.Release(ctx, api.ReleaseReason_RELEASE_REASON_FINISHED)
		return
	}
	if res.err.Execution == resultcode.NotRun {
		reason := api.ReleaseReason_RELEASE_REASON_NOT_STARTED
		if res.err.Code == resultcode.TargetUnreachable {
			reason = api.ReleaseReason_RELEASE_REASON_FAILED
		}
		r.held.Release(ctx, reason)
		return
	}
	if r.held.Release(ctx, api.ReleaseReason_RELEASE_REASON_FAILED) {
		s.background.Go(func() { s.cancelAtTarget(ctx, r) })
	}
}

// runDetached reads the stream of a generation whose caller disconnected, so that the
// permit is released as soon as the generation ends. A generation that has not ended when
// the caller may no longer resume it is cancelled at its target. A broken stream is not
// reopened, because that would take it away from a reader at another instance.
func (s *Service) runDetached(r *relay, running *runningGeneration) {
	timeout := s.Timing.ResumeWindow
	if !r.sink.resumable() {
		timeout = 0
	}
	ctx, cancel := context.WithTimeoutCause(running.ctx, timeout, errCallerGone)
	defer cancel()
	finished := r.readDetached(ctx)
	if !finished {
		<-ctx.Done()
	}
	r.closeConn()
	if !s.generations.remove(r.id, running) || r.held == nil {
		return
	}
	if finished {
		r.held.Release(ctx, api.ReleaseReason_RELEASE_REASON_FINISHED)
		return
	}
	if r.held.Release(ctx, api.ReleaseReason_RELEASE_REASON_CANCELLED) {
		s.cancelAtTarget(ctx, r)
	}
}

func (s *Service) cancelAtTarget(ctx context.Context, r *relay) {
	s.counts.cancelled.Inc(1)
	_ = r.engine.Cancel(ctx, r.address, r.id, r.onResponse) // ignore an error: there is nothing to cancel at an unreachable target
}

// readDetached reads the stream and discards its tokens until it ends, the
// connection breaks or ctx ends. It reports whether the generation completed.
func (r *relay) readDetached(ctx context.Context) bool {
	r.sink = discardSink{}
	if r.conn == nil {
		return false
	}
	r.conn.BindContext(ctx)
	for r.conn != nil && ctx.Err() == nil {
		switch r.applyInput(r.readInput()) {
		case stream.Complete:
			return true
		case stream.Fail, stream.Reconnect:
			return false
		}
	}
	return false
}

// uniqueIDPart returns the last part of a generation id. It contains the permit id,
// so that the caller can resume at any instance, and a suffix that cannot be
// guessed. Dots separate the parts of a generation id, so those in the permit id
// are replaced by "~".
func uniqueIDPart(h *permit.HeldPermit) string {
	return strings.ReplaceAll(h.Permit.GetId(), ".", "~") + permitSeparator + stream.RandomID()
}

const permitSeparator = "-"

// permitIDFrom returns the permit id that uniqueIDPart encoded.
func permitIDFrom(unique string) string {
	if i := strings.LastIndex(unique, permitSeparator); i >= 0 {
		unique = unique[:i]
	}
	return strings.ReplaceAll(unique, "~", ".")
}

// discardSink is the sink of a generation whose caller disconnected.
type discardSink struct{}

func (discardSink) accepted(string)          {}
func (discardSink) resumable() bool          { return true }
func (discardSink) token(int, []byte) error  { return nil }
func (discardSink) finish(int, []byte) error { return nil }
func (discardSink) flush() error             { return nil }
func (discardSink) onIdle(time.Time) error   { return nil }
func (discardSink) complete() error          { return nil }
func (discardSink) fail(*resultcode.Error)   {}
