package command

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/entry/latency"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Reasons for which a relay stops although the generation goes on.
var (
	errCallerGone = errors.New("the caller is gone")
	errSuperseded = errors.New("the caller resumed on another connection")
	errSilent     = errors.New("the connection is silent")
)

// ending is how a relay ended.
type ending int

const (
	completed  ending = iota
	callerGone        // nobody reads; the generation may still run
	superseded        // another request took the generation over
	failed            // see result.err
)

type result struct {
	ending ending
	err    *resultcode.Error // of a failed relay
	// restart: the request may be started again elsewhere, since no token was
	// delivered and another target may do better.
	restart bool
}

// relay passes the tokens of one generation from its target to a sink. It runs
// in the goroutine of the caller's request.
type relay struct {
	engine  target.Engine
	id      string
	address string
	body    []byte // of the first dispatch; nil when the generation is resumed
	held    *permit.Held
	seq     *stream.Sequencer
	decoder *stream.Decoder
	sink    sink
	before  func() error // check right before the first dispatch
	charge  func(n int)  // counts bytes that crossed regions; nil within the region
	suspect func(error)  // notes a target that could not be connected to; may be nil
	counts  *counters
	// request is the caller's request, and began when it came; nil and zero
	// when the generation is resumed.
	request   *generation
	began     time.Time
	latencies *latency.Streams

	lastToken  time.Time
	conn       *target.Stream
	dispatched bool  // a connection was up
	err        error // what the newest connection ended with
}

// run drives the relay until the stream is complete, cannot be continued, or
// ctx ends; its cause tells why.
func (r *relay) run(ctx context.Context) result {
	in := r.connect(ctx)
	for {
		if stop, ok := r.stopped(ctx); ok {
			return stop
		}
		if r.conn != nil {
			in = r.read()
			if stop, ok := r.stopped(ctx); ok {
				return stop
			}
		}
		switch r.step(in) {
		case stream.Complete:
			return r.complete()
		case stream.Fail:
			return r.failure()
		case stream.Reconnect:
			r.counts.reconnects.Inc(1)
			r.drop()
			r.confirm(ctx)
			if err := r.pause(ctx, r.seq.Delay()); err != nil {
				r.err = err
				continue
			}
			in = r.connect(ctx)
		}
	}
}

// step applies one input, with the sink's effects.
func (r *relay) step(in pending) stream.Action {
	now := time.Now()
	action := r.seq.Step(now, in.Input)
	switch action {
	case stream.Deliver:
		r.measure(now)
		r.counts.tokens.Inc(1)
		r.note(in, r.sink.token(in.Offset, in.data))
	case stream.DeliverFinish:
		r.note(in, r.sink.finish(in.Offset, in.data))
	}
	return action
}

// measure notes the time of a token.
func (r *relay) measure(now time.Time) {
	if r.held != nil {
		r.held.Token(now)
	}
	switch {
	case !r.lastToken.IsZero():
		r.latencies.Gap(now.Sub(r.lastToken))
	case !r.began.IsZero():
		r.latencies.First(now.Sub(r.began))
	}
	r.lastToken = now
}

// note keeps a sink's error, flushes when no more input waits, and charges the
// link between regions.
func (r *relay) note(in pending, err error) {
	if err == nil && !r.conn.Buffered() {
		err = r.sink.flush()
	}
	if r.charge != nil {
		r.charge(len(in.data))
	}
	if err != nil {
		r.err = err
	}
}

// pending is an input with the data of its event.
type pending struct {
	stream.Input
	data []byte
}

func (r *relay) read() pending {
	event, err := r.conn.Read()
	if err != nil {
		return r.ended(err)
	}
	if event.IsComment && string(event.Comment) == "preempted" && r.held != nil {
		r.held.Preempted()
		r.counts.preemptions.Inc(1)
	}
	return pending{Input: r.decoder.Input(r.seq.Conn(), event), data: event.Data}
}

// ended turns the end of a connection, or of the attempt to open one, into an
// input.
func (r *relay) ended(err error) pending {
	r.err = err
	kind := stream.Broken
	var notSent *target.NotSentError
	var status *target.StatusError
	switch {
	case errors.Is(err, errSilent):
		kind = stream.Tick
	case errors.Is(err, stream.ErrTooLong):
		kind = stream.Malformed
	case errors.As(err, &notSent):
		kind = stream.Refused
		if r.suspect != nil {
			r.suspect(err)
		}
	case errors.As(err, &status) && r.final(status):
		kind = stream.Unknown
	}
	r.drop()
	return pending{Input: stream.Input{Conn: r.seq.Conn(), Kind: kind}}
}

// final reports whether an answer to an attempt to open the stream ends it. A
// conflict means that this generation is already there and can be read; a
// failed read is tried again.
func (r *relay) final(status *target.StatusError) bool {
	if r.dispatching() {
		return status.Status != http.StatusConflict
	}
	return status.Status < http.StatusInternalServerError
}

// dispatching reports whether connection 0 is the dispatch of the generation,
// not a read of it.
func (r *relay) dispatching() bool { return r.body != nil && r.seq.Conn() == 0 }

// connect opens connection r.seq.Conn(): the first dispatch of the generation,
// or a read of it from the next offset.
func (r *relay) connect(ctx context.Context) pending {
	r.seq.Connected(time.Now())
	hooks := target.Hooks{Idle: r.idle}
	var err error
	if r.dispatching() {
		hooks.Before = r.before
		r.conn, err = r.engine.Start(ctx, r.address, r.id, r.body, hooks)
	} else {
		r.conn, err = r.engine.Resume(ctx, r.address, r.id, r.seq.Next(), hooks)
	}
	if err != nil {
		r.conn = nil
		return r.ended(err)
	}
	r.dispatched = true
	r.sink.accepted(r.id)
	return pending{Input: stream.Input{Conn: r.seq.Conn(), Kind: stream.Activity}}
}

// idle runs at each tick of a silent connection.
func (r *relay) idle() error {
	now := time.Now()
	if err := r.sink.idle(now); err != nil {
		return err
	}
	if r.seq.Silent(now) {
		return errSilent
	}
	return nil
}

// confirm asks whether the generation is still this instance's to read. The
// target ends a stream when a newer reader comes: opening it again would take
// the stream from the instance at which the caller resumed.
func (r *relay) confirm(ctx context.Context) {
	if r.held != nil && r.dispatched {
		r.held.Confirm(ctx)
	}
}

func (r *relay) pause(ctx context.Context, d time.Duration) error {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		}
	}
	return r.sink.idle(time.Now())
}

func (r *relay) drop() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// stopped reports whether the caller's side ended the relay.
func (r *relay) stopped(ctx context.Context) (result, bool) {
	var coded *resultcode.Error
	switch {
	case context.Cause(ctx) == errSuperseded:
		return result{ending: superseded}, true
	case ctx.Err() != nil, errors.Is(r.err, errCallerGone):
		return result{ending: callerGone}, true
	case errors.As(r.err, &coded) && !isNotSent(r.err):
		r.drop()
		return result{ending: failed, err: coded}, true
	}
	return result{}, false
}

func isNotSent(err error) bool {
	var e *target.NotSentError
	return errors.As(err, &e)
}

func (r *relay) complete() result {
	r.drop()
	if r.sink.complete() != nil {
		return result{ending: callerGone}
	}
	return result{ending: completed}
}

// failure builds the error of a generation that cannot be continued. Next is
// the count of tokens that the caller has, including those before a resume.
func (r *relay) failure() result {
	r.drop()
	delivered := r.seq.Next()
	res := result{ending: failed, restart: delivered == 0 && r.body != nil}
	var notSent *target.NotSentError
	var status *target.StatusError
	switch {
	case r.body == nil && r.seq.Delivered() == 0 && errors.As(r.err, &status) && status.Status == http.StatusNotFound:
		res.err = resultcode.Newf(resultcode.UnknownGeneration, "the target does not know generation %s", r.id).WithExecution(resultcode.Unknown)
	case r.body == nil && r.seq.Delivered() == 0 && errors.As(r.err, &status) && status.Status == http.StatusRequestedRangeNotSatisfiable:
		res.err = resultcode.Newf(resultcode.BadOffset, "offset %d is not in generation %s", delivered, r.id).WithExecution(resultcode.Unknown)
	case delivered > 0:
		res.err = resultcode.Newf(r.seq.Code(), "generation %s: %v", r.id, r.err).WithExecution(resultcode.Ran)
	case errors.As(r.err, &notSent):
		res.err, res.restart = notSentError(notSent), res.restart && elsewhereHelps(notSent)
	case errors.As(r.err, &status) && status.NotRun:
		res.err = resultcode.Newf(resultcode.Overloaded, "the target is full").WithRetryAfter(retryFull)
	case errors.As(r.err, &status) && r.dispatching():
		res.err = resultcode.Newf(resultcode.TargetFailed, "%v", status).WithExecution(resultcode.Ran)
		res.restart = status.Status >= http.StatusInternalServerError
	default:
		res.err = resultcode.Newf(resultcode.TargetFailed, "generation %s: %v", r.id, r.err).WithExecution(resultcode.Unknown)
	}
	res.err.Delivered = delivered
	return res
}

// elsewhereHelps reports whether another target may take what was not sent:
// the refusal was about the target, not about the request or this instance.
func elsewhereHelps(err error) bool {
	var coded *resultcode.Error
	return !errors.As(err, &coded) || coded.Code == resultcode.NoTarget
}

// notSentError gives the refusal of the check before the dispatch, or says that
// the target could not be reached.
func notSentError(err *target.NotSentError) *resultcode.Error {
	var coded *resultcode.Error
	if errors.As(err.Err, &coded) {
		return coded
	}
	return resultcode.Newf(resultcode.TargetUnreachable, "%v", err).WithRetryAfter(retryFull)
}
