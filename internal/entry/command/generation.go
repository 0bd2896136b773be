package command

import (
	"context"
	"net/http"
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

// Fault points of a generation.
const (
	pointPermitGranted faultpoint.Point = "generation.permit_granted"
	pointBeforeStart   faultpoint.Point = "generation.before_start"
)

// generation is one caller's request while it runs.
type generation struct {
	*classify.Generation
	id   *access.Identity
	sink sink
	// mayHaveRun: an earlier attempt may have run at a target, so the request
	// cannot be called "not run" any more.
	mayHaveRun bool
	exclude    []string
	began      time.Time
	// done ends the request's place in the account's limits. A generation that
	// runs on without its caller keeps the place until it ends.
	done   func()
	runsOn bool
}

// Generate serves POST /v1/chat/completions.
func (s *Service) Generate(c echo.Context) error {
	w, r := c.Response(), c.Request()
	id, done, err := s.begin(r)
	if err != nil {
		return err
	}
	g := &generation{id: id, done: done, began: time.Now()}
	defer func() {
		if !g.runsOn {
			done()
		}
	}()
	body, err := reply.ReadBody(w, r, largestBody(id))
	if err != nil {
		return err
	}
	parsed, err := classify.ParseGeneration(id, r.Header.Get(classHeader), body)
	if err != nil {
		return err
	}
	s.counts.generations.Inc(1)
	g.Generation = parsed
	if parsed.Stream {
		g.sink = newCallerStream(w, s.Timing, 0)
	} else {
		g.sink = newCompletion(w, parsed.Request.GetModel(), parsed.Request.GetPromptTokens())
	}
	return s.generate(r.Context(), g)
}

// largestBody is the largest bound of the account's engine services; the
// service is known only after the body was read.
func largestBody(id *access.Identity) int64 {
	var limit int64 = 1
	for name, service := range id.Team.Services {
		if service.Kind == settings.KindEngine && id.MayCall(name) {
			limit = max(limit, service.MaxBodyBytes)
		}
	}
	return limit
}

// generate runs the request, again elsewhere where the result allows it and
// the retry budget has room.
func (s *Service) generate(ctx context.Context, g *generation) error {
	wanted := s.wanted(g.id, g.Service, g.Class.QueueTimeout(), g.Request)
	for {
		wanted.RequestID, wanted.Exclude = stream.NewUnique(), g.exclude
		held, err := s.Acquirer.Acquire(ctx, wanted)
		if err != nil {
			return s.refuse(g, err)
		}
		res := s.attempt(ctx, g, held)
		if res.ending == superseded {
			panic(http.ErrAbortHandler) // the old connection must not look complete
		}
		if res.ending != failed {
			return nil
		}
		s.report(res.err)
		g.exclude = append(g.exclude, held.Permit.GetTarget())
		g.mayHaveRun = g.mayHaveRun || res.err.Execution != resultcode.NotRun
		if !res.restart {
			return s.refuse(g, res.err)
		}
		if !s.mayRetry(g.id) {
			return s.refuse(g, budgetSpent(res.err))
		}
		s.counts.restarted.Inc(1)
	}
}

// refuse ends the answer with an error that is true for all attempts.
func (s *Service) refuse(g *generation, err error) error {
	e := resultcode.From(err)
	if g.mayHaveRun && e.Execution == resultcode.NotRun {
		e = e.WithExecution(resultcode.Unknown)
	}
	g.sink.fail(e)
	return nil
}

// attempt runs the request once at the permit's target, under a new
// generation id. The permit is released when nothing needs it any more.
func (s *Service) attempt(ctx context.Context, g *generation, held *permit.Held) result {
	if err := faultpoint.Hit(pointPermitGranted); err != nil {
		s.release(ctx, held, api.ReleaseReason_RELEASE_REASON_NOT_STARTED)
		return result{ending: failed, err: resultcode.Newf(resultcode.Internal, "%v", err)}
	}
	id := stream.GenerationID(g.Service, held.Permit.GetTarget(), uniquePart(held))
	r := s.newRelay(id, g.id, held, g.sink, 0)
	r.address, r.body, r.request, r.began = held.Permit.GetAddress(), g.Body, g, g.began
	r.before = func() error {
		if err := faultpoint.Hit(pointBeforeStart); err != nil {
			return err
		}
		return s.mayDispatch(g.id, g.Service, held.Permit)
	}
	if r.charge != nil {
		r.charge(len(g.Body))
	}
	return s.relay(ctx, r, g.id)
}

// newRelay returns a relay with what all relays share.
func (s *Service) newRelay(id string, who *access.Identity, held *permit.Held, to sink, offset int) *relay {
	r := &relay{
		engine: s.engine, id: id, held: held, sink: to, counts: s.counts, latencies: s.Latencies,
		seq:     stream.NewSequencer(id, offset, s.Timing.Silence, time.Now()),
		decoder: stream.NewDecoder(id),
	}
	if held != nil {
		r.suspect = func(err error) { s.suspect(held, err) }
		r.charge = s.charger(who, held.Shard.Region)
	}
	return r
}

// relay runs r until it ends or its caller is gone, and sees to the permit.
func (s *Service) relay(ctx context.Context, r *relay, who *access.Identity) result {
	entry := s.running.add(r.id, who.TeamName, who.AccountName, r.held)
	if r.held != nil {
		r.held.OnMoved(func() { entry.end(errSuperseded) })
	}
	callCtx, cancel := context.WithCancelCause(entry.life)
	stop := context.AfterFunc(ctx, func() { cancel(errCallerGone) })
	res := r.run(callCtx)
	stop()
	cancel(nil)
	if res.ending == callerGone {
		s.counts.callersGone.Inc(1)
		if r.request != nil {
			r.request.runsOn = true
		}
		s.work.Go(func() {
			s.runOn(r, entry)
			if r.request != nil {
				r.request.done()
			}
		})
		return res
	}
	r.drop()
	if !s.running.remove(r.id, entry) {
		return result{ending: superseded}
	}
	if res.ending == superseded {
		r.held.Forget()
		return res
	}
	s.settle(ctx, r, res)
	return res
}

// settle releases the permit after a relay ended. A generation that may still
// run at its target is cancelled there, if this instance still holds it.
func (s *Service) settle(ctx context.Context, r *relay, res result) {
	if r.held == nil {
		return
	}
	if res.ending == completed {
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
		s.work.Go(func() { s.cancel(ctx, r) })
	}
}

// runOn keeps a generation whose caller is gone for as long as the caller may
// come back. Its stream is read on, so that its end frees the permit at once,
// but never opened again: a reader elsewhere must not be displaced.
func (s *Service) runOn(r *relay, entry *running) {
	patience := s.Timing.Gone
	if !r.sink.resumable() {
		patience = 0
	}
	ctx, cancel := context.WithTimeoutCause(entry.life, patience, errCallerGone)
	defer cancel()
	finished := r.readOn(ctx)
	if !finished {
		<-ctx.Done()
	}
	r.drop()
	if !s.running.remove(r.id, entry) || r.held == nil {
		return
	}
	if finished {
		r.held.Release(ctx, api.ReleaseReason_RELEASE_REASON_FINISHED)
		return
	}
	if r.held.Release(ctx, api.ReleaseReason_RELEASE_REASON_CANCELLED) {
		s.cancel(ctx, r)
	}
}

func (s *Service) cancel(ctx context.Context, r *relay) {
	s.counts.cancelled.Inc(1)
	_ = r.engine.Cancel(ctx, r.address, r.id) // a target that is gone has nothing to cancel
}

// readOn reads the stream without a caller and reports whether it completed.
func (r *relay) readOn(ctx context.Context) bool {
	r.sink = discard{}
	if r.conn == nil {
		return false
	}
	r.conn.Bind(ctx)
	for r.conn != nil && ctx.Err() == nil {
		switch r.step(r.read()) {
		case stream.Complete:
			return true
		case stream.Fail, stream.Reconnect:
			return false
		}
	}
	return false
}

// uniquePart returns the part of the generation id that names the permit, so
// that a caller can resume anywhere, and that cannot be guessed. Dots separate
// the parts of a generation id and are replaced.
func uniquePart(h *permit.Held) string {
	return strings.ReplaceAll(h.Permit.GetId(), ".", "~") + permitSeparator + stream.NewUnique()
}

const permitSeparator = "-"

// permitOf returns the permit id that uniquePart encoded.
func permitOf(unique string) string {
	if i := strings.LastIndex(unique, permitSeparator); i >= 0 {
		unique = unique[:i]
	}
	return strings.ReplaceAll(unique, "~", ".")
}

// discard is the sink of a generation whose caller is gone.
type discard struct{}

func (discard) accepted(string)          {}
func (discard) resumable() bool          { return true }
func (discard) token(int, []byte) error  { return nil }
func (discard) finish(int, []byte) error { return nil }
func (discard) flush() error             { return nil }
func (discard) idle(time.Time) error     { return nil }
func (discard) complete() error          { return nil }
func (discard) fail(*resultcode.Error)   {}
