package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
)

// errNoEvent means that a target ended its response without an event that follows the
// caller's newest one. Nothing proves then that the stream is complete.
var errNoEvent = fmt.Errorf("the target ended the stream without an event: %w", io.ErrUnexpectedEOF)

// errNotContinued means that a target answered the request for the rest of a stream with
// something else than a stream.
var errNotContinued = errors.New("the target did not continue the stream")

// errStopped means that a target ended the stream of a run which it was asked to stop, and
// which was not moved.
var errStopped = errors.New("the run was stopped and not moved")

// streamSession is the state of one caller's stream. The stream consists of one
// or more legs, each served by one target.
type streamSession struct {
	f      *Forwarder
	q      *request
	caller *callerStream

	lastEventAt      time.Time
	timeToFirstEvent time.Duration // time from the request's arrival to its first event
	longestGap       time.Duration // longest time between two events
	legFirstEventAt  time.Time
	legFirstID       int64 // ID of the first event of the current leg
	legAfter         int64 // ID of the caller's newest event when the current leg began
	legErr           error // how the current leg ended; nil if its target ended it
	served           bool  // recorded as served
	attemptHistory   attemptHistory
	moves            int
}

// serveStream serves a request whose response is a stream of events. A failure
// before the first event is handled like that of a plain request.
func (f *Forwarder) serveStream(ctx context.Context, w *callerResponse, q *request) error {
	r := &streamSession{f: f, q: q, caller: &callerStream{out: w}}
	last, err := f.callerPosition(q)
	if err != nil {
		return err
	}
	r.caller.last = last
	if err := f.requireVersion(ctx, q); err != nil {
		return err
	}
	f.budget.recordRequest(q.service.Name, time.Now())
	resume := r.resumePoint()
	l := f.place(q, &r.attemptHistory)
	for {
		if l == nil {
			return r.failStream(ctx)
		}
		o, next := r.serveLeg(ctx, l, resume)
		if o == nil {
			return nil // the stream is complete
		}
		if next != nil {
			r.attemptHistory.recordStoppedRun()
			l, resume = next.lease, next.resume
			continue
		}
		if o.err != nil && errors.Is(o.err, errCallerGone) {
			panic(http.ErrAbortHandler)
		}
		if resume.isCopy() && o.provenNotRun() {
			go f.releaseCopy(context.Background(), resume.source, resume.handle) // nobody uses it any more
		}
		f.recordAttempt(q, &r.attemptHistory, o)
		if o.succeeded() {
			return f.writeResponse(w, o)
		}
		if o.largeResponse != nil {
			o.largeResponse.closeConn(l)
		}
		if !r.mayRestart(ctx, o) {
			return r.failStream(ctx)
		}
		resume = r.resumePoint()
		l = f.place(q, &r.attemptHistory)
	}
}

// resumePoint returns where a new run begins; nil if at the first event.
func (r *streamSession) resumePoint() *resumePoint {
	if r.caller.last == 0 {
		return nil
	}
	return &resumePoint{lastEvent: r.caller.last}
}

// mayRestart decides whether a new run is started after a failure. Once events
// have been sent to the caller, only a resumable stream may continue with a new
// run, and only if that can be told where to go on.
func (r *streamSession) mayRestart(ctx context.Context, o *outcome) bool {
	if r.caller.begun() && (!r.q.repeatable() || !r.caller.canContinue()) {
		return false
	}
	return r.f.mayRetry(ctx, r.q, &r.attemptHistory, o)
}

// failStream ends a request whose stream could not be completed. If events have
// been sent, it aborts the caller's connection, so that the stream does not look
// complete. Otherwise it sends a response or returns an error.
func (r *streamSession) failStream(ctx context.Context) error {
	if r.caller.begun() {
		r.f.config.Metrics.Counter("forward.stream_cut").Inc(1)
		r.f.config.Logger.Warn().Str("request", r.q.id).Int64("last_event", r.caller.last).Int("moves", r.moves).
			Err(r.attemptHistory.lastErr).Dur("after", time.Since(r.q.arrived)).Msg("stream cut")
		panic(http.ErrAbortHandler)
	}
	return r.f.writeFailure(ctx, r.caller.out, r.q, &r.attemptHistory)
}

// handoff describes where a moved run continues from a copy of its memory.
type handoff struct {
	lease  *lease
	resume *resumePoint
	copied int // events that the run had made when it was copied; 0 if not known
}

// isBehind reports whether the copy has fewer events than its target had sent before, so
// that it is of another run. Of a run that was moved to that target or taken up there, an
// engine may count only what it made itself.
func (h *handoff) isBehind(sent int64) bool { return h.copied > 0 && int64(h.copied) < sent }

// serveLeg serves the stream from one target. It returns a nil outcome if the
// stream is complete, a handoff if the run was moved, and otherwise how the leg
// failed.
func (r *streamSession) serveLeg(ctx context.Context, l *lease, resume *resumePoint) (*outcome, *handoff) {
	defer l.release()
	r.logPlaced(l, resume)
	r.legFirstID, r.legAfter, r.legErr = 0, r.caller.last, nil
	r.caller.startLeg(nil)
	attempt, settled := r.f.pending.begin(ctx, r.q)
	defer settled()
	resp, err := r.f.sendRequest(attempt, l, r.q, resume)
	if err != nil {
		return &outcome{lease: l, err: givenUpError(attempt, r.q, err)}, nil
	}
	defer func() { r.logLegEnded(l, resume, resp) }()
	if resp.StatusCode != http.StatusOK {
		o := r.f.readResponse(attempt, r.q, resp, l)
		if o.err == nil && r.caller.begun() && !o.refused {
			o.err = fmt.Errorf("%w: status %d", errNotContinued, o.status)
		}
		r.legErr = o.err
		return o, nil
	}
	defer resp.closeConn(l)
	if !r.f.isGenuine(resp.Response) {
		return &outcome{lease: l, err: errUnrelatedResponse}, nil
	}
	r.caller.startLeg(resp.Header)
	resp.companion = r.f.openCompanion(resp, l.endpoint)
	m := r.f.startMover(ctx, r, l, resp)
	err = givenUpError(attempt, r.q, r.relayEvents(l, resp.Body, settled))
	if err == nil {
		err = r.f.checkEnd(ctx, resp, l.endpoint)
	}
	next, err := r.endLeg(ctx, m, netconn.IsFramed(resp.Response), err)
	r.legErr = err
	if next != nil {
		return &outcome{lease: l, err: err, events: r.caller.legEvents, started: r.legStarted(time.Now())}, next
	}
	if err == nil {
		r.f.table.clearFailures(l.endpoint)
		r.recordServed()
		r.f.config.Metrics.Counter("forward.streams_whole").Inc(1)
		r.f.config.Logger.Info().Str("request", r.q.id).Str("target", l.endpoint.id).Int64("events", r.caller.last).Strs("parts", r.q.parts).
			Int("moves", r.moves).Dur("first", r.timeToFirstEvent).Dur("pause", r.longestGap).Dur("after", time.Since(r.q.arrived)).Msg("stream whole")
		return nil, nil
	}
	return &outcome{
		lease: l, status: http.StatusOK, err: err, events: r.caller.legEvents, started: r.legStarted(time.Now()), takesUp: !r.caller.begun() && r.caller.last > 0,
	}, nil
}

// endLeg ends the mover of a leg whose events ended with err. It returns where the stream
// goes on if the run was moved, and otherwise why the stream is not complete; nil if it is.
// Of a run that was asked to stop, only its target's statement that it had ended and the
// end of a framed response together prove that.
func (r *streamSession) endLeg(ctx context.Context, m *mover, framed bool, err error) (*handoff, error) {
	if errors.Is(err, errCallerGone) || (err == nil && !m.stopRequested()) {
		m.abandonMove()
		return nil, err
	}
	next, runEnded := m.awaitHandoff(ctx)
	switch {
	case next != nil && r.caller.canContinue() && !next.isBehind(r.caller.last-r.legAfter):
		next.resume.lastEvent = r.caller.last
		r.moves++
		return next, err
	case next != nil:
		r.f.config.Metrics.Counter("forward.copy_not_usable").Inc(1)
		m.abandonMove()
		runEnded = false
	}
	if err == nil && !(runEnded && framed) {
		err = errStopped
	}
	return nil, err
}

// logPlaced logs the chosen target with the load that the choice was based on.
func (r *streamSession) logPlaced(l *lease, resume *resumePoint) {
	total, age := r.f.table.loadAndAge(l.endpoint)
	line := r.f.config.Logger.Info().Str("request", r.q.id).Str("route", r.q.route.Name).Str("target", l.endpoint.id).Str("version", l.endpoint.version).
		Int("requests", total.Requests).Int("tokens", total.Tokens).Dur("announced", age)
	if resume != nil {
		line = line.Int64("last_event", resume.lastEvent).Str("copy", resume.copyFrom())
	}
	if first := r.q.header.Get(r.f.config.Headers.Resumes); first != "" {
		line = line.Str("resumes", first).Str("caller_has", r.q.header.Get(r.f.config.Headers.LastEventID))
	}
	line.Msg("placed")
}

// logLegEnded logs what a leg contributed to a stream that has several, or that its
// caller took up, and how it ended. A stream served by one target needs no such line.
func (r *streamSession) logLegEnded(l *lease, resume *resumePoint, resp *targetResponse) {
	named := r.q.header.Get(r.f.config.Headers.LastEventID)
	if resume == nil && named == "" && r.moves == 0 {
		return
	}
	r.f.config.Metrics.Counter("forward.legs_of_continued_streams").Inc(1)
	r.f.config.Logger.Info().Str("request", r.q.id).Str("target", l.endpoint.id).Int("status", resp.StatusCode).Bool("framed", netconn.IsFramed(resp.Response)).Str("caller_has", named).
		Int("events", r.caller.legEvents).Int64("first_event", r.legFirstID).Int64("last_event", r.caller.last).AnErr("end", r.legErr).Msg("leg ended")
}
