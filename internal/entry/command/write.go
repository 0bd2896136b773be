package command

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Steps of a protected write at which tests inject failures. The order of
// steps makes a crash at any of them safe: the intent is committed before the
// first byte leaves, and nothing is sent for an intent that exists.
const (
	PointBeforeBegin  faultpoint.Point = "write.before_begin" // nothing is committed
	PointAfterBegin   faultpoint.Point = "write.after_begin"  // the intent is committed, nothing was sent
	PointBeforeSend   faultpoint.Point = "write.before_send"  // the connection is up, nothing was sent
	PointAfterSend    faultpoint.Point = "write.after_send"   // the call may have run
	PointBeforeEnd    faultpoint.Point = "write.before_end"   // the answer is here, not stored
	PointAfterEnd     faultpoint.Point = "write.after_end"    // the answer is stored
	PointBeforeAbort  faultpoint.Point = "write.before_abort" // nothing was sent, the abort is not committed
	maxStoredAnswer                    = 64 << 10
	controlRetryDelay                  = 50 * time.Millisecond
	retryUnknown                       = 500 * time.Millisecond
)

// protected runs a call that may run at most once.
func (s *Service) protected(ctx context.Context, w http.ResponseWriter, call *plainCall) error {
	if call.send.IdempotencyKey == "" {
		return resultcode.Newf(resultcode.KeyRequired, "a call to a protected path needs %s", keyHeader)
	}
	if !s.Source.Fresh() {
		return refusedStale()
	}
	s.counts.writes.Inc(1)
	attempt := stream.NewUnique()
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
		writeAnswer(w, &target.Answer{Status: int(stored.GetStatus()), ContentType: stored.GetContentType(), Body: stored.GetBody()})
		return nil
	case api.WriteOutcome_WRITE_OUTCOME_PENDING:
		s.counts.unknownOutcomes.Inc(1)
		return outcomeUnknown("another attempt with this idempotency key was started and has no stored answer")
	case api.WriteOutcome_WRITE_OUTCOME_MISMATCH:
		return resultcode.Newf(resultcode.KeyReused, "the idempotency key was used with another request")
	default:
		return outcomeUnknown("the control group gave no outcome")
	}
	answer, err := s.write(ctx, call, attempt)
	if err != nil {
		return err
	}
	writeAnswer(w, answer)
	return nil
}

func refusedStale() error {
	return resultcode.Newf(resultcode.NoFreshLease, "no fresh state from the control group").WithRetryAfter(time.Second)
}

func outcomeUnknown(message string) *resultcode.Error {
	return resultcode.Newf(resultcode.OutcomeUnknown, "%s", message).WithExecution(resultcode.Unknown).WithRetryAfter(retryUnknown)
}

// beginWrite commits the intent. Its attempt id makes repeated calls harmless.
// When the group may have committed the intent without saying so, the intent
// is aborted before the write is called "not run".
func (s *Service) beginWrite(ctx context.Context, call *plainCall, attempt string) (*api.BeginWriteResponse, error) {
	if err := faultpoint.Hit(PointBeforeBegin); err != nil {
		return nil, resultcode.Newf(resultcode.Internal, "%v", err)
	}
	request := &api.BeginWriteRequest{
		Team: call.id.TeamName, Account: call.id.AccountName,
		IdempotencyKey: call.send.IdempotencyKey, BodyHash: bodyHash(call.send), Attempt: attempt,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timing.Control)
	defer cancel()
	mayBeCommitted := false
	for {
		request.SessionId = s.Source.SessionID()
		answer, err := s.Control.BeginWrite(ctx, request)
		if err == nil {
			return answer, nil
		}
		e := controlError(err)
		mayBeCommitted = mayBeCommitted || e.Execution != resultcode.NotRun
		if retryControl(ctx, e) {
			continue
		}
		refusal := e
		if e.Code != resultcode.Overloaded {
			refusal = resultcode.Newf(resultcode.ControlUnavailable, "%v", e).WithRetryAfter(retryUnknown)
		}
		if !mayBeCommitted {
			return nil, refusal
		}
		return nil, s.abort(ctx, call, attempt, refusal)
	}
}

// controlError is the coded error of a call to the control group.
func controlError(err error) *resultcode.Error {
	var e *resultcode.Error
	if errors.As(resultcode.FromTwirp(err), &e) {
		return e
	}
	return &resultcode.Error{Code: resultcode.ControlUnavailable, Execution: resultcode.Unknown, Message: err.Error()}
}

// retryControl waits before another attempt; false when there must be none.
func retryControl(ctx context.Context, e *resultcode.Error) bool {
	switch e.Code {
	case resultcode.ControlUnavailable, resultcode.NotLeader, resultcode.SessionUnknown:
	default:
		return false
	}
	return sleep.For(ctx, controlRetryDelay) && ctx.Err() == nil
}

// bodyHash covers everything that makes the request what it is, each part with
// its length.
func bodyHash(q target.Request) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(q.Method), []byte(q.URI), q.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // never fails
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// write dispatches a write whose intent is committed. It is sent at most once:
// another target is tried only while surely no byte has left.
func (s *Service) write(ctx context.Context, call *plainCall, attempt string) (*target.Answer, error) {
	if err := faultpoint.Hit(PointAfterBegin); err != nil {
		return nil, s.abort(ctx, call, attempt, resultcode.Newf(resultcode.Internal, "%v", err))
	}
	wanted := s.wanted(call.id, call.service, call.class.QueueTimeout(), call.request)
	for {
		wanted.RequestID = stream.NewUnique()
		held, err := s.Acquirer.Acquire(ctx, wanted)
		if err != nil {
			return nil, s.abort(ctx, call, attempt, resultcode.From(err))
		}
		// From here the caller's leaving must not lose the answer.
		answer, err := s.dispatchWrite(context.WithoutCancel(ctx), call, wanted.RequestID, held.Permit, func(a *target.Answer, err error) {
			s.release(ctx, held, s.plainReason(held, a, err))
			s.suspect(held, err)
		})
		if err == nil {
			return answer, s.endWrite(ctx, call, attempt, answer)
		}
		if errors.Is(err, target.ErrTooLarge) {
			return nil, s.tooLarge(ctx, call, attempt)
		}
		if !isNotSent(err) {
			s.counts.unknownOutcomes.Inc(1)
			return nil, outcomeUnknown(err.Error())
		}
		wanted.Exclude = append(wanted.Exclude, held.Permit.GetTarget())
		if ctx.Err() != nil || !elsewhereHelps(err) {
			return nil, s.abort(ctx, call, attempt, plainError(err, false))
		}
		if !s.mayRetry(call.id) {
			return nil, s.abort(ctx, call, attempt, budgetSpent(plainError(err, false)))
		}
		s.counts.restarted.Inc(1)
	}
}

func (s *Service) dispatchWrite(ctx context.Context, call *plainCall, requestID string, p *api.Permit, ended func(*target.Answer, error)) (*target.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.spec.CallTimeout())
	defer cancel()
	if call.sent {
		err := invariant("a protected write was about to be sent twice")
		s.report(err)
		ended(nil, err)
		return nil, err
	}
	send := call.send
	send.RequestID, send.ReadOn = requestID, true
	answer, err := target.Call(ctx, p.GetAddress(), send, func() error {
		if err := faultpoint.Hit(PointBeforeSend); err != nil {
			return err
		}
		return s.mayDispatch(call.id, call.service, p)
	})
	call.sent = !isNotSent(err)
	ended(answer, err)
	if fault := faultpoint.Hit(PointAfterSend); fault != nil && !isNotSent(err) {
		return nil, fault
	}
	s.countCrossed(answer, err)
	return answer, err
}

// abort commits that nothing was sent and returns reason, which says "not
// run". When the abort cannot be committed, the key stays in use and the
// outcome must be called unknown.
func (s *Service) abort(ctx context.Context, call *plainCall, attempt string, reason *resultcode.Error) error {
	if err := faultpoint.Hit(PointBeforeAbort); err != nil {
		return outcomeUnknown(err.Error())
	}
	err := s.commitEnd(ctx, s.endRequest(call, attempt, nil))
	if errors.Is(err, &resultcode.Error{Code: resultcode.StaleEpoch}) {
		// The group knows no intent of this attempt: there is nothing to free.
		return reason
	}
	if err != nil {
		s.counts.unknownOutcomes.Inc(1)
		return outcomeUnknown("nothing was sent, but the idempotency key could not be freed: " + err.Error())
	}
	return reason
}

func (s *Service) endRequest(call *plainCall, attempt string, answer *api.StoredAnswer) *api.EndWriteRequest {
	return &api.EndWriteRequest{
		Team: call.id.TeamName, Account: call.id.AccountName, IdempotencyKey: call.send.IdempotencyKey,
		Attempt: attempt, Aborted: answer == nil, Answer: answer,
	}
}

// endWrite stores the answer for replay. The caller gets its answer even when
// it cannot be stored: a repeated call then learns "unknown", which is true.
func (s *Service) endWrite(ctx context.Context, call *plainCall, attempt string, answer *target.Answer) error {
	if err := faultpoint.Hit(PointBeforeEnd); err != nil {
		return outcomeUnknown(err.Error())
	}
	stored := &api.StoredAnswer{Status: uint32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body)+len(answer.ContentType) > maxStoredAnswer {
		stored = tooLargeAnswer()
	}
	if err := s.commitEnd(ctx, s.endRequest(call, attempt, stored)); err != nil {
		s.Log.Warn().Err(err).Str("team", call.id.TeamName).Msg("answer of a protected write not stored")
	}
	if err := faultpoint.Hit(PointAfterEnd); err != nil {
		return outcomeUnknown(err.Error())
	}
	return nil
}

func errTooLarge() *resultcode.Error {
	return resultcode.Newf(resultcode.AnswerTooLarge, "the call ran; its answer exceeds the bound").WithExecution(resultcode.Ran)
}

// tooLargeAnswer replaces an answer that is too large to be stored.
func tooLargeAnswer() *api.StoredAnswer {
	return &api.StoredAnswer{
		Status: uint32(resultcode.AnswerTooLarge.HTTPStatus()), ContentType: "application/json", Body: reply.ErrorJSON(errTooLarge()),
	}
}

func (s *Service) tooLarge(ctx context.Context, call *plainCall, attempt string) error {
	if err := s.commitEnd(ctx, s.endRequest(call, attempt, tooLargeAnswer())); err != nil {
		s.Log.Warn().Err(err).Str("team", call.id.TeamName).Msg("end of a protected write not stored")
	}
	return errTooLarge()
}

// commitEnd commits the end of a write within the bound of one step.
func (s *Service) commitEnd(ctx context.Context, request *api.EndWriteRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Timing.Control)
	defer cancel()
	for {
		_, err := s.Control.EndWrite(ctx, request)
		if err == nil {
			return nil
		}
		if e := controlError(err); !retryControl(ctx, e) {
			return e
		}
	}
}
