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

// Limits on protected writes, which run at most once per idempotency key.
const (
	MaxAnswerBytes = 64 << 10
	maxKeyBytes    = 128
	maxHashBytes   = 64
	// maxAttempts is how many attempts to run a write are recorded per idempotency key.
	maxAttempts = 32
	// maxTeamWriteBytes limits the memory of one team's writes. New keys beyond it
	// are refused, because dropping a stored write early could let it run twice.
	maxTeamWriteBytes = 64 << 20
	// purgeBatch limits how many expired writes one command removes from the state.
	purgeBatch = 16
)

// writesFullRetryAfter is the retry delay returned when a team's writes have
// reached maxTeamWriteBytes.
const writesFullRetryAfter = 10 * time.Second

// beginWrite records the intent to dispatch a protected write.
//
// Invariant: between two aborts of a key, at most one attempt gets the outcome
// NEW.
func beginWrite(s *model.State, r *api.BeginWriteRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if err := checkBeginRequest(r); err != nil {
		return Result{Err: err}
	}
	if sess := s.Sessions[r.GetSessionId()]; sess == nil || sess.Replaced {
		return refuse(resultcode.SessionUnknown, "session %d", r.GetSessionId())
	}
	purgeExpiredWrites(s, t)
	k := model.WriteKey{Account: r.GetAccount(), Key: r.GetIdempotencyKey()}
	w := t.Writes[k]
	if w == nil {
		if t.WriteBytes >= maxTeamWriteBytes {
			return Result{Err: resultcode.Newf(resultcode.Overloaded, "team %q has reached its limit of stored protected writes", t.Name).WithRetryAfter(writesFullRetryAfter)}
		}
		return createWrite(s, t, k, r)
	}
	return beginExistingWrite(s, t, k, w, r)
}

func checkBeginRequest(r *api.BeginWriteRequest) *resultcode.Error {
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

func createWrite(s *model.State, t *model.Team, k model.WriteKey, r *api.BeginWriteRequest) Result {
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
	return beginResponse(api.WriteOutcome_WRITE_OUTCOME_NEW, nil)
}

// beginExistingWrite handles an attempt for an idempotency key that already has
// a write. An attempt that was answered before gets the same answer, because a
// delayed duplicate of its request must not claim the key again after the
// attempt was aborted.
func beginExistingWrite(s *model.State, t *model.Team, k model.WriteKey, w *model.Write, r *api.BeginWriteRequest) Result {
	if i := w.AttemptIndex(r.GetAttempt()); i >= 0 {
		return replayAttempt(w, w.Attempts[i], r.GetBodyHash())
	}
	before := w.Size(k)
	defer func() { t.WriteBytes += w.Size(k) - before }()
	switch {
	case w.State == api.WriteState_WRITE_STATE_FREE:
		w.State, w.Attempt, w.BodyHash, w.BegunMS = api.WriteState_WRITE_STATE_PENDING, r.GetAttempt(), r.GetBodyHash(), s.NowMS
		t.MoveWriteToEnd(k)
		return recordAttempt(w, r, api.WriteOutcome_WRITE_OUTCOME_NEW)
	case !bytes.Equal(w.BodyHash, r.GetBodyHash()):
		return recordAttempt(w, r, api.WriteOutcome_WRITE_OUTCOME_MISMATCH)
	case w.State == api.WriteState_WRITE_STATE_PENDING:
		return recordAttempt(w, r, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	}
	return beginResponse(api.WriteOutcome_WRITE_OUTCOME_DONE, w.Answer)
}

// recordAttempt records the outcome returned to the attempt and returns it. If
// the write already has maxAttempts attempts, the oldest one that is not the
// current one is dropped.
func recordAttempt(w *model.Write, r *api.BeginWriteRequest, o api.WriteOutcome) Result {
	if len(w.Attempts) >= maxAttempts {
		oldest := slices.IndexFunc(w.Attempts, func(a model.Attempt) bool { return a.ID != w.Attempt })
		w.Attempts = slices.Delete(w.Attempts, oldest, oldest+1)
	}
	w.Attempts = append(w.Attempts, model.Attempt{ID: r.GetAttempt(), Outcome: o})
	return beginResponse(o, nil)
}

// replayAttempt answers a repeated request of an attempt that is already
// recorded in the write w.
func replayAttempt(w *model.Write, a model.Attempt, bodyHash []byte) Result {
	switch {
	case a.Outcome == api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED:
		return refuse(resultcode.StaleEpoch, "attempt %q was aborted", a.ID)
	case a.ID != w.Attempt:
		return beginResponse(a.Outcome, nil)
	case !bytes.Equal(w.BodyHash, bodyHash):
		return beginResponse(api.WriteOutcome_WRITE_OUTCOME_MISMATCH, nil)
	case w.State == api.WriteState_WRITE_STATE_DONE:
		return beginResponse(api.WriteOutcome_WRITE_OUTCOME_DONE, w.Answer)
	}
	return beginResponse(a.Outcome, nil)
}

func beginResponse(o api.WriteOutcome, answer *api.StoredAnswer) Result {
	return success(&api.BeginWriteResponse{Outcome: o, Answer: answer})
}

// endWrite stores the answer to the attempt that was dispatched, or frees the
// idempotency key if the caller reports that the attempt certainly did not run.
// Ending an attempt twice in the same way is not an error.
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
	purgeExpiredWrites(s, t)
	k := model.WriteKey{Account: r.GetAccount(), Key: r.GetIdempotencyKey()}
	w := t.Writes[k]
	if w == nil {
		return refuse(resultcode.StaleEpoch, "attempt %q: no write under this key", r.GetAttempt())
	}
	i := w.AttemptIndex(r.GetAttempt())
	if aborted := i >= 0 && w.Attempts[i].Outcome == api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED; aborted {
		return endAbortedAttempt(r)
	}
	if i < 0 || w.Attempt != r.GetAttempt() {
		return refuse(resultcode.StaleEpoch, "attempt %q is not the current attempt for this key", r.GetAttempt())
	}
	before := w.Size(k)
	defer func() { t.WriteBytes += w.Size(k) - before }()
	return completeAttempt(w, &w.Attempts[i], r)
}

// endAbortedAttempt handles the end of an attempt that was aborted before. If it
// now has an answer, it was dispatched despite the abort.
func endAbortedAttempt(r *api.EndWriteRequest) Result {
	if r.GetAborted() {
		return success(&api.EndWriteResponse{})
	}
	return refuse(resultcode.InvariantViolation, "attempt %q was aborted and then answered", r.GetAttempt())
}

// completeAttempt ends the write's current attempt: it stores the answer or, if
// the attempt was aborted, frees the idempotency key.
func completeAttempt(w *model.Write, attempt *model.Attempt, r *api.EndWriteRequest) Result {
	if w.State == api.WriteState_WRITE_STATE_DONE {
		if r.GetAborted() {
			return refuse(resultcode.InvariantViolation, "attempt %q was answered and then aborted", r.GetAttempt())
		}
		return success(&api.EndWriteResponse{}) // the answer that is already stored is kept
	}
	if r.GetAborted() {
		w.State, w.Attempt = api.WriteState_WRITE_STATE_FREE, ""
		attempt.Outcome = api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED
		return success(&api.EndWriteResponse{})
	}
	w.State, w.Answer = api.WriteState_WRITE_STATE_DONE, proto.CloneOf(r.GetAnswer())
	return success(&api.EndWriteResponse{})
}

// purgeExpiredWrites removes up to purgeBatch writes that began at least the
// policy's replay_hours ago, oldest first. The time comes from the commands, so all
// replicas remove the same writes.
func purgeExpiredWrites(s *model.State, t *model.Team) {
	retentionMS := uint64(t.Settings.Policy.ReplayHours) * uint64(time.Hour.Milliseconds())
	purged := 0
	for purged < len(t.WriteOrder) && purged < purgeBatch {
		k := t.WriteOrder[purged]
		w := t.Writes[k]
		if w.BegunMS+retentionMS > s.NowMS {
			break
		}
		t.WriteBytes -= w.Size(k)
		delete(t.Writes, k)
		purged++
	}
	t.WriteOrder = t.WriteOrder[purged:]
}
