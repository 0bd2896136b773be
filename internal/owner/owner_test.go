package owner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

const (
	granted  = api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED
	full     = api.AcquireOutcome_ACQUIRE_OUTCOME_FULL
	notOwned = api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER
	noTarget = api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeClock moves only by advance. After never fires: tests call step.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) After(time.Duration) <-chan time.Time { return nil }

// fakeSource is a view that tests set.
type fakeSource struct {
	mu      sync.Mutex
	view    *session.View
	fresh   bool
	changed chan struct{}
}

func (s *fakeSource) View() *session.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSource) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

func (s *fakeSource) SessionID() uint64 { return ownSession }

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// change wakes those who wait for a change of the view.
func (s *fakeSource) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) SetDraining() {}

const (
	ownSession = 7
	holder     = 8
)

// fixture is an owner with one shard and a fake clock.
type fixture struct {
	*Owner
	clock  *fakeClock
	source *fakeSource
	shard  *api.Shard
	t      *testing.T
}

func newFixture(t *testing.T) *fixture {
	env, err := process.NewEnv(process.Config{Name: "entry-1"}, io.Discard)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = env.Close() })
	f := &fixture{
		clock:  &fakeClock{now: time.Unix(1000, 0)},
		source: &fakeSource{fresh: true, changed: make(chan struct{})},
		shard:  &api.Shard{Team: "t", Service: "llm", Region: "r"},
		t:      t,
	}
	f.setView(1, ownSession, ownSession, holder)
	f.Owner = New(Config{Source: f.source, Env: env, Clock: f.clock})
	f.step()
	f.advance(2 * time.Second) // past the take-over time
	return f
}

// setView assigns the shard to a session at an epoch.
func (f *fixture) setView(epoch, owner uint64, sessions ...uint64) {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	v := &session.View{Version: 1, Teams: map[string]session.Team{"t": {Revision: 1, Settings: &settings.Team{
		FailureDomains: map[string]settings.FailureDomain{"fd": {Region: "r"}},
		Services:       map[string]settings.Service{"llm": {Kind: settings.KindEngine, Models: []string{"m"}, Shards: 1}},
		Classes:        map[string]settings.Class{"c": {Priority: 5, QueueTimeoutMS: 10_000, MaxTokens: 1000}},
		Policy:         settings.Policy{TargetGapMS: 31, QueueLimit: 100},
	}}}}
	if f.source.view != nil {
		v.Version = f.source.view.Version + 1
	}
	v.Assignments = map[session.ShardKey]*api.Assignment{session.KeyOf(f.shard): {Shard: f.shard, OwnerSession: owner, Epoch: epoch}}
	for _, id := range sessions {
		v.Instances = append(v.Instances, &api.Instance{SessionId: id})
	}
	f.source.view = v
}

func (f *fixture) advance(d time.Duration) {
	f.clock.mu.Lock()
	f.clock.now = f.clock.now.Add(d)
	f.clock.mu.Unlock()
	f.step()
}

func (f *fixture) announce(name string) {
	r, err := f.Announce(context.Background(), &api.AnnounceRequest{Shard: f.shard, Announcement: &api.Announcement{
		Target: name, Incarnation: "i1", Address: "127.0.0.1:9000", FailureDomain: "fd", Models: []string{"m"}, MaxRunning: 8, MemoryTokens: 100_000}})
	assert.NilError(f.t, err)
	assert.Assert(f.t, !r.GetNotOwner())
}

// acquire starts a call and returns once it was answered or is queued.
func (f *fixture) acquire(wait time.Duration) <-chan *api.AcquireResponse {
	out := make(chan *api.AcquireResponse, 1)
	r := &api.AcquireRequest{Shard: f.shard, HolderSession: holder, WaitMs: uint32(wait.Milliseconds()),
		Request: &api.RequestClass{Account: "a", Model: "m", Class: "c", PromptTokens: 10, MaxTokens: 100}}
	ticket, w, refusal := f.enqueue(r)
	if refusal != nil {
		out <- refusal
		return out
	}
	go func() {
		select {
		case d := <-w.answer:
			out <- f.response(r, d)
		case <-f.t.Context().Done():
			f.abandon(r, ticket, w)
		}
	}()
	return out
}

// answer returns the answer to a call that must have been decided by now.
func (f *fixture) answer(call <-chan *api.AcquireResponse) *api.AcquireResponse {
	select {
	case r := <-call:
		return r
	case <-time.After(5 * time.Second):
		f.t.Fatal("the call was not answered")
		return nil
	}
}

// now acquires without waiting.
func (f *fixture) now() *api.AcquireResponse { return f.answer(f.acquire(0)) }

// fill takes all permits.
func (f *fixture) fill() []*api.Permit {
	var out []*api.Permit
	for range 1000 {
		r := f.now()
		if r.GetOutcome() != granted {
			return out
		}
		out = append(out, r.GetPermit())
	}
	f.t.Fatal("the shard granted without bound")
	return nil
}

func (f *fixture) release(p *api.Permit) bool {
	r, err := f.Release(context.Background(), &api.ReleaseRequest{Shard: f.shard, HolderSession: holder,
		Reason: api.ReleaseReason_RELEASE_REASON_FINISHED, Final: &api.Progress{PermitId: p.GetId(), OutputTokens: 10}})
	assert.NilError(f.t, err)
	return r.GetHeld()
}

func (f *fixture) report(permits ...*api.Permit) *api.ReportResponse {
	r := &api.ReportRequest{Shard: f.shard, HolderSession: holder}
	for _, p := range permits {
		r.Permits = append(r.Permits, &api.Progress{PermitId: p.GetId(), Target: p.GetTarget(), OutputTokens: 1, MeanGapUs: 20_000, FirstTokenMs: 50})
	}
	out, err := f.Report(context.Background(), r)
	assert.NilError(f.t, err)
	return out
}

// Guards against a waiter that is not woken when a permit frees.
// Mutation: Release does not call schedule.
func TestReleaseGrantsToWaiter(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.fill()
	assert.Assert(t, len(permits) > 0)
	waiting := f.acquire(time.Second)
	assert.Assert(t, f.release(permits[0]))
	assert.Equal(t, f.answer(waiting).GetOutcome(), granted)
	assert.Assert(t, !f.release(permits[0]), "a permit can be released once")
}

// Guards against grants on stale state. Mutation: schedule ignores Fresh.
func TestNoGrantWithoutFreshLease(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.fill()
	waiting := f.acquire(time.Second)
	f.source.fresh = false
	f.release(permits[0])
	f.advance(2 * time.Second)
	assert.Equal(t, f.answer(waiting).GetOutcome(), full)
	assert.Equal(t, f.now().GetOutcome(), notOwned)
}

// Guards against waiters that hang on a lost shard, and against permits of an
// old epoch. Mutation: drop does not call close.
func TestLostShardAnswersWaiters(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	f.fill()
	waiting := f.acquire(time.Minute)
	f.setView(2, 99, ownSession, holder, 99)
	f.step()
	assert.Equal(t, f.answer(waiting).GetOutcome(), notOwned)
	assert.Assert(t, f.report().GetNotOwner())
	_, err := f.Release(context.Background(), &api.ReleaseRequest{Shard: f.shard, HolderSession: holder})
	assert.ErrorContains(t, err, "not owned")
}

// Guards against leaked permits when the answer to Acquire was lost, and
// against reclaiming at the first report, which may have left before the grant
// arrived. Mutation: missedReports is 1, or missed is never counted.
func TestUnreportedPermitIsReclaimed(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.fill()
	f.report()
	f.report() // both within the grace of the grants
	assert.Equal(t, f.now().GetOutcome(), full)
	f.advance(time.Second)
	f.announce("e1")
	f.report(permits[1:]...)
	assert.Equal(t, f.now().GetOutcome(), full)
	f.report(permits[1:]...)
	assert.Equal(t, f.now().GetOutcome(), granted)
}

// Guards against permits of dead holders. Mutation: KeepHolders is not called.
func TestDeadHolderLosesPermits(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	n := len(f.fill())
	f.setView(1, ownSession, ownSession)
	f.step()
	assert.Equal(t, len(f.fill()), n)
}

// Guards against a silent target getting work after 3 s (P7).
// Mutation: TargetLease is not checked.
func TestSilentTargetGetsNothing(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.now().GetOutcome(), noTarget)
	f.announce("e1")
	assert.Equal(t, f.now().GetOutcome(), granted)
	f.advance(3*time.Second + time.Millisecond)
	assert.Equal(t, f.now().GetOutcome(), full)
}

// Guards against a permit that two instances hold: after Transfer the former
// holder must not cancel at the target. Mutation: Transfer keeps the holder.
func TestTransferMovesPermit(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	p := f.now().GetPermit()
	r, err := f.Transfer(context.Background(), &api.TransferRequest{Shard: f.shard, ToSession: ownSession, PermitId: p.GetId(), Target: p.GetTarget()})
	assert.NilError(t, err)
	assert.Assert(t, r.GetMoved())
	assert.Assert(t, !f.release(p))
}

// Guards against a new owner that overfills targets which still run the former
// owner's work. Mutation: Report does not take up unknown permits.
func TestTakeOverCountsReportedPermits(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	n := len(f.fill())
	f.setView(2, ownSession, ownSession, holder)
	f.step()
	f.announce("e1")
	var old []*api.Permit
	for i := range n {
		old = append(old, &api.Permit{Id: fmt.Sprintf("p1.%d", i+1), Target: "e1"})
	}
	f.report(old...)
	status, err := f.ShardStatus(context.Background(), &api.ShardStatusRequest{Shard: f.shard})
	assert.NilError(t, err)
	assert.Equal(t, int(status.GetTargets()[0].GetInFlight()), n)
	f.advance(2 * time.Second) // the take-over time is over; reports show a warm target
	status, err = f.ShardStatus(context.Background(), &api.ShardStatusRequest{Shard: f.shard})
	assert.NilError(t, err)
	assert.Equal(t, len(f.fill()), int(status.GetTargets()[0].GetLimit())-n)
}

// Guards against a caller that leaves while it waits and keeps its place or a
// permit. Mutation: abandon does nothing.
func TestAbandonedWaitLeavesNothing(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.fill()
	r := &api.AcquireRequest{Shard: f.shard, HolderSession: holder, WaitMs: 1000, Request: &api.RequestClass{Model: "m", Class: "c"}}
	for _, grantedFirst := range []bool{false, true} {
		ticket, w, _ := f.enqueue(r)
		if grantedFirst {
			f.release(permits[0])
		}
		f.abandon(r, ticket, w)
		assert.Equal(t, int(f.report(permits[1:]...).GetQueueLength()), 0)
	}
	assert.Equal(t, f.now().GetOutcome(), granted)
}

// Guards against an owner that notices a lost shard only at its next tick, and
// against goroutines or waiters left by Stop. Mutations: run does not wait for
// changes; Stop does not drop the shards.
func TestStartFollowsChangesAndStopAnswers(t *testing.T) {
	f := newFixture(t)
	f.Start() // the fake clock never ticks
	f.announce("e1")
	f.fill()
	waiting := f.acquire(time.Minute)
	f.setView(2, 99, ownSession, holder, 99)
	f.source.change()
	assert.Equal(t, f.answer(waiting).GetOutcome(), notOwned)
	// The first loss may have been seen by the first step, this one not.
	f.setView(3, ownSession, ownSession, holder)
	f.announce("e1")
	f.fill()
	waiting = f.acquire(time.Minute)
	f.setView(4, 99, ownSession, holder, 99)
	f.source.change()
	assert.Equal(t, f.answer(waiting).GetOutcome(), notOwned)
	f.setView(5, ownSession, ownSession, holder)
	f.announce("e1")
	f.fill()
	waiting = f.acquire(time.Minute)
	f.Stop()
	assert.Equal(t, f.answer(waiting).GetOutcome(), notOwned)
}
