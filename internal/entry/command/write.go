package command

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Fault points: the steps of a protected write at which tests inject failures. The
// order of the steps makes a crash at any of them safe: the intent is committed
// before the first byte is sent, and nothing is sent if an intent already exists.
const (
	PointBeforeBegin     faultpoint.Point = "write.before_begin" // the write's intent is not yet committed
	PointAfterBegin      faultpoint.Point = "write.after_begin"  // the intent is committed, but nothing was sent
	PointBeforeSend      faultpoint.Point = "write.before_send"  // the connection is open, but nothing was sent
	PointAfterSend       faultpoint.Point = "write.after_send"   // the request may have been sent, so the call may have run
	PointBeforeEnd       faultpoint.Point = "write.before_end"   // the target's response was received, but is not yet stored
	PointAfterEnd        faultpoint.Point = "write.after_end"    // the target's response is stored
	PointBeforeAbort     faultpoint.Point = "write.before_abort" // nothing was sent, and the abort is not yet committed
	maxStoredAnswerBytes                  = 64 << 10
	controlRetryDelay                     = 50 * time.Millisecond
	unknownRetryAfter                     = 500 * time.Millisecond
)

// serveProtectedWrite serves a call to a protected path, which runs at most once per
// idempotency key. A repeated call receives the stored answer.
func (s *Service) serveProtectedWrite(ctx context.Context, w http.ResponseWriter, call *plainCall) error {
	if call.targetRequest.IdempotencyKey == "" {
		return resultcode.Newf(resultcode.KeyRequired, "a call to a protected path requires the header %s", idempotencyKeyHeader)
	}
	if !s.Source.Fresh() {
		return noFreshLeaseError()
	}
	s.counts.writes.Inc(1)
	attempt := stream.RandomID()
	begun, err := s.beginWrite(ctx, call, attempt)
	if err != nil {
		return err
	}
	switch begun.GetOutcome() {
	case api.WriteOutcome_WRITE_OUTCOME_NEW:
	case api.WriteOutcome_WRITE_OUTCOME_DONE:
		s.counts.replayed.Inc(1)
		w.Header().Set(replayedHeader, "true")
		stored := begun.GetAnswer()
		writeResponse(w, &target.Response{Status: int(stored.GetStatus()), ContentType: stored.GetContentType(), Body: stored.GetBody()})
		return nil
	case api.WriteOutcome_WRITE_OUTCOME_PENDING:
		s.counts.unknownOutcomes.Inc(1)
		return outcomeUnknownError("another attempt with this idempotency key was started and has no stored answer")
	case api.WriteOutcome_WRITE_OUTCOME_MISMATCH:
		return resultcode.Newf(resultcode.KeyReused, "the idempotency key was used with another request")
	default:
		return outcomeUnknownError("the control group returned no outcome")
	}
	response, err := s.sendWrite(ctx, call, attempt)
	if err != nil {
		return err
	}
	writeResponse(w, response)
	return nil
}

func noFreshLeaseError() error {
	return resultcode.Newf(resultcode.NoFreshLease, "no fresh state from the control group").WithRetryAfter(time.Second)
}

func outcomeUnknownError(message string) *resultcode.Error {
	return resultcode.Newf(resultcode.OutcomeUnknown, "%s", message).WithExecution(resultcode.Unknown).WithRetryAfter(unknownRetryAfter)
}

// beginWrite commits the intent of a write at the control group. The attempt id makes
// retries idempotent. If all calls fail but one of them may have committed the intent,
// beginWrite first aborts the write and then reports it as "not run".
func (s *Service) beginWrite(ctx context.Context, call *plainCall, attempt string) (*api.BeginWriteResponse, error) {
	if err := faultpoint.Hit(PointBeforeBegin); err != nil {
		return nil, resultcode.Newf(resultcode.Internal, "%v", err)
	}
	request := &api.BeginWriteRequest{
		Team: call.identity.TeamName, Account: call.identity.AccountName,
		IdempotencyKey: call.targetRequest.IdempotencyKey, BodyHash: requestHash(call.targetRequest), Attempt: attempt,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timing.ControlTimeout)
	defer cancel()
	mayBeCommitted := false
	for {
		request.SessionId = s.Source.SessionID()
		response, err := s.Control.BeginWrite(ctx, request)
		if err == nil {
			return response, nil
		}
		e := controlError(err)
		mayBeCommitted = mayBeCommitted || e.Execution != resultcode.NotRun
		if waitForControlRetry(ctx, e) {
			continue
		}
		refusal := e
		if e.Code != resultcode.Overloaded {
			refusal = resultcode.Newf(resultcode.ControlUnavailable, "%v", e).WithRetryAfter(unknownRetryAfter)
		}
		if !mayBeCommitted {
			return nil, refusal
		}
		return nil, s.abortWrite(ctx, call, attempt, refusal)
	}
}

// controlError converts the error of a call to the control group into a result code
// error.
func controlError(err error) *resultcode.Error {
	var e *resultcode.Error
	if errors.As(resultcode.FromTwirp(err), &e) {
		return e
	}
	return &resultcode.Error{Code: resultcode.ControlUnavailable, Execution: resultcode.Unknown, Message: err.Error()}
}

// waitForControlRetry waits before another call to the control group. It reports false
// if e is not retryable or ctx has ended.
func waitForControlRetry(ctx context.Context, e *resultcode.Error) bool {
	switch e.Code {
	case resultcode.ControlUnavailable, resultcode.NotLeader, resultcode.SessionUnknown:
	default:
		return false
	}
	return sleep.For(ctx, controlRetryDelay) && ctx.Err() == nil
}

// requestHash returns a hash of the request's method, URI and body, each preceded by its
// length. An idempotency key is bound to this hash.
func requestHash(request target.Request) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(request.Method), []byte(request.URI), request.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // a hash's Write never fails
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// sendWrite dispatches a write whose intent is committed. The write is sent at most
// once: another target is tried only if no byte has been sent.
func (s *Service) sendWrite(ctx context.Context, call *plainCall, attempt string) (*target.Response, error) {
	if err := faultpoint.Hit(PointAfterBegin); err != nil {
		return nil, s.abortWrite(ctx, call, attempt, resultcode.Newf(resultcode.Internal, "%v", err))
	}
	req := s.requirements(call.identity, call.service, call.class.QueueTimeout(), call.requestClass)
	for {
		req.RequestID = stream.RandomID()
		held, err := s.Acquirer.Acquire(ctx, req)
		if err != nil {
			return nil, s.abortWrite(ctx, call, attempt, resultcode.From(err))
		}
		// From here on the response must be stored even if the caller disconnects.
		response, err := s.dispatchWrite(context.WithoutCancel(ctx), call, req.RequestID, held, func(a *target.Response, err error) {
			s.releasePermit(ctx, held, s.plainReleaseReason(held, a, err))
			s.suspectIfNotSent(held, err)
		})
		if err == nil {
			// A message to the control group holds UTF-8 only; the repeated answer equals the first.
			response.ContentType = strings.ToValidUTF8(response.ContentType, "")
			return response, s.storeAnswer(ctx, call, attempt, response)
		}
		if errors.Is(err, target.ErrTooLarge) {
			return nil, s.endTooLargeWrite(ctx, call, attempt)
		}
		if !isNotSentError(err) {
			s.counts.unknownOutcomes.Inc(1)
			return nil, outcomeUnknownError(err.Error())
		}
		req.ExcludedTargets = append(req.ExcludedTargets, held.Permit.GetTarget())
		if ctx.Err() != nil || !otherTargetMayHelp(err) {
			return nil, s.abortWrite(ctx, call, attempt, plainCallError(err, false))
		}
		if !s.takeRetry(call.identity) {
			return nil, s.abortWrite(ctx, call, attempt, retryBudgetError(plainCallError(err, false)))
		}
		s.counts.restarted.Inc(1)
	}
}

// dispatchWrite sends the write to the permit's target. onEnd is called with the
// outcome of the call before dispatchWrite returns.
func (s *Service) dispatchWrite(ctx context.Context, call *plainCall, requestID string, held *permit.HeldPermit, onEnd func(*target.Response, error)) (*target.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.spec.CallTimeout())
	defer cancel()
	if call.sent {
		err := invariantError("a protected write was about to be sent twice")
		s.reportViolation(err)
		onEnd(nil, err)
		return nil, err
	}
	request := call.targetRequest
	request.RequestID, request.SkipCrossed, request.OnResponse = requestID, true, s.recordStatements(held)
	response, err := target.Call(ctx, held.Permit.GetAddress(), request, func() error {
		if err := faultpoint.Hit(PointBeforeSend); err != nil {
			return err
		}
		return s.checkBeforeSend(call.identity, call.service, held)
	})
	call.sent = !isNotSentError(err)
	onEnd(response, err)
	if fault := faultpoint.Hit(PointAfterSend); fault != nil && !isNotSentError(err) {
		return nil, fault
	}
	s.countCrossed(response, err)
	return response, err
}

// abortWrite commits that nothing was sent, which frees the idempotency key, and returns
// cause, whose execution status is "not run". If the abort cannot be committed, the key
// stays in use and abortWrite returns an error with an unknown outcome.
func (s *Service) abortWrite(ctx context.Context, call *plainCall, attempt string, cause *resultcode.Error) error {
	if err := faultpoint.Hit(PointBeforeAbort); err != nil {
		return outcomeUnknownError(err.Error())
	}
	err := s.commitWriteEnd(ctx, s.newEndRequest(call, attempt, nil))
	if errors.Is(err, &resultcode.Error{Code: resultcode.StaleEpoch}) {
		// The control group has no intent of this attempt, so there is no key to free.
		return cause
	}
	if err != nil {
		s.counts.unknownOutcomes.Inc(1)
		return outcomeUnknownError("nothing was sent, but the idempotency key could not be freed: " + err.Error())
	}
	return cause
}

func (s *Service) newEndRequest(call *plainCall, attempt string, answer *api.StoredAnswer) *api.EndWriteRequest {
	return &api.EndWriteRequest{
		Team: call.identity.TeamName, Account: call.identity.AccountName, IdempotencyKey: call.targetRequest.IdempotencyKey,
		Attempt: attempt, Aborted: answer == nil, Answer: answer,
	}
}

// storeAnswer commits the response as the stored answer of the write. The caller receives
// the response even if it cannot be stored; a repeated call then correctly receives an
// unknown outcome.
func (s *Service) storeAnswer(ctx context.Context, call *plainCall, attempt string, response *target.Response) error {
	if err := faultpoint.Hit(PointBeforeEnd); err != nil {
		return outcomeUnknownError(err.Error())
	}
	stored := &api.StoredAnswer{Status: uint32(response.Status), ContentType: response.ContentType, Body: response.Body}
	if len(response.Body)+len(response.ContentType) > maxStoredAnswerBytes {
		stored = tooLargeAnswer()
	}
	if err := s.commitWriteEnd(ctx, s.newEndRequest(call, attempt, stored)); err != nil {
		s.Log.Warn().Err(err).Str("team", call.identity.TeamName).Msg("answer of a protected write not stored")
	}
	if err := faultpoint.Hit(PointAfterEnd); err != nil {
		return outcomeUnknownError(err.Error())
	}
	return nil
}

func responseTooLargeError() *resultcode.Error {
	return resultcode.Newf(resultcode.AnswerTooLarge, "the call ran; its answer exceeds the bound").WithExecution(resultcode.Ran)
}

// tooLargeAnswer returns the error response that is stored in place of a response that
// is too large.
func tooLargeAnswer() *api.StoredAnswer {
	return &api.StoredAnswer{
		Status: uint32(resultcode.AnswerTooLarge.HTTPStatus()), ContentType: "application/json", Body: reply.ErrorJSON(responseTooLargeError()),
	}
}

// endTooLargeWrite ends a write whose response exceeded the size limit and returns the
// error for the caller.
func (s *Service) endTooLargeWrite(ctx context.Context, call *plainCall, attempt string) error {
	if err := s.commitWriteEnd(ctx, s.newEndRequest(call, attempt, tooLargeAnswer())); err != nil {
		s.Log.Warn().Err(err).Str("team", call.identity.TeamName).Msg("end of a protected write not stored")
	}
	return responseTooLargeError()
}

// commitWriteEnd commits the end of a write and retries until Timing.ControlTimeout
// has passed. It continues if ctx is cancelled.
func (s *Service) commitWriteEnd(ctx context.Context, request *api.EndWriteRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timing.ControlTimeout)
	defer cancel()
	for {
		_, err := s.Control.EndWrite(ctx, request)
		if err == nil {
			return nil
		}
		if e := controlError(err); !waitForControlRetry(ctx, e) {
			return e
		}
	}
}
