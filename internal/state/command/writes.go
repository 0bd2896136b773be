package command

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// Bounds on protected writes.
const (
	MaxAnswerBytes = 64 << 10
	maxKeyBytes    = 128
	maxHashBytes   = 64
	// maxAttempts is how many attempts of one key are remembered.
	maxAttempts = 32
	// maxWriteBytes bounds the memory of one team's writes. New keys beyond it
	// are refused, because dropping one early could let it run twice.
	maxWriteBytes = 64 << 20
	// purgeBatch bounds the work that one command does for expired writes.
	purgeBatch = 16
)

// fullRetryAfter advises callers when a team's writes have reached the bound.
const fullRetryAfter = 10 * time.Second

// beginWrite records the intent to dispatch a protected write.
//
// Invariant: between two aborts of a key, at most one attempt is told NEW.
func beginWrite(s *model.State, r *api.BeginWriteRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if err := checkBegin(r); err != nil {
		return Result{Err: err}
	}
	if x := s.Sessions[r.GetSessionId()]; x == nil || x.Replaced {
		return refuse(resultcode.SessionUnknown, "session %d", r.GetSessionId())
	}
	purgeWrites(s, t)
	k := model.WriteKey{Account: r.GetAccount(), Key: r.GetIdempotencyKey()}
	w := t.Writes[k]
	if w == nil {
		if t.WriteBytes >= maxWriteBytes {
			return Result{Err: resultcode.Newf(resultcode.Overloaded, "team %q keeps its most protected writes", t.Name).WithRetryAfter(fullRetryAfter)}
		}
		return startWrite(s, t, k, r)
	}
	return repeatWrite(s, t, k, w, r)
}

func checkBegin(r *api.BeginWriteRequest) *resultcode.Error {
	switch {
	case !validName(r.GetAccount()), !validName(r.GetAttempt()):
		return resultcode.Newf(resultcode.MessageMalformed, "account and attempt must have 1 to %d bytes", MaxNameBytes)
	case r.GetIdempotencyKey() == "" || len(r.GetIdempotencyKey()) > maxKeyBytes:
		return resultcode.Newf(resultcode.MessageMalformed, "idempotency key must have 1 to %d bytes", maxKeyBytes)
	case len(r.GetBodyHash()) == 0 || len(r.GetBodyHash()) > maxHashBytes:
		return resultcode.Newf(resultcode.MessageMalformed, "body hash must have 1 to %d bytes", maxHashBytes)
	}
	return nil
}

func startWrite(s *model.State, t *model.Team, k model.WriteKey, r *api.BeginWriteRequest) Result {
	w := &model.Write{
		BodyHash: r.GetBodyHash(),
		Attempt:  r.GetAttempt(),
		State:    api.WriteState_WRITE_STATE_PENDING,
		BegunMS:  s.NowMS,
		Attempts: []model.Attempt{{ID: r.GetAttempt(), Outcome: api.WriteOutcome_WRITE_OUTCOME_NEW}},
	}
	t.Writes[k] = w
	t.WriteOrder = append(t.WriteOrder, k)
	t.WriteBytes += w.Size(k)
	return outcome(api.WriteOutcome_WRITE_OUTCOME_NEW, nil)
}

// repeatWrite answers an attempt for a key that is known. An attempt that was
// answered before gets the same answer: a delayed copy of its request must not
// reopen the key after the attempt has been given up.
func repeatWrite(s *model.State, t *model.Team, k model.WriteKey, w *model.Write, r *api.BeginWriteRequest) Result {
	if i := w.FindAttempt(r.GetAttempt()); i >= 0 {
		return repeatedAttempt(w, w.Attempts[i], r.GetBodyHash())
	}
	before := w.Size(k)
	defer func() { t.WriteBytes += w.Size(k) - before }()
	switch {
	case w.State == api.WriteState_WRITE_STATE_FREE:
		w.State, w.Attempt, w.BodyHash, w.BegunMS = api.WriteState_WRITE_STATE_PENDING, r.GetAttempt(), r.GetBodyHash(), s.NowMS
		t.MoveWriteLast(k)
		return remember(w, r, api.WriteOutcome_WRITE_OUTCOME_NEW)
	case !bytes.Equal(w.BodyHash, r.GetBodyHash()):
		return remember(w, r, api.WriteOutcome_WRITE_OUTCOME_MISMATCH)
	case w.State == api.WriteState_WRITE_STATE_PENDING:
		return remember(w, r, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	}
	return outcome(api.WriteOutcome_WRITE_OUTCOME_DONE, w.Answer)
}

// remember records what the attempt is told. Beyond the bound the oldest
// attempt that does not hold the key is forgotten.
func remember(w *model.Write, r *api.BeginWriteRequest, o api.WriteOutcome) Result {
	if len(w.Attempts) >= maxAttempts {
		oldest := slices.IndexFunc(w.Attempts, func(a model.Attempt) bool { return a.ID != w.Attempt })
		w.Attempts = slices.Delete(w.Attempts, oldest, oldest+1)
	}
	w.Attempts = append(w.Attempts, model.Attempt{ID: r.GetAttempt(), Outcome: o})
	return outcome(o, nil)
}

func repeatedAttempt(w *model.Write, a model.Attempt, bodyHash []byte) Result {
	switch {
	case a.Outcome == api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED:
		return refuse(resultcode.StaleEpoch, "attempt %q was aborted", a.ID)
	case a.ID != w.Attempt:
		return outcome(a.Outcome, nil)
	case !bytes.Equal(w.BodyHash, bodyHash):
		return outcome(api.WriteOutcome_WRITE_OUTCOME_MISMATCH, nil)
	case w.State == api.WriteState_WRITE_STATE_DONE:
		return outcome(api.WriteOutcome_WRITE_OUTCOME_DONE, w.Answer)
	}
	return outcome(a.Outcome, nil)
}

func outcome(o api.WriteOutcome, answer *api.StoredAnswer) Result {
	return ok(&api.BeginWriteResponse{Outcome: o, Answer: answer})
}

// endWrite stores the answer of the attempt that dispatched, or frees the key
// when the attempt surely did not run. Ending an attempt twice the same way is
// no error.
func endWrite(s *model.State, r *api.EndWriteRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if len(r.GetAnswer().GetBody())+len(r.GetAnswer().GetContentType()) > MaxAnswerBytes {
		return refuse(resultcode.AnswerTooLarge, "answer of %d bytes, at most %d", len(r.GetAnswer().GetBody()), MaxAnswerBytes)
	}
	if !r.GetAborted() && r.GetAnswer() == nil {
		return refuse(resultcode.MessageMalformed, "an ended write needs an answer")
	}
	purgeWrites(s, t)
	k := model.WriteKey{Account: r.GetAccount(), Key: r.GetIdempotencyKey()}
	w := t.Writes[k]
	if w == nil {
		return refuse(resultcode.StaleEpoch, "attempt %q: no write under this key", r.GetAttempt())
	}
	i := w.FindAttempt(r.GetAttempt())
	if aborted := i >= 0 && w.Attempts[i].Outcome == api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED; aborted {
		return endAborted(r)
	}
	if i < 0 || w.Attempt != r.GetAttempt() {
		return refuse(resultcode.StaleEpoch, "attempt %q does not hold the key", r.GetAttempt())
	}
	before := w.Size(k)
	defer func() { t.WriteBytes += w.Size(k) - before }()
	return finish(w, &w.Attempts[i], r)
}

// endAborted answers a call for an attempt that was aborted before. An answer
// for it means that the attempt dispatched after all.
func endAborted(r *api.EndWriteRequest) Result {
	if r.GetAborted() {
		return ok(&api.EndWriteResponse{})
	}
	return refuse(resultcode.InvariantViolation, "attempt %q was aborted and then answered", r.GetAttempt())
}

func finish(w *model.Write, attempt *model.Attempt, r *api.EndWriteRequest) Result {
	if w.State == api.WriteState_WRITE_STATE_DONE {
		if r.GetAborted() {
			return refuse(resultcode.InvariantViolation, "attempt %q was answered and then aborted", r.GetAttempt())
		}
		return ok(&api.EndWriteResponse{}) // the first answer stays
	}
	if r.GetAborted() {
		w.State, w.Attempt = api.WriteState_WRITE_STATE_FREE, ""
		attempt.Outcome = api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED
		return ok(&api.EndWriteResponse{})
	}
	w.State, w.Answer = api.WriteState_WRITE_STATE_DONE, proto.CloneOf(r.GetAnswer())
	return ok(&api.EndWriteResponse{})
}

// purgeWrites drops the oldest writes whose time has passed. Commands carry the
// time, so all replicas drop the same ones.
func purgeWrites(s *model.State, t *model.Team) {
	keep := uint64(t.Settings.Policy.ReplayHours) * uint64(time.Hour.Milliseconds())
	n := 0
	for n < len(t.WriteOrder) && n < purgeBatch {
		k := t.WriteOrder[n]
		w := t.Writes[k]
		if w.BegunMS+keep > s.NowMS {
			break
		}
		t.WriteBytes -= w.Size(k)
		delete(t.Writes, k)
		n++
	}
	t.WriteOrder = t.WriteOrder[n:]
}
