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

// Bounds of a plain request.
const (
	// maxWholeAnswer is how much of an answer is held back until it is
	// complete, so that a broken one can be replaced.
	maxWholeAnswer = 1 << 20
	// maxSends bounds how often one request is sent, refusals by targets
	// included.
	maxSends = 3
	// slowFactor times the latency objective is how long the first attempt of
	// a request that may repeat waits before another target is asked.
	slowFactor = 3
	// leastLeft is the time below which another attempt is not worth sending.
	leastLeft = 30 * time.Millisecond
)

// outcome is what one attempt came to.
type outcome struct {
	status  int
	header  http.Header
	body    []byte
	rest    *answer // an answer too large to hold: its body goes on
	lease   *lease
	refused bool  // the target says that nothing ran
	err     error // no whole answer; nothing ran if it is a notSentError
}

// notRun reports whether it is certain that nothing ran.
func (o *outcome) notRun() bool {
	var ns *notSentError
	return o.refused || errors.As(o.err, &ns)
}

// attempts keeps the score of one request over its attempts.
type attempts struct {
	sends    int
	runs     int
	exclude  []*endpoint
	unknown  bool // an attempt may have run without an answer
	lastFail error
	// whole is the newest whole answer of a target, a failure.
	whole *outcome
}

// servePlain serves a request whose answer is passed on whole.
func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, q *request) error {
	var a attempts
	f.budget.request(q.service.Name, time.Now())
	for {
		l := f.table.acquire(f.table.near(q, a.exclude), time.Now())
		if l == nil {
			return f.settle(ctx, w, q, &a)
		}
		o := f.attempt(ctx, l, q, &a)
		f.note(q, &a, o)
		if o.succeeded() {
			f.answered(q, &a, o)
			return f.pass(w, o)
		}
		if o.rest != nil {
			o.rest.drop(o.lease)
		}
		if !f.tryAgain(ctx, q, &a, o) {
			return f.settle(ctx, w, q, &a)
		}
	}
}

// answered notes a whole answer.
func (f *Forwarder) answered(q *request, a *attempts, o *outcome) {
	after := time.Since(q.arrived)
	f.config.Metrics.Counter("forward.answered").Inc(1)
	f.observed.Record(answerLatency, after)
	if a.sends > 1 || f.observed.sampled() {
		f.config.Logger.Info().Str("request", q.id).Str("route", q.route.Name).Str("target", o.lease.endpoint.id).
			Int("status", o.status).Int("sends", a.sends).Dur("after", after).Msg("answered")
	}
}

// succeeded reports whether the outcome is a whole answer other than a failure
// of the target.
func (o *outcome) succeeded() bool {
	return o.err == nil && !o.refused && o.status < http.StatusInternalServerError
}

// settle answers a request that no further target is asked for: with a
// target's own failure if there is one, else with an error.
func (f *Forwarder) settle(ctx context.Context, w http.ResponseWriter, q *request, a *attempts) error {
	if a.whole != nil {
		return f.pass(w, a.whole)
	}
	return f.exhausted(ctx, q, a)
}

// promises reports whether a status says that nothing ran and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// attempt sends the request to one endpoint and reads the whole answer.
func (f *Forwarder) attempt(ctx context.Context, l *lease, q *request, a *attempts) *outcome {
	defer l.release()
	if q.repeatable() && a.runs+1 < q.route.MaxAttempts && q.route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(slowFactor*q.route.Objective, q.left()/2))
		defer cancel()
	}
	ans, err := f.send(ctx, l, q, nil)
	if err != nil {
		return &outcome{lease: l, err: err}
	}
	o := &outcome{lease: l, status: ans.StatusCode, header: ans.Header, refused: ans.refused(&f.config.Headers)}
	o.body, err = io.ReadAll(io.LimitReader(ans.Body, maxWholeAnswer+1))
	switch {
	case err != nil:
		o.err = fmt.Errorf("read answer: %w", err)
	case !f.genuine(ans.Response):
		o.err = errForeign
	}
	if o.err != nil {
		ans.drop(l)
		return o
	}
	if len(o.body) > maxWholeAnswer {
		o.rest = ans
		return o
	}
	if !ans.stop() {
		l.drop(ans.conn) // the deadline has been set on the connection
	} else {
		l.keepIdle(ans.conn, ans.Response)
	}
	return o
}

// drop closes the answer's connection.
func (a *answer) drop(l *lease) {
	a.stop()
	l.drop(a.conn)
}

// note keeps the score and the log of an attempt.
func (f *Forwarder) note(q *request, a *attempts, o *outcome) {
	a.sends++
	e := o.lease.endpoint
	a.exclude = append(a.exclude, e)
	if o.succeeded() {
		f.table.succeeded(e)
		return
	}
	a.lastFail = o.err
	if !o.notRun() {
		a.runs++
		if o.err == nil && o.rest == nil && !promises(o.status) {
			a.whole = o
		} else {
			a.unknown = true
		}
	}
	if o.err != nil && !errors.Is(o.err, errLeaving) && !errors.Is(o.err, context.Canceled) {
		f.table.failed(e, time.Now())
	}
	f.config.Metrics.Counter("forward.attempt_failed").Inc(1)
	f.config.Logger.Info().Str("request", q.id).Str("target", e.id).Int("status", o.status).Bool("not_run", o.notRun()).
		Err(o.err).Dur("after", time.Since(q.arrived)).Msg("attempt failed")
}

// tryAgain decides whether another target is asked after an outcome.
func (f *Forwarder) tryAgain(ctx context.Context, q *request, a *attempts, o *outcome) bool {
	if ctx.Err() != nil || q.left() < leastLeft || a.sends >= maxSends {
		return false
	}
	var ns *notSentError
	if errors.As(o.err, &ns) {
		return true
	}
	if !o.refused && (!q.repeatable() || a.runs >= q.route.MaxAttempts) {
		return false
	}
	return f.budget.repeat(q.service.Name, f.table.entries(), time.Now())
}

// exhausted is the error of a request that no further target is asked for.
func (f *Forwarder) exhausted(ctx context.Context, q *request, a *attempts) error {
	switch {
	case !a.unknown && a.runs == 0:
		return resultcode.Newf(resultcode.NoTarget, "no target of %q took the request (%v)", q.service.Name, a.lastFail)
	case ctx.Err() != nil || errors.Is(a.lastFail, context.DeadlineExceeded):
		return resultcode.Newf(resultcode.OutcomeUnknown, "no answer in time").WithExecution(resultcode.Unknown)
	}
	return resultcode.Newf(resultcode.TargetFailed, "the target's answer was lost: %v", a.lastFail).WithExecution(resultcode.Unknown)
}

// pass sends a target's answer to the caller as it is.
func (f *Forwarder) pass(w http.ResponseWriter, o *outcome) error {
	copyHeaders(w.Header(), o.header)
	if o.rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		w.WriteHeader(o.status)
		_, _ = w.Write(o.body) // the caller may be gone; nothing more is owed to it
		return nil
	}
	defer o.rest.drop(o.lease)
	w.WriteHeader(o.status)
	_, err := w.Write(o.body)
	if err == nil {
		_, err = io.Copy(w, o.rest.Body)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // an answer that breaks off must not look complete
	}
	return nil
}
