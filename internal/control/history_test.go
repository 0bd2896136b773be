package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// history records the calls of concurrent clients for porcupine, the
// linearizability checker. A call whose outcome is unknown may take effect at
// any later time. A call that failed as "not run" must not take effect, so it
// is left out.
type history struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	unknown int
}

// errNoEffect is the error of a failed read. Like other calls without an
// effect, the read is left out of the history.
var errNoEffect = errors.New("no effect")

func (h *history) record(client int, input any, do func() (output any, err error)) {
	start := time.Now().UnixNano()
	out, err := do()
	end := time.Now().UnixNano()
	if err != nil && (err == errNoEffect || resultcode.From(resultcode.FromTwirp(err)).Execution == resultcode.NotRun) {
		return
	}
	known := err == nil
	if !known {
		out, end = nil, int64(1)<<62
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// A call with an unknown outcome gets a client id of its own, because it may
	// overlap the client's later calls.
	if !known {
		client = 1000 + len(h.ops)
		h.unknown++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Output: out, Call: start, Return: end})
}

// settingsInput is an ApplySettings call, or a ReadSettings call if id is empty.
type settingsInput struct {
	expected uint64
	id       string
}

// settingsOutput is the revision that a call returned and, for reads, the id of
// the change that made this revision.
type settingsOutput struct {
	revision uint64
	id       string
	conflict bool
}

// settingsModel is a register with a revision. Its state is the list of accepted
// change ids in order; the revision is their number.
var settingsModel = porcupine.Model{
	Init: func() any { return [32]string{} },
	Step: func(state, input, output any) (bool, any) {
		accepted, in := state.([32]string), input.(settingsInput)
		revision := uint64(0)
		for int(revision) < len(accepted) && accepted[revision] != "" {
			revision++
		}
		if in.id == "" {
			out := output.(settingsOutput)
			return out.revision == revision && (revision == 0 || out.id == accepted[revision-1]), state
		}
		want := settingsOutput{revision: revision + 1}
		next := accepted
		switch index := indexOf(accepted, in.id); {
		case index >= 0:
			want = settingsOutput{revision: uint64(index) + 1}
		case in.expected != revision:
			want = settingsOutput{conflict: true}
		default:
			next[revision] = in.id
		}
		return output == nil || output == want, next
	},
}

func indexOf(accepted [32]string, id string) int {
	for i, a := range accepted {
		if a == id {
			return i
		}
	}
	return -1
}

// Guards against lost, repeated or stale settings changes when operators race with
// the same expected revision, resend after a lost response and call partitioned
// leaders: settings must be linearizable as one register.
// Mutations that this test detects: readSettings lacks the read barrier;
// changeSettings ignores change ids; changeSettings does not check the expected
// revision.
func TestSettingsAreLinearizable(t *testing.T) {
	unknown := 0
	defer func() { assert.Assert(t, unknown > 0, "no call had an unknown outcome") }()
	for seed := range uint64(20) {
		var h history
		inBubble(t, func(ctx context.Context, t *testing.T) {
			g := startGroup(ctx, 3)
			time.Sleep(100 * time.Millisecond)
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() { runSettingsClient(ctx, g, &h, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
			}
			injectLeaderFaults(g, rand.New(rand.NewPCG(seed, 99)))
			wg.Wait()
		})
		unknown += h.unknown
		result := porcupine.CheckOperationsTimeout(settingsModel, h.ops, 5*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
	}
}

// injectLeaderFaults partitions leaders from the group and elects others.
func injectLeaderFaults(g *group, r *rand.Rand) {
	for range 4 {
		time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)
		if r.IntN(2) == 0 {
			g.partitionLeader(400*time.Millisecond, time.Duration(r.IntN(1500))*time.Millisecond)
		} else {
			g.elect(r.IntN(3))
		}
	}
}

func runSettingsClient(ctx context.Context, g *group, h *history, client int, r *rand.Rand) {
	revision := uint64(0)
	for i := range 6 {
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		s := g.servers[r.IntN(3)]
		h.record(client, settingsInput{}, func() (any, error) {
			resp, err := s.ReadSettings(ctx, &api.ReadSettingsRequest{Team: team, OperatorKey: operatorKey})
			if err != nil {
				return nil, errNoEffect
			}
			revision = resp.GetSettings().GetRevision()
			out := settingsOutput{revision: revision}
			_, _ = fmt.Sscanf(string(resp.GetSettings().GetToml()), "# %s", &out.id)
			return out, nil
		})
		in := settingsInput{expected: revision, id: fmt.Sprintf("change-%d-%d", client, i)}
		text := append([]byte("# "+in.id+"\n"), settingsText("")...)
		for range 3 { // send each call three times, as after lost responses
			s := g.servers[r.IntN(3)]
			h.record(client, in, func() (any, error) {
				resp, err := s.ApplySettings(ctx, &api.ApplySettingsRequest{
					Team: team, ExpectedRevision: in.expected, ChangeId: in.id, Toml: text, OperatorKey: operatorKey,
				})
				if e := resultcode.From(resultcode.FromTwirp(err)); e != nil && e.Code == resultcode.RevisionConflict {
					return settingsOutput{conflict: true}, nil
				}
				return settingsOutput{revision: resp.GetRevision()}, err
			})
		}
	}
}

// writeInput is an EndWrite call if end is set, and a BeginWrite call
// otherwise.
type writeInput struct {
	attempt string
	end     bool
	aborted bool
}

// writeState is the state of one idempotency key: the attempt that holds it, the
// attempt that completed, and the outcome returned to each attempt.
type writeState struct {
	holder, done string
	attempts     [24]struct {
		attempt string
		outcome api.WriteOutcome
		aborted bool
	}
	attemptCount int
}

// writeModel is the sequential specification of writes under one idempotency key.
var writeModel = porcupine.Model{
	Init: func() any { return writeState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(writeState), input.(writeInput)
		index := -1
		for i := range s.attemptCount {
			if s.attempts[i].attempt == in.attempt {
				index = i
			}
		}
		if in.end {
			ok := index >= 0 && (s.holder == in.attempt || s.done == in.attempt || s.attempts[index].aborted)
			if ok && s.holder == in.attempt {
				s.holder = ""
				if s.attempts[index].aborted = in.aborted; !in.aborted {
					s.done = in.attempt
				}
			}
			return output == nil || ok, s
		}
		want := api.WriteOutcome_WRITE_OUTCOME_NEW
		switch {
		case index >= 0 && s.done == in.attempt:
			want = api.WriteOutcome_WRITE_OUTCOME_DONE
		case index >= 0:
			want = s.attempts[index].outcome
		case s.done != "":
			want = api.WriteOutcome_WRITE_OUTCOME_DONE
		case s.holder != "":
			want = api.WriteOutcome_WRITE_OUTCOME_PENDING
		default:
			s.holder = in.attempt
		}
		if index < 0 && want != api.WriteOutcome_WRITE_OUTCOME_DONE {
			s.attempts[s.attemptCount].attempt, s.attempts[s.attemptCount].outcome = in.attempt, want
			s.attemptCount++
		}
		return output == nil || output == want, s
	},
}

// Guards against a protected write that two instances may both dispatch, when
// their calls race, responses are lost and leaders are partitioned.
// Mutations that this test detects: NEW is returned instead of PENDING; a key
// that was freed by an aborted write is not acquired again by the next attempt.
func TestWritesAreLinearizable(t *testing.T) {
	unknown := 0
	defer func() { assert.Assert(t, unknown > 0, "no call had an unknown outcome") }()
	for seed := range uint64(20) {
		var h history
		inBubble(t, func(ctx context.Context, t *testing.T) {
			g := startGroup(ctx, 3)
			_, err := g.applySettings(ctx, 0, "first", settingsText(""))
			assert.NilError(t, err)
			e := g.startEntry(ctx, "entry-1", "dakar-a", 1)
			time.Sleep(100 * time.Millisecond)
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					runWriteClient(ctx, g, &h, client, e.SessionID(), rand.New(rand.NewPCG(seed, uint64(client))))
				})
			}
			injectLeaderFaults(g, rand.New(rand.NewPCG(seed, 98)))
			wg.Wait()
		})
		unknown += h.unknown
		result := porcupine.CheckOperationsTimeout(writeModel, h.ops, 5*time.Second)
		assert.Equal(t, result, porcupine.Ok, "seed %d", seed)
	}
}

func runWriteClient(ctx context.Context, g *group, h *history, client int, session uint64, r *rand.Rand) {
	for i := range 3 {
		attempt := fmt.Sprintf("attempt-%d-%d", client, i)
		outcome := api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED
		for try := 0; try < 4 && outcome == api.WriteOutcome_WRITE_OUTCOME_UNSPECIFIED; try++ {
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
			s := g.servers[r.IntN(3)]
			h.record(client, writeInput{attempt: attempt}, func() (any, error) {
				resp, err := s.BeginWrite(ctx, &api.BeginWriteRequest{
					SessionId: session, Team: team, Account: "x", IdempotencyKey: "k", BodyHash: []byte("b"), Attempt: attempt,
				})
				outcome = resp.GetOutcome()
				return outcome, err
			})
		}
		if outcome != api.WriteOutcome_WRITE_OUTCOME_NEW {
			continue
		}
		in := writeInput{attempt: attempt, end: true, aborted: r.IntN(4) > 0}
		for range 3 { // send each call three times, as after lost responses
			s := g.servers[r.IntN(3)]
			h.record(client, in, func() (any, error) {
				_, err := s.EndWrite(ctx, &api.EndWriteRequest{
					Team: team, Account: "x", IdempotencyKey: "k", Attempt: attempt, Aborted: in.aborted,
					Answer: &api.StoredAnswer{Status: 200},
				})
				return "ended", err
			})
		}
	}
}
