package state_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

const team = "balle-sahel"

var keyDigest = peerauth.Digest("operator-key-of-balle-sahel")

// settingsText returns valid settings with the given operator key digest and
// policy values.
func settingsText(operator string, replayHours, loads int) []byte {
	return fmt.Appendf(nil, `team = %q
operator_key_sha256 = [%q]
[failure_domains.dakar-a]
region = "dakar"
[services.engines]
kind = "engine"
models = ["appraiser"]
target_key_sha256 = [%q]
[policy]
replay_hours = %d
max_concurrent_loads = %d
`, team, operator, keyDigest, replayHours, loads)
}

// testLog applies commands to a Machine. index is the last applied log index and
// now is the proposer's time of the next command.
type testLog struct {
	*state.Machine
	index uint64
	now   time.Time
}

func newTestLog() *testLog {
	return &testLog{Machine: state.New(), now: time.UnixMilli(1_800_000_000_000)}
}

func (l *testLog) apply(body *api.StateCommand) command.Result {
	l.index++
	encoded, err := command.Encode(l.now, body)
	if err != nil {
		panic(err)
	}
	return l.Apply(l.index, encoded).(command.Result)
}

func (l *testLog) changeSettings(id string, expected uint64, operator string, toml []byte) (*api.ApplySettingsResponse, resultcode.Code) {
	r := l.apply(&api.StateCommand{Body: &api.StateCommand_ChangeSettings{ChangeSettings: &api.ChangeSettings{
		Team: team, ChangeId: id, ExpectedRevision: expected, Toml: toml, OperatorKeySha256: operator,
	}}})
	m, _ := r.Message.(*api.ApplySettingsResponse)
	return m, codeOf(r)
}

func codeOf(r command.Result) resultcode.Code {
	if r.Err == nil {
		return 0
	}
	return r.Err.Code
}

// newLogWithTeam returns a log with a team and one open session, and the session's
// id.
func newLogWithTeam(replayHours, loads int) (*testLog, uint64) {
	l := newTestLog()
	if _, code := l.changeSettings("first", 0, keyDigest, settingsText(keyDigest, replayHours, loads)); code != 0 {
		panic(code)
	}
	return l, l.openSession("entry-1")
}

func (l *testLog) openSession(name string) uint64 {
	r := l.apply(&api.StateCommand{Body: &api.StateCommand_OpenSession{OpenSession: &api.OpenSessionRequest{Instance: &api.Instance{
		Name: name, Incarnation: "i", Region: "dakar", FailureDomain: "dakar-a", Address: "127.0.0.1:7201",
	}}}})
	return r.Message.(*api.OpenSessionResponse).GetSessionId()
}

// Guards against a resent change that is applied twice or refused: an operator
// who got no response may resend a change hundreds of changes later.
// Mutation that this test detects: maxChangeIDs = 4095.
func TestResentChangeGetsItsOriginalResult(t *testing.T) {
	l := newTestLog()
	a, b := settingsText(keyDigest, 1, 1), settingsText(keyDigest, 2, 1)
	first, code := l.changeSettings("change-0", 0, keyDigest, a)
	assert.Equal(t, code, resultcode.Code(0))
	for i := uint64(1); i < 4096; i++ {
		r, code := l.changeSettings(fmt.Sprint("change-", i), i, keyDigest, a)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, r.GetRevision(), i+1)
	}
	again, code := l.changeSettings("change-0", 0, keyDigest, a)
	assert.Equal(t, code, resultcode.Code(0))
	assert.Equal(t, again.GetRevision(), first.GetRevision())
	assert.Equal(t, again.GetVersion(), first.GetVersion())
	assert.Assert(t, again.GetReplayed())
	_, code = l.changeSettings("change-0", 4096, keyDigest, b)
	assert.Equal(t, code, resultcode.ChangeIDReused)
}

// Guards against accepting two changes with the same expected revision, and
// against a revision that skips a number or decreases.
// Mutation that this test detects: changeSettings does not check the expected
// revision.
func TestOneAcceptedChangePerRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLog()
		winners := map[uint64]string{}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			expected := rapid.Uint64Range(0, 6).Draw(t, "expected")
			id := fmt.Sprint("change-", i)
			r, code := l.changeSettings(id, expected, keyDigest, settingsText(keyDigest, 1+i, 1))
			if code != 0 {
				assert.Equal(t, code, resultcode.RevisionConflict)
				continue
			}
			assert.Equal(t, r.GetRevision(), expected+1)
			assert.Equal(t, winners[r.GetRevision()], "")
			assert.Equal(t, int(r.GetRevision()), len(winners)+1)
			winners[r.GetRevision()] = id
		}
	})
}

// Guards against accepting a change that passed the leader's checks but is
// invalid when it is applied: its operator key was removed, or its content is
// not valid.
// Mutations that this test detects: changeSettings does not call
// checkOperatorKey; it does not call ParseTeamSettings.
func TestChangeIsCheckedAgainWhenApplied(t *testing.T) {
	l := newTestLog()
	otherDigest := peerauth.Digest("another-key-of-balle-sahel")
	_, code := l.changeSettings("a", 0, keyDigest, settingsText(keyDigest, 1, 1))
	assert.Equal(t, code, resultcode.Code(0))
	_, code = l.changeSettings("b", 1, keyDigest, settingsText(otherDigest, 1, 1))
	assert.Equal(t, code, resultcode.Code(0))
	_, code = l.changeSettings("c", 2, keyDigest, settingsText(keyDigest, 1, 1))
	assert.Equal(t, code, resultcode.Unauthenticated)
	_, code = l.changeSettings("d", 2, otherDigest, []byte("team = \"balle-sahel\"\nunknown = 1\n"))
	assert.Equal(t, code, resultcode.SettingsUnknownKey)
	l.Read(func(s *model.State) { assert.Equal(t, s.Teams[team].Revision, uint64(2)) })
}

// Guards against more concurrent weight loads than the team has slots, a slot
// that is never freed after its owner dies, and a former owner that takes a
// target's slot back.
// Mutations that this test detects: acquireLoad does not call
// dropExpiredModelLoads; it does not check the epoch.
func TestModelLoadSlots(t *testing.T) {
	l, s1 := newLogWithTeam(24, 2)
	epoch := l.assignFirstShard(s1, 0, 0)
	acquire := func(session, epoch uint64, target string) (bool, resultcode.Code) {
		r := l.apply(&api.StateCommand{Body: &api.StateCommand_AcquireLoad{AcquireLoad: &api.AcquireLoadRequest{
			SessionId: session, Team: team, Target: target, Epoch: epoch,
		}}})
		m, _ := r.Message.(*api.AcquireLoadResponse)
		return m.GetGranted(), codeOf(r)
	}
	for target, want := range map[string]bool{"a": true, "b": true} {
		granted, _ := acquire(s1, epoch, target)
		assert.Equal(t, granted, want)
	}
	granted, _ := acquire(s1, epoch, "c")
	assert.Assert(t, !granted, "two slots, three targets")
	l.apply(&api.StateCommand{Body: &api.StateCommand_EndSession{EndSession: &api.EndSession{SessionId: s1}}})
	s2 := l.openSession("entry-2")
	newEpoch := l.assignFirstShard(s2, epoch, 0)
	granted, _ = acquire(s2, newEpoch, "c")
	assert.Assert(t, !granted, "targets continue to load when their owner dies")
	granted, _ = acquire(s2, newEpoch, "a")
	assert.Assert(t, granted, "the new owner takes the slot over")
	_, code := acquire(s2, epoch, "a")
	assert.Equal(t, code, resultcode.StaleEpoch, "s2 never owned a shard at this epoch")
	newer := l.assignShard(1, s2, 0, 0)
	granted, _ = acquire(s2, newer, "a")
	assert.Assert(t, granted)
	_, code = acquire(s2, newEpoch, "a")
	assert.Equal(t, code, resultcode.StaleEpoch, "the slot has a newer epoch")
	l.now = l.now.Add(command.ModelLoadLease)
	granted, _ = acquire(s2, newEpoch, "c")
	assert.Assert(t, granted, "the dead owner's slot has expired")
}

func (l *testLog) assignFirstShard(owner, expected, released uint64) uint64 {
	return l.assignShard(0, owner, expected, released)
}

func (l *testLog) assignShard(number uint32, owner, expected, released uint64) uint64 {
	r := l.apply(&api.StateCommand{Body: &api.StateCommand_ChangeAssignments{ChangeAssignments: &api.ChangeAssignments{
		Changes: []*api.AssignmentChange{{
			Shard:         &api.Shard{Team: team, Service: "engines", Region: "dakar", Number: number},
			ExpectedEpoch: expected,
			Action: &api.AssignmentChange_Assign_{Assign: &api.AssignmentChange_Assign{
				OwnerSession: owner, ReleasedSession: released,
			}},
		}},
	}}})
	if r.Message.(*api.ChangeAssignmentsResult).GetApplied() == 0 {
		return 0
	}
	return l.index
}

// randomCommand returns a random command with few distinct values, so that commands
// are often valid.
func randomCommand(t *rapid.T) *api.StateCommand {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	id := rapid.SampledFrom([]uint64{2, 2, 2, 2, 0, 1, 3, 4, 5, 6, 7, 8}) // 2 is the id of the session that newLogWithTeam opens
	shard := &api.Shard{Team: team, Service: "engines", Region: "dakar", Number: uint32(rapid.IntRange(0, 2).Draw(t, "shard"))}
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return &api.StateCommand{Body: &api.StateCommand_ChangeSettings{ChangeSettings: &api.ChangeSettings{
			Team: team, ChangeId: name.Draw(t, "id"), ExpectedRevision: id.Draw(t, "revision"), OperatorKeySha256: keyDigest,
			Toml: settingsText(keyDigest, rapid.IntRange(0, 3).Draw(t, "hours"), 1),
		}}}
	case 1:
		return &api.StateCommand{Body: &api.StateCommand_OpenSession{OpenSession: &api.OpenSessionRequest{Instance: &api.Instance{
			Name: name.Draw(t, "name"), Incarnation: "i", Region: "dakar", FailureDomain: "dakar-a", Address: "127.0.0.1:1",
		}}}}
	case 2:
		return &api.StateCommand{Body: &api.StateCommand_EndSession{EndSession: &api.EndSession{SessionId: rapid.Uint64Range(2, 40).Draw(t, "session")}}}
	case 3:
		return &api.StateCommand{Body: &api.StateCommand_DrainSession{DrainSession: &api.DrainSession{SessionId: id.Draw(t, "session")}}}
	case 4:
		return &api.StateCommand{Body: &api.StateCommand_ChangeAssignments{ChangeAssignments: &api.ChangeAssignments{
			Changes: []*api.AssignmentChange{{Shard: shard, ExpectedEpoch: id.Draw(t, "epoch"), Action: &api.AssignmentChange_Assign_{
				Assign: &api.AssignmentChange_Assign{OwnerSession: id.Draw(t, "owner"), ReleasedSession: id.Draw(t, "released")},
			}}, {Shard: shard, ExpectedEpoch: id.Draw(t, "epoch"), Action: &api.AssignmentChange_Revoke_{}}},
		}}}
	case 5:
		return &api.StateCommand{Body: &api.StateCommand_BeginWrite{BeginWrite: &api.BeginWriteRequest{
			SessionId: id.Draw(t, "session"), Team: team, Account: "x", IdempotencyKey: name.Draw(t, "key"),
			BodyHash: []byte(name.Draw(t, "body")), Attempt: name.Draw(t, "attempt"),
		}}}
	case 6:
		return &api.StateCommand{Body: &api.StateCommand_EndWrite{EndWrite: &api.EndWriteRequest{
			Team: team, Account: "x", IdempotencyKey: name.Draw(t, "key"), Attempt: name.Draw(t, "attempt"),
			Aborted: rapid.Bool().Draw(t, "aborted"), Answer: &api.StoredAnswer{Status: 200},
		}}}
	case 7:
		return &api.StateCommand{Body: &api.StateCommand_AcquireLoad{AcquireLoad: &api.AcquireLoadRequest{
			SessionId: id.Draw(t, "session"), Team: team, Target: name.Draw(t, "target"), Epoch: id.Draw(t, "epoch"),
		}}}
	}
	return &api.StateCommand{Body: &api.StateCommand_ReleaseLoad{ReleaseLoad: &api.ReleaseLoadRequest{
		SessionId: id.Draw(t, "session"), Team: team, Target: name.Draw(t, "target"),
	}}}
}

// Guards against state that is missing from snapshots and against replicas that
// diverge: a machine restored from a snapshot in the middle of the log must end
// in the same state.
// Mutation that this test detects: a write's snapshot omits Attempts.
func TestRestoredMachineConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, _ := newLogWithTeam(1, 1)
		restored := &testLog{Machine: state.New(), now: l.now}
		n := rapid.IntRange(1, 60).Draw(t, "commands")
		snapshotAt := rapid.IntRange(0, n-1).Draw(t, "snapshot at")
		for i := range n {
			if i == snapshotAt {
				restored.index = l.index
				snapshot, err := l.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, restored.Restore(snapshot))
			}
			l.now = l.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 20}).Draw(t, "minutes")) * time.Minute)
			restored.now = l.now
			c := randomCommand(t)
			want := l.apply(c)
			if i < snapshotAt {
				continue
			}
			got := restored.apply(c)
			assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
		}
		a, errA := l.Snapshot()
		b, errB := restored.Snapshot()
		assert.NilError(t, errA)
		assert.NilError(t, errB)
		assert.Assert(t, bytes.Equal(a, b), "states differ")
	})
}

// Guards against a replica that panics on a malformed command, and against a
// command after which the state cannot be restored from its snapshot.
func FuzzApply(f *testing.F) {
	for _, c := range []*api.StateCommand{
		{Body: &api.StateCommand_ChangeAssignments{ChangeAssignments: &api.ChangeAssignments{Changes: []*api.AssignmentChange{{}}}}},
		{Body: &api.StateCommand_OpenSession{OpenSession: &api.OpenSessionRequest{}}},
		{Body: &api.StateCommand_BeginWrite{BeginWrite: &api.BeginWriteRequest{SessionId: 2, Team: team, Account: "x", IdempotencyKey: "k", BodyHash: []byte{1}, Attempt: "a"}}},
		{Body: &api.StateCommand_EndWrite{EndWrite: &api.EndWriteRequest{Team: team, Account: "x", IdempotencyKey: "k", Attempt: "a"}}},
		{Body: &api.StateCommand_ChangeSettings{ChangeSettings: &api.ChangeSettings{Team: team, ChangeId: "c", ExpectedRevision: 1, OperatorKeySha256: keyDigest, Toml: settingsText(keyDigest, 2, 2)}}},
	} {
		encoded, err := command.Encode(time.UnixMilli(1), c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		l, _ := newLogWithTeam(1, 1)
		r, ok := l.Apply(l.index+1, data).(command.Result)
		assert.Assert(t, ok && (r.Err != nil) != (r.Message != nil))
		snapshot, err := l.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, state.New().Restore(snapshot))
	})
}
