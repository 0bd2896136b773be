package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Limits for a plain request.
const (
	// maxBufferedResponse is how many bytes of a response are buffered until it is
	// complete, so that a truncated one can be replaced by another attempt.
	maxBufferedResponse = 1 << 20
	// maxSends bounds the attempts of one request, including those that targets
	// refuse.
	maxSends = 3
	// attemptTimeoutFactor times the route's latency objective is how long an
	// attempt of a repeatable request may take while a further run is allowed.
	attemptTimeoutFactor = 3
	// minTimeLeft is the time left below which no further attempt is made.
	minTimeLeft = 30 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome struct {
	status        int
	header        http.Header
	body          []byte
	largeResponse *targetResponse // set if the response exceeds maxBufferedResponse: the rest of its body is unread
	lease         *lease
	events        int   // events that the target had sent
	started       bool  // the target had been answering for longer than beginning
	refused       bool  // the target stated that no part of the request ran
	takesUp       bool  // nothing was sent to a caller that takes up a stream: its position may be wrong, not the target
	err           error // set if there is no complete response; if it is a notSentError, no part of the request ran
}

// provenNotRun reports whether it is certain that no part of the request ran.
func (o *outcome) provenNotRun() bool {
	var ns *notSentError
	return o.refused || errors.As(o.err, &ns)
}

// attemptHistory accumulates the outcomes of one request's attempts. The field
// sends counts all attempts, and runs counts those that ran or may have run.
type attemptHistory struct {
	sends          int
	runs           int
	exclude        []*endpoint
	outcomeUnknown bool // an attempt may have run, but has no complete response
	lastErr        error
	// failedResponse is the newest complete response with a server error.
	failedResponse *outcome
}

// recordStoppedRun records that the request ran at a target that it was moved off.
func (a *attemptHistory) recordStoppedRun() {
	a.runs++
	a.outcomeUnknown = true
}

// servePlain serves a request whose response is not a stream of events.
func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, q *request) error {
	var a attemptHistory
	f.budget.recordRequest(q.service.Name, time.Now())
	for {
		l := f.place(q, &a)
		if l == nil {
			return f.writeFailure(ctx, w, q, &a)
		}
		o := f.attemptPlain(ctx, l, q, &a)
		f.recordAttempt(q, &a, o)
		if o.succeeded() {
			f.recordResponse(q, &a, o)
			return f.writeResponse(w, o)
		}
		if o.largeResponse != nil {
			o.largeResponse.closeConn(o.lease)
		}
		if !f.mayRetry(ctx, q, &a, o) {
			return f.writeFailure(ctx, w, q, &a)
		}
	}
}

// recordResponse records the latency of a complete response and may log it.
func (f *Forwarder) recordResponse(q *request, a *attemptHistory, o *outcome) {
	after := time.Since(q.arrived)
	f.config.Metrics.Counter("forward.answered").Inc(1)
	f.work.add(0, len(o.body), time.Now())
	f.latencies.Record(responseLatency, after)
	if a.sends > 1 || f.latencies.sampleForLog() {
		f.config.Logger.Info().Str("request", q.id).Str("route", q.route.Name).Str("target", o.lease.endpoint.id).
			Int("status", o.status).Int("sends", a.sends).Dur("after", after).Msg("answered")
	}
}

// succeeded reports whether the outcome is a response other than a refusal, a server
// error, or a status that promises what the target did not state.
func (o *outcome) succeeded() bool {
	return o.err == nil && !o.refused && o.status < http.StatusInternalServerError && !statusMeansNotRun(o.status)
}

// writeFailure is called when no further attempt is made. It sends the failed
// response of a target if there is one, and otherwise returns an error.
func (f *Forwarder) writeFailure(ctx context.Context, w http.ResponseWriter, q *request, a *attemptHistory) error {
	if a.failedResponse != nil {
		return f.writeResponse(w, a.failedResponse)
	}
	return f.failureError(ctx, q, a)
}

// statusMeansNotRun reports whether an HTTP status states that the request did
// not run and will not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// attemptPlain sends the request to the lease's endpoint, reads the response up
// to maxBufferedResponse, and releases the lease.
func (f *Forwarder) attemptPlain(ctx context.Context, l *lease, q *request, a *attemptHistory) *outcome {
	defer l.release()
	attempt := ctx
	if q.repeatable() && a.runs+1 < q.route.MaxAttempts && q.route.Objective > 0 {
		var cancel context.CancelFunc
		attempt, cancel = context.WithTimeout(ctx, min(attemptTimeoutFactor*q.route.Objective, q.timeLeft()/2))
		defer cancel()
	}
	attempt, settled := f.pending.begin(attempt, q)
	defer settled()
	resp, err := f.sendRequest(attempt, l, q, nil)
	if err != nil {
		return &outcome{lease: l, err: givenUpError(attempt, q, err)}
	}
	o := f.readResponse(attempt, q, resp, l)
	if o.largeResponse != nil && !resp.attachContext(ctx) {
		o.err = context.Cause(attempt)
	}
	return o
}

// readResponse reads a response to its end, or up to maxBufferedResponse, and keeps its
// connection for another request if it can.
func (f *Forwarder) readResponse(ctx context.Context, q *request, resp *targetResponse, l *lease) *outcome {
	o := &outcome{lease: l, status: resp.StatusCode, header: resp.Header, refused: resp.statesNotRun(&f.config.Headers)}
	resp.companion = f.openCompanion(resp, l.endpoint)
	var err error
	o.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	switch {
	case err != nil:
		o.err = fmt.Errorf("read answer: %w", err)
	case !f.isGenuine(resp.Response):
		o.err = errUnrelatedResponse
	}
	if o.err != nil {
		o.err = givenUpError(ctx, q, o.err)
		resp.closeConn(l)
		return o
	}
	if len(o.body) > maxBufferedResponse {
		o.largeResponse = resp
		return o
	}
	if o.err = f.checkEnd(ctx, resp, l.endpoint); o.err != nil {
		resp.closeConn(l)
		return o
	}
	resp.companion.close()
	if !resp.detachContext() {
		l.dropConn(resp.conn) // the request's context ended and set a deadline on the connection, so it cannot be reused
	} else {
		l.putIdle(resp.conn, resp.Response)
	}
	return o
}

// closeConn closes the response's connection, so that it is not reused.
func (a *targetResponse) closeConn(l *lease) {
	a.companion.close()
	a.detachContext()
	l.dropConn(a.conn)
}

// recordAttempt adds an outcome to the history and to the endpoint's failures,
// and logs it if it failed.
func (f *Forwarder) recordAttempt(q *request, a *attemptHistory, o *outcome) {
	a.sends++
	e := o.lease.endpoint
	a.exclude = append(a.exclude, e)
	if o.succeeded() {
		f.table.clearFailures(e)
		if o.status < http.StatusMultipleChoices {
			f.recordServed(q)
		}
		return
	}
	f.checkCrash(q, o)
	a.lastErr = o.err
	if !o.provenNotRun() {
		a.runs++
		if o.err == nil && o.largeResponse == nil && !statusMeansNotRun(o.status) {
			a.failedResponse = o
		} else {
			a.outcomeUnknown = true
		}
	}
	if o.isTargetFailure() {
		f.table.markFailed(e, time.Now())
	}
	f.config.Metrics.Counter("forward.attempt_failed").Inc(1)
	f.config.Logger.Info().Str("request", q.id).Str("target", e.id).Int("status", o.status).Bool("not_run", o.provenNotRun()).
		Strs("parts", q.parts).Str("identity", q.identity).Int("events", o.events).Err(o.err).Dur("after", time.Since(q.arrived)).Msg("attempt failed")
}

// isTargetFailure reports whether the attempt failed in a way that speaks against its target.
func (o *outcome) isTargetFailure() bool {
	if o.takesUp && (errors.Is(o.err, errNoEvent) || errors.Is(o.err, errOutOfOrder)) {
		return false
	}
	return o.err != nil && !errors.Is(o.err, errNotUsable) && !errors.Is(o.err, context.Canceled)
}

// mayRetry decides whether another target is tried after a failed attempt. An
// attempt that was not sent does not count against the retry budget.
func (f *Forwarder) mayRetry(ctx context.Context, q *request, a *attemptHistory, o *outcome) bool {
	if ctx.Err() != nil || f.stop.isEnding() || q.timeLeft() < minTimeLeft || a.sends >= maxSends {
		return false
	}
	if a.runs > 0 && (!q.repeatable() || a.runs >= q.route.MaxAttempts) {
		return false
	}
	var ns *notSentError
	if errors.As(o.err, &ns) {
		return true
	}
	return f.budget.allowRetry(q.service.Name, f.table.instanceCount(), time.Now())
}

// failureError returns the error for a request without a response when no
// further attempt is made.
func (f *Forwarder) failureError(ctx context.Context, q *request, a *attemptHistory) error {
	var refusal *resultcode.Error
	switch {
	case !a.outcomeUnknown && a.runs == 0 && errors.As(a.lastErr, &refusal):
		return refusal
	case !a.outcomeUnknown && a.runs == 0:
		return resultcode.Newf(resultcode.NoTarget, "no target of %q accepted the request (%v)", q.service.Name, a.lastErr)
	case f.stop.isEnding():
		return resultcode.Newf(resultcode.OutcomeUnknown, "the instance stops before the target has answered").WithExecution(resultcode.Unknown)
	case ctx.Err() != nil || errors.Is(a.lastErr, context.DeadlineExceeded):
		return resultcode.Newf(resultcode.OutcomeUnknown, "no response in time").WithExecution(resultcode.Unknown)
	}
	return resultcode.Newf(resultcode.TargetFailed, "the target's response was lost: %v", a.lastErr).WithExecution(resultcode.Unknown)
}

// writeResponse sends a target's response to the caller unchanged.
func (f *Forwarder) writeResponse(w http.ResponseWriter, o *outcome) error {
	copyHeaders(w.Header(), o.header)
	if o.largeResponse == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		w.WriteHeader(o.status)
		_, _ = w.Write(o.body) // writing fails only if the caller has disconnected
		return nil
	}
	defer o.largeResponse.closeConn(o.lease)
	w.WriteHeader(o.status)
	_, err := w.Write(o.body)
	if err == nil {
		_, err = io.Copy(w, o.largeResponse.Body)
	}
	if err == nil {
		err = f.checkEnd(context.Background(), o.largeResponse, o.lease.endpoint)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	return nil
}
