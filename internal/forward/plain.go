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
	// maxBufferedAnswer is how many bytes of an answer are buffered until it is
	// complete, so that a truncated one can be replaced by another attempt.
	maxBufferedAnswer = 1 << 20
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
	status      int
	header      http.Header
	body        []byte
	largeAnswer *answer // set if the answer exceeds maxBufferedAnswer: the rest of its body is unread
	lease       *lease
	refused     bool  // the target stated that nothing ran
	err         error // no complete answer; nothing ran if it is a notSentError
}

// provenNotRun reports whether it is certain that nothing ran.
func (o *outcome) provenNotRun() bool {
	var ns *notSentError
	return o.refused || errors.As(o.err, &ns)
}

// attemptHistory accumulates the outcomes of one request's attempts. sends counts
// all attempts, runs those that ran or may have run.
type attemptHistory struct {
	sends          int
	runs           int
	exclude        []*endpoint
	outcomeUnknown bool // an attempt may have run, but has no complete answer
	lastErr        error
	// failedAnswer is the newest complete answer with a server error.
	failedAnswer *outcome
}

// servePlain serves a request whose answer is not a stream of events.
func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, q *request) error {
	var a attemptHistory
	f.budget.recordRequest(q.service.Name, time.Now())
	for {
		l := f.table.acquire(f.table.demandFor(q, a.exclude), time.Now())
		if l == nil {
			return f.writeFailure(ctx, w, q, &a)
		}
		o := f.attempt(ctx, l, q, &a)
		f.recordAttempt(q, &a, o)
		if o.succeeded() {
			f.recordAnswer(q, &a, o)
			return f.writeAnswer(w, o)
		}
		if o.largeAnswer != nil {
			o.largeAnswer.drop(o.lease)
		}
		if !f.mayRetry(ctx, q, &a, o) {
			return f.writeFailure(ctx, w, q, &a)
		}
	}
}

// recordAnswer records the latency of a complete answer and may log it.
func (f *Forwarder) recordAnswer(q *request, a *attemptHistory, o *outcome) {
	after := time.Since(q.arrived)
	f.config.Metrics.Counter("forward.answered").Inc(1)
	f.latencies.Record(answerLatency, after)
	if a.sends > 1 || f.latencies.sampled() {
		f.config.Logger.Info().Str("request", q.id).Str("route", q.route.Name).Str("target", o.lease.endpoint.id).
			Int("status", o.status).Int("sends", a.sends).Dur("after", after).Msg("answered")
	}
}

// succeeded reports whether the outcome is an answer other than a refusal or a
// server error.
func (o *outcome) succeeded() bool {
	return o.err == nil && !o.refused && o.status < http.StatusInternalServerError
}

// writeFailure is called when no further attempt is made. It sends the failed
// answer of a target if there is one, and otherwise returns an error.
func (f *Forwarder) writeFailure(ctx context.Context, w http.ResponseWriter, q *request, a *attemptHistory) error {
	if a.failedAnswer != nil {
		return f.writeAnswer(w, a.failedAnswer)
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

// attempt sends the request to the lease's endpoint, reads the answer up to
// maxBufferedAnswer, and releases the lease.
func (f *Forwarder) attempt(ctx context.Context, l *lease, q *request, a *attemptHistory) *outcome {
	defer l.release()
	if q.repeatable() && a.runs+1 < q.route.MaxAttempts && q.route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(attemptTimeoutFactor*q.route.Objective, q.timeLeft()/2))
		defer cancel()
	}
	ans, err := f.send(ctx, l, q, nil)
	if err != nil {
		return &outcome{lease: l, err: err}
	}
	o := &outcome{lease: l, status: ans.StatusCode, header: ans.Header, refused: ans.refused(&f.config.Headers)}
	o.body, err = io.ReadAll(io.LimitReader(ans.Body, maxBufferedAnswer+1))
	switch {
	case err != nil:
		o.err = fmt.Errorf("read answer: %w", err)
	case !f.isGenuine(ans.Response):
		o.err = errUnrelatedAnswer
	}
	if o.err != nil {
		ans.drop(l)
		return o
	}
	if len(o.body) > maxBufferedAnswer {
		o.largeAnswer = ans
		return o
	}
	if !ans.stop() {
		l.drop(ans.conn) // the context ended and set a deadline on the connection
	} else {
		l.putIdle(ans.conn, ans.Response)
	}
	return o
}

// drop closes the answer's connection, so that it is not reused.
func (a *answer) drop(l *lease) {
	a.stop()
	l.drop(a.conn)
}

// recordAttempt adds an outcome to the history and to the endpoint's failures,
// and logs it if it failed.
func (f *Forwarder) recordAttempt(q *request, a *attemptHistory, o *outcome) {
	a.sends++
	e := o.lease.endpoint
	a.exclude = append(a.exclude, e)
	if o.succeeded() {
		f.table.succeeded(e)
		return
	}
	a.lastErr = o.err
	if !o.provenNotRun() {
		a.runs++
		if o.err == nil && o.largeAnswer == nil && !statusMeansNotRun(o.status) {
			a.failedAnswer = o
		} else {
			a.outcomeUnknown = true
		}
	}
	if o.err != nil && !errors.Is(o.err, errNotUsable) && !errors.Is(o.err, context.Canceled) {
		f.table.failed(e, time.Now())
	}
	f.config.Metrics.Counter("forward.attempt_failed").Inc(1)
	f.config.Logger.Info().Str("request", q.id).Str("target", e.id).Int("status", o.status).Bool("not_run", o.provenNotRun()).
		Err(o.err).Dur("after", time.Since(q.arrived)).Msg("attempt failed")
}

// mayRetry decides whether another target is tried after a failed attempt. An
// attempt that was not sent doesn't count against the retry budget.
func (f *Forwarder) mayRetry(ctx context.Context, q *request, a *attemptHistory, o *outcome) bool {
	if ctx.Err() != nil || q.timeLeft() < minTimeLeft || a.sends >= maxSends {
		return false
	}
	var ns *notSentError
	if errors.As(o.err, &ns) {
		return true
	}
	if !o.refused && (!q.repeatable() || a.runs >= q.route.MaxAttempts) {
		return false
	}
	return f.budget.allowRetry(q.service.Name, f.table.instanceCount(), time.Now())
}

// failureError returns the error for a request without an answer when no further
// attempt is made.
func (f *Forwarder) failureError(ctx context.Context, q *request, a *attemptHistory) error {
	switch {
	case !a.outcomeUnknown && a.runs == 0:
		return resultcode.Newf(resultcode.NoTarget, "no target of %q accepted the request (%v)", q.service.Name, a.lastErr)
	case ctx.Err() != nil || errors.Is(a.lastErr, context.DeadlineExceeded):
		return resultcode.Newf(resultcode.OutcomeUnknown, "no answer in time").WithExecution(resultcode.Unknown)
	}
	return resultcode.Newf(resultcode.TargetFailed, "the target's answer was lost: %v", a.lastErr).WithExecution(resultcode.Unknown)
}

// writeAnswer sends a target's answer to the caller unchanged.
func (f *Forwarder) writeAnswer(w http.ResponseWriter, o *outcome) error {
	copyHeaders(w.Header(), o.header)
	if o.largeAnswer == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		w.WriteHeader(o.status)
		_, _ = w.Write(o.body) // fails only if the caller has disconnected
		return nil
	}
	defer o.largeAnswer.drop(o.lease)
	w.WriteHeader(o.status)
	_, err := w.Write(o.body)
	if err == nil {
		_, err = io.Copy(w, o.largeAnswer.Body)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	}
	return nil
}
