package state_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

func (l *testLog) beginWrite(session uint64, key, body, attempt string) (api.WriteOutcome, *api.StoredAnswer, resultcode.Code) {
	r := l.apply(&api.StateCommand{Body: &api.StateCommand_BeginWrite{BeginWrite: &api.BeginWriteRequest{
		SessionId: session, Team: team, Account: "trader", IdempotencyKey: key, BodyHash: []byte(body), Attempt: attempt,
	}}})
	m, _ := r.Message.(*api.BeginWriteResponse)
	return m.GetOutcome(), m.GetAnswer(), codeOf(r)
}

func (l *testLog) endWrite(key, attempt string, aborted bool, answer string) resultcode.Code {
	return codeOf(l.apply(&api.StateCommand{Body: &api.StateCommand_EndWrite{EndWrite: &api.EndWriteRequest{
		Team: team, Account: "trader", IdempotencyKey: key, Attempt: attempt, Aborted: aborted,
		Answer: &api.StoredAnswer{Status: 200, Body: []byte(answer)},
	}}}))
}

// writer models an entry instance that runs one protected write and may crash
// between any two steps.
type writer struct {
	attempt string
	step    int // next step of the write: 0 begin, 1 dispatch, 2 end, 3 none
	aborted bool
}

// Guards against a protected write that runs twice, or whose stored answer is
// not that of the attempt that ran, when entry instances crash at any step and
// duplicates of their requests arrive late and out of order.
// Mutation that this test detects: beginWrite returns NEW instead of PENDING.
func TestWriteRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, session := newLogWithTeam(24, 1)
		ranAttempt := ""             // id of the attempt that reached the target
		var delayedRequests []func() // begin and end requests that may be delivered again
		writers := []*writer{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			choice := rapid.IntRange(0, 5).Draw(t, "choice")
			if choice == 0 || len(writers) == 0 {
				writers = append(writers, &writer{attempt: fmt.Sprint("attempt-", i)})
				continue
			}
			if choice == 1 && len(delayedRequests) > 0 {
				rapid.SampledFrom(delayedRequests).Draw(t, "copy")()
				continue
			}
			w := rapid.SampledFrom(writers).Draw(t, "writer")
			switch w.step {
			case 0:
				begin := func() (api.WriteOutcome, *api.StoredAnswer, resultcode.Code) {
					return l.beginWrite(session, "key", "body", w.attempt)
				}
				delayedRequests = append(delayedRequests, func() { begin() })
				outcome, answer, _ := begin()
				w.step = 3
				if outcome == api.WriteOutcome_WRITE_OUTCOME_NEW {
					w.step = 1
				}
				if outcome == api.WriteOutcome_WRITE_OUTCOME_DONE {
					assert.Equal(t, string(answer.GetBody()), ranAttempt, "replayed an answer of another attempt than the one that ran")
				}
			case 1:
				w.step = 2
				if w.aborted = rapid.Bool().Draw(t, "dial refused"); !w.aborted {
					assert.Equal(t, ranAttempt, "", "the write ran twice")
					ranAttempt = w.attempt
				}
			case 2:
				end := func() resultcode.Code { return l.endWrite("key", w.attempt, w.aborted, w.attempt) }
				delayedRequests = append(delayedRequests, func() { end() })
				assert.Equal(t, end(), resultcode.Code(0))
				w.step = 3
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				w.step = 3
			}
		}
	})
}

// Guards against an idempotency key that remains blocked: a delayed duplicate of
// a begin request that was already answered must not claim the key for an attempt
// that will never run.
// Mutations that this test detects: beginExistingWrite does not look up
// repeated attempts; an abort does not mark its attempt; only attempts with the
// outcome NEW are recorded.
func TestDelayedDuplicateDoesNotClaimKey(t *testing.T) {
	l, session := newLogWithTeam(24, 1)
	outcome, _, _ := l.beginWrite(session, "key", "body", "first")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW)
	outcome, _, _ = l.beginWrite(session, "key", "body", "second")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	outcome, _, _ = l.beginWrite(session, "key", "other", "third")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_MISMATCH)
	assert.Equal(t, l.endWrite("key", "first", true, ""), resultcode.Code(0))
	_, _, code := l.beginWrite(session, "key", "body", "first")
	assert.Equal(t, code, resultcode.StaleEpoch)
	outcome, _, _ = l.beginWrite(session, "key", "body", "second")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	outcome, _, _ = l.beginWrite(session, "key", "other", "third")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_MISMATCH)
	outcome, _, _ = l.beginWrite(session, "key", "body", "fourth")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW)
	assert.Equal(t, l.endWrite("key", "first", false, "x"), resultcode.InvariantViolation, "answered after its abort")
}

// Guards against answers that are dropped before replay_hours have passed, also
// if the key was freed and claimed again, and against answers that are never
// dropped.
// Mutations that this test detects: beginExistingWrite does not reset BegunMS;
// it does not call MoveWriteToEnd.
func TestAnswersAreKeptForReplayHours(t *testing.T) {
	l, session := newLogWithTeam(2, 1)
	l.beginWrite(session, "a", "body", "a1")
	l.endWrite("a", "a1", true, "")
	l.beginWrite(session, "b", "body", "b1")
	l.now = l.now.Add(time.Hour)
	l.beginWrite(session, "a", "body", "a2")
	l.endWrite("a", "a2", false, "answer")
	l.now = l.now.Add(119 * time.Minute)
	outcome, _, _ := l.beginWrite(session, "a", "body", "a3")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_DONE)
	outcome, _, _ = l.beginWrite(session, "b", "body", "b2")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW, "b is kept for 2 h after it began")
	l.now = l.now.Add(time.Minute)
	outcome, _, _ = l.beginWrite(session, "a", "body", "a4")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW)
}

// Guards against stored answers over the size limit, and against writes of a
// replaced session, whose instance may have lost its lease.
func TestWriteLimits(t *testing.T) {
	l, session := newLogWithTeam(24, 1)
	l.beginWrite(session, "key", "body", "a")
	assert.Equal(t, l.endWrite("key", "a", false, string(make([]byte, 64<<10+1))), resultcode.AnswerTooLarge)
	outcome, _, _ := l.beginWrite(session, "key", "body", "b")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	l.openSession("entry-1")
	_, _, code := l.beginWrite(session, "key-2", "body", "c")
	assert.Equal(t, code, resultcode.SessionUnknown)
}
