package command

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/entry/latency"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Reasons why a relay, or one of its connections to the target, stops while the generation
// may continue at the target.
var (
	errCallerGone = errors.New("the caller disconnected")
	errSuperseded = errors.New("the caller resumed on another connection")
	errSilent     = errors.New("the connection is silent")
	errProtocol   = errors.New("the target's stream broke its protocol")
)

// outcome is how a relay ended.
type outcome int

const (
	completed  outcome = iota
	callerGone         // the caller disconnected; the generation may still run
	superseded         // another request took over the generation
	failed             // the relay failed; relayResult.err is the reason
)

type relayResult struct {
	outcome outcome
	err     *resultcode.Error // error of a failed relay
	// retryable is set if the request may be started again at another target: no
	// token was delivered, and another target may succeed.
	retryable bool
	// targetEnded is set if the target's process ended before the first token.
	targetEnded bool
}

// relay copies the tokens of one generation from its target to a sink and reconnects
// when the stream breaks. It runs in the goroutine of the caller's request.
type relay struct {
	engine           target.Engine
	id               string
	address          string
	body             []byte // request body for the target; nil when a generation is resumed
	held             *permit.HeldPermit
	seq              *stream.Sequencer
	decoder          *stream.Decoder
	sink             sink
	beforeDispatch   func() error // check right before the dispatch; if it fails, nothing is sent
	chargeLink       func(n int)  // charges bytes to the cross-region link; nil if the target is in this instance's region
	suspectIfNotSent func(error)  // marks a target to which nothing could be sent as suspect; may be nil
	onResponse       target.ResponseFunc
	counts           *counters
	// request is the caller's generation request and startedAt its arrival time. Both
	// are unset when a generation is resumed.
	request   *generation
	onServed  func() // called when the generation is complete
	startedAt time.Time
	latencies *latency.Streams

	lastToken  time.Time
	conn       *target.Stream
	dispatched bool // a connection to the target was opened
	sent       bool // the target may have begun to run the generation when its first connection broke
	// targetEnded is set if the target's process has ended before the first token.
	targetEnded bool
	lastErr     error // newest error of a connection to the target or of the sink
}

// run relays tokens until the stream is complete or cannot be continued, or ctx
// ends. The cause of ctx distinguishes a takeover from a disconnected caller.
func (r *relay) run(ctx context.Context) relayResult {
	in := r.connect(ctx)
	for {
		if stop, ok := r.stopResult(ctx); ok {
			return stop
		}
		if r.conn != nil {
			in = r.readInput()
			if stop, ok := r.stopResult(ctx); ok {
				return stop
			}
		}
		switch r.applyInput(in) {
		case stream.Complete:
			return r.completeResponse()
		case stream.Fail:
			return r.failureResult()
		case stream.Reconnect:
			r.counts.reconnects.Inc(1)
			r.closeConn()
			r.confirmPermit(ctx)
			if err := r.waitBeforeReconnect(ctx, r.seq.Delay()); err != nil {
				r.lastErr = err
				continue
			}
			in = r.connect(ctx)
		}
	}
}

// applyInput applies one input to the sequencer and writes what it delivers to the sink.
func (r *relay) applyInput(in inputEvent) stream.Action {
	now := time.Now()
	action := r.seq.Step(now, in.Input)
	switch action {
	case stream.Deliver:
		r.recordTokenTime(now)
		r.counts.tokens.Inc(1)
		r.afterSinkWrite(in, r.sink.token(in.Offset, in.data))
	case stream.DeliverFinish:
		r.afterSinkWrite(in, r.sink.finish(in.Offset, in.data))
	case stream.Reconnect, stream.Fail:
		if in.received {
			r.lastErr = errProtocol
		}
	}
	return action
}

// recordTokenTime records the arrival of a token for the permit's progress report and
// in the latency metrics.
func (r *relay) recordTokenTime(now time.Time) {
	if r.held != nil {
		r.held.RecordToken(now)
	}
	switch {
	case !r.lastToken.IsZero():
		r.latencies.RecordTokenGap(now.Sub(r.lastToken))
	case !r.startedAt.IsZero():
		r.latencies.RecordFirstToken(now.Sub(r.startedAt))
	}
	r.lastToken = now
}

// afterSinkWrite flushes the sink if no more input is buffered, charges the
// cross-region link and stores the sink's error.
func (r *relay) afterSinkWrite(in inputEvent, err error) {
	if err == nil && !r.conn.Buffered() {
		err = r.sink.flush()
	}
	if r.chargeLink != nil {
		r.chargeLink(len(in.data))
	}
	if err != nil {
		r.lastErr = err
	}
}

// inputEvent is a sequencer input with the data of its event.
type inputEvent struct {
	stream.Input
	data     []byte
	received bool // the input is an event, not the end of a connection
}

func (r *relay) readInput() inputEvent {
	event, err := r.conn.Read()
	if err != nil {
		return r.inputFromError(err)
	}
	if event.IsComment && string(event.Comment) == "preempted" && r.held != nil {
		r.held.RecordPreemption()
		r.counts.preemptions.Inc(1)
	}
	return inputEvent{Input: r.decoder.Classify(r.seq.Conn(), event), data: event.Data, received: true}
}

// inputFromError converts the error that ended a connection, or an attempt to open
// one, into a sequencer input and closes the connection.
func (r *relay) inputFromError(err error) inputEvent {
	r.lastErr = err
	r.noteLost(err)
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
		if r.suspectIfNotSent != nil {
			r.suspectIfNotSent(err)
		}
	case errors.As(err, &status) && r.isFinalStatus(status):
		kind = stream.UnknownGeneration
	}
	r.closeConn()
	return inputEvent{Input: stream.Input{Conn: r.seq.Conn(), Kind: kind}}
}

// isFinalStatus reports whether the target's error response to opening the stream
// rules out another attempt. After a dispatch, a conflict means that the generation
// already exists at the target and can be read. A read that failed with a server
// error is retried.
func (r *relay) isFinalStatus(status *target.StatusError) bool {
	if r.connDispatches() {
		return status.Status != http.StatusConflict
	}
	return status.Status < http.StatusInternalServerError
}

// connDispatches reports whether the current connection dispatches the generation. Any
// other connection reads a generation that was dispatched before.
func (r *relay) connDispatches() bool { return r.body != nil && r.seq.Conn() == 0 }

// connect opens connection r.seq.Conn(), which dispatches the generation or reads
// it from where the sequencer can check that it is the same run.
func (r *relay) connect(ctx context.Context) inputEvent {
	r.seq.Connected(time.Now())
	hooks := target.Hooks{OnIdle: r.onIdle, OnResponse: r.onResponse}
	var err error
	if r.connDispatches() {
		hooks.BeforeSend = r.beforeDispatch
		r.conn, err = r.engine.Start(ctx, r.address, r.id, r.body, hooks)
	} else {
		r.conn, err = r.engine.Resume(ctx, r.address, r.id, r.seq.ResumeOffset(), hooks)
	}
	if err != nil {
		r.conn = nil
		return r.inputFromError(err)
	}
	r.dispatched = true
	r.sink.accepted(r.id)
	return inputEvent{Input: stream.Input{Conn: r.seq.Conn(), Kind: stream.Activity}}
}

// onIdle runs at each tick of a silent connection. It sends heartbeats to the caller
// and returns errSilent once the connection has been silent for too long.
func (r *relay) onIdle() error {
	now := time.Now()
	if err := r.sink.onIdle(now); err != nil {
		return err
	}
	if r.seq.Silent(now) {
		return errSilent
	}
	return nil
}

// confirmPermit checks with the shard owner whether this instance still holds the permit. A
// target ends a stream when a newer reader connects. Without this check, reopening the
// stream could take it away from another instance where the caller has resumed.
func (r *relay) confirmPermit(ctx context.Context) {
	if r.held != nil && r.dispatched {
		r.held.Confirm(ctx)
	}
}

// waitBeforeReconnect waits for d and sends a heartbeat if one is due.
func (r *relay) waitBeforeReconnect(ctx context.Context, d time.Duration) error {
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		}
	}
	return r.sink.onIdle(time.Now())
}

func (r *relay) closeConn() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

// stopResult returns the result and true if the relay must stop because of a takeover, a
// disconnected caller or an error from the sink.
func (r *relay) stopResult(ctx context.Context) (relayResult, bool) {
	var coded *resultcode.Error
	switch {
	case context.Cause(ctx) == errSuperseded:
		return relayResult{outcome: superseded}, true
	case ctx.Err() != nil, errors.Is(r.lastErr, errCallerGone):
		return relayResult{outcome: callerGone}, true
	case errors.As(r.lastErr, &coded) && !isNotSentError(r.lastErr):
		r.closeConn()
		return relayResult{outcome: failed, err: coded}, true
	}
	return relayResult{}, false
}

func isNotSentError(err error) bool {
	var e *target.NotSentError
	return errors.As(err, &e)
}

func (r *relay) completeResponse() relayResult {
	r.closeConn()
	if r.request != nil {
		r.onServed()
	}
	err := r.sink.complete()
	var coded *resultcode.Error
	switch {
	case errors.As(err, &coded):
		return relayResult{outcome: failed, err: coded}
	case err != nil:
		return relayResult{outcome: callerGone}
	}
	return relayResult{outcome: completed}
}

// failureResult returns the result of a generation that cannot be continued. r.seq.Next()
// is the number of tokens that the caller has received, including those before a resume.
// Only the connection that dispatches a generation can show that it did not run.
func (r *relay) failureResult() relayResult {
	r.closeConn()
	delivered := r.seq.Next()
	res := relayResult{outcome: failed, retryable: delivered == 0 && r.body != nil, targetEnded: r.targetEnded}
	var notSent *target.NotSentError
	var status *target.StatusError
	switch {
	case r.body == nil && r.seq.Delivered() == 0 && errors.As(r.lastErr, &status) && status.Status == http.StatusNotFound:
		res.err = resultcode.Newf(resultcode.UnknownGeneration, "the target has no generation %s", r.id).WithExecution(resultcode.Unknown)
	case r.seq.Code() == resultcode.BadOffset,
		r.body == nil && r.seq.Delivered() == 0 && errors.As(r.lastErr, &status) && status.Status == http.StatusRequestedRangeNotSatisfiable:
		res.err = resultcode.Newf(resultcode.BadOffset, "offset %d is not in generation %s", delivered, r.id).WithExecution(resultcode.Unknown)
	case delivered > 0:
		res.err = resultcode.Newf(r.seq.Code(), "generation %s: %s", r.id, lossReason(r.lastErr)).WithExecution(resultcode.Ran)
	case errors.As(r.lastErr, &notSent):
		res.err, res.retryable = resultOfNotSent(notSent), res.retryable && otherTargetMayHelp(notSent)
		if !r.connDispatches() {
			res.err = res.err.WithExecution(resultcode.Unknown)
		}
	case errors.As(r.lastErr, &status) && status.NotRun && r.connDispatches():
		res.err = resultcode.Newf(resultcode.Overloaded, "the target has no free capacity").WithRetryAfter(targetRetryAfter)
	case errors.As(r.lastErr, &status) && r.connDispatches():
		res.err = resultcode.Newf(resultcode.TargetFailed, "%v: %s", status, status.Body).WithExecution(resultcode.Ran)
		res.retryable = status.Status >= http.StatusInternalServerError
	default:
		res.err = resultcode.Newf(resultcode.TargetFailed, "generation %s: %s", r.id, lossReason(r.lastErr)).WithExecution(resultcode.Unknown)
	}
	res.err.Delivered = delivered
	return res
}

// lossReason describes the error that ended a generation. Errors of a malformed response
// quote it; none of its bytes may reach a caller whose stream has begun.
func lossReason(err error) string {
	var netErr net.Error
	var status *target.StatusError
	var notSent *target.NotSentError
	switch {
	case errors.As(err, &netErr), errors.As(err, &status), errors.As(err, &notSent):
		return err.Error()
	}
	for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, stream.ErrTooLong, errSilent, errProtocol} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "the target's response is malformed"
}

// otherTargetMayHelp reports whether another target may accept a request that was not sent,
// because the refusal concerned the target, not the request or this instance.
func otherTargetMayHelp(err error) bool {
	var coded *resultcode.Error
	return !errors.As(err, &coded) || coded.Code == resultcode.NoTarget
}

// resultOfNotSent returns the error of the check before the dispatch if that check refused
// the request, and TargetUnreachable otherwise.
func resultOfNotSent(err *target.NotSentError) *resultcode.Error {
	var coded *resultcode.Error
	if errors.As(err.Err, &coded) {
		return coded
	}
	return resultcode.Newf(resultcode.TargetUnreachable, "%v", err).WithRetryAfter(targetRetryAfter)
}
