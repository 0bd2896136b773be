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

func (l *log) begin(session uint64, key, body, attempt string) (api.WriteOutcome, *api.StoredAnswer, resultcode.Code) {
	r := l.apply(&api.StateCommand{Body: &api.StateCommand_BeginWrite{BeginWrite: &api.BeginWriteRequest{
		SessionId: session, Team: team, Account: "trader", IdempotencyKey: key, BodyHash: []byte(body), Attempt: attempt,
	}}})
	m, _ := r.Message.(*api.BeginWriteResponse)
	return m.GetOutcome(), m.GetAnswer(), codeOf(r)
}

func (l *log) end(key, attempt string, aborted bool, answer string) resultcode.Code {
	return codeOf(l.apply(&api.StateCommand{Body: &api.StateCommand_EndWrite{EndWrite: &api.EndWriteRequest{
		Team: team, Account: "trader", IdempotencyKey: key, Attempt: attempt, Aborted: aborted,
		Answer: &api.StoredAnswer{Status: 200, Body: []byte(answer)},
	}}}))
}

// writer is an entry instance that carries out one protected write and may
// crash between any two steps.
type writer struct {
	attempt string
	step    int // 0: begin, 1: dispatch, 2: end, 3: over
	aborted bool
}

// Guards against a protected write that runs twice, or whose replay differs
// from what ran, when entry instances crash at any step and copies of their
// requests arrive late and out of order. Caught mutation: PENDING is answered
// as NEW.
func TestWriteRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, session := withTeam(24, 1)
		ran := ""           // the attempt that reached the target
		var copies []func() // requests that the network may deliver again
		writers := []*writer{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			choice := rapid.IntRange(0, 5).Draw(t, "choice")
			if choice == 0 || len(writers) == 0 {
				writers = append(writers, &writer{attempt: fmt.Sprint("attempt-", i)})
				continue
			}
			if choice == 1 && len(copies) > 0 {
				rapid.SampledFrom(copies).Draw(t, "copy")()
				continue
			}
			w := rapid.SampledFrom(writers).Draw(t, "writer")
			switch w.step {
			case 0:
				begin := func() (api.WriteOutcome, *api.StoredAnswer, resultcode.Code) {
					return l.begin(session, "key", "body", w.attempt)
				}
				copies = append(copies, func() { begin() })
				outcome, answer, _ := begin()
				w.step = 3
				if outcome == api.WriteOutcome_WRITE_OUTCOME_NEW {
					w.step = 1
				}
				if outcome == api.WriteOutcome_WRITE_OUTCOME_DONE {
					assert.Equal(t, string(answer.GetBody()), ran, "replayed another answer than the one that ran")
				}
			case 1:
				w.step = 2
				if w.aborted = rapid.Bool().Draw(t, "dial refused"); !w.aborted {
					assert.Equal(t, ran, "", "the write ran twice")
					ran = w.attempt
				}
			case 2:
				end := func() resultcode.Code { return l.end("key", w.attempt, w.aborted, w.attempt) }
				copies = append(copies, func() { end() })
				assert.Equal(t, end(), resultcode.Code(0))
				w.step = 3
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				w.step = 3
			}
		}
	})
}

// Guards against a late copy of a request that was answered before: the key
// must not stay taken by an attempt that nobody carries out any more. Caught
// mutations: repeated attempts are not looked up; an abort does not mark its
// attempt; only NEW is remembered.
func TestLateCopyDoesNotTakeTheKey(t *testing.T) {
	l, session := withTeam(24, 1)
	outcome, _, _ := l.begin(session, "key", "body", "first")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW)
	outcome, _, _ = l.begin(session, "key", "body", "second")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	outcome, _, _ = l.begin(session, "key", "other", "third")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_MISMATCH)
	assert.Equal(t, l.end("key", "first", true, ""), resultcode.Code(0))
	_, _, code := l.begin(session, "key", "body", "first")
	assert.Equal(t, code, resultcode.StaleEpoch)
	outcome, _, _ = l.begin(session, "key", "body", "second")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	outcome, _, _ = l.begin(session, "key", "other", "third")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_MISMATCH)
	outcome, _, _ = l.begin(session, "key", "body", "fourth")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW)
	assert.Equal(t, l.end("key", "first", false, "x"), resultcode.InvariantViolation, "answered after its abort")
}

// Guards against answers that are dropped before replay_hours, also when the
// key was freed and taken again later, and against answers that stay for good.
// Caught mutations: BegunMS is not set again; MoveWriteLast is left out.
func TestAnswersAreKeptForReplayHours(t *testing.T) {
	l, session := withTeam(2, 1)
	l.begin(session, "a", "body", "a1")
	l.end("a", "a1", true, "")
	l.begin(session, "b", "body", "b1")
	l.now = l.now.Add(time.Hour)
	l.begin(session, "a", "body", "a2")
	l.end("a", "a2", false, "answer")
	l.now = l.now.Add(119 * time.Minute)
	outcome, _, _ := l.begin(session, "a", "body", "a3")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_DONE)
	outcome, _, _ = l.begin(session, "b", "body", "b2")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW, "b is kept for 2 h from its begin")
	l.now = l.now.Add(time.Minute)
	outcome, _, _ = l.begin(session, "a", "body", "a4")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_NEW)
}

// Guards against answers over the bound, and against writes of a session whose
// instance may have lost its lease.
func TestWriteBounds(t *testing.T) {
	l, session := withTeam(24, 1)
	l.begin(session, "key", "body", "a")
	assert.Equal(t, l.end("key", "a", false, string(make([]byte, 64<<10+1))), resultcode.AnswerTooLarge)
	outcome, _, _ := l.begin(session, "key", "body", "b")
	assert.Equal(t, outcome, api.WriteOutcome_WRITE_OUTCOME_PENDING)
	l.open("entry-1")
	_, _, code := l.begin(session, "key-2", "body", "c")
	assert.Equal(t, code, resultcode.SessionUnknown)
}
