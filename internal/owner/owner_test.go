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

// fakeClock advances only through fixture.advance. After never fires; tests call
// updateShards instead.
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

// fakeSource returns the view and the lease state that the test has set.
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

// signalChange closes the channel that Changed has returned, which signals a new
// view.
func (s *fakeSource) signalChange() {
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

// newFixture returns a fixture that owns its shard at epoch 1 and whose takeover
// period has ended.
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
	f.updateShards()
	f.advance(2 * time.Second) // end the takeover period, in which fewer requests are admitted
	return f
}

// setView sets a view that assigns the shard to the session owner at the given
// epoch. sessions lists the live sessions.
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
	f.updateShards()
}

// announce announces a target with room for 8 requests.
func (f *fixture) announce(name string) {
	r, err := f.Announce(context.Background(), &api.AnnounceRequest{Shard: f.shard, Announcement: &api.Announcement{
		Target: name, Incarnation: "i1", Address: "127.0.0.1:9000", FailureDomain: "fd", Models: []string{"m"}, MaxRunning: 8, MemoryTokens: 100_000}})
	assert.NilError(f.t, err)
	assert.Assert(f.t, !r.GetNotOwner())
}

// acquire starts an Acquire call and returns once the request is refused or
// queued. The channel yields the response.
func (f *fixture) acquire(wait time.Duration) <-chan *api.AcquireResponse {
	out := make(chan *api.AcquireResponse, 1)
	r := &api.AcquireRequest{Shard: f.shard, HolderSession: holder, WaitMs: uint32(wait.Milliseconds()),
		Request: &api.RequestClass{Account: "a", Model: "m", Class: "c", PromptTokens: 10, MaxTokens: 100}}
	ticket, w, refusal := f.enqueueRequest(r)
	if refusal != nil {
		out <- refusal
		return out
	}
	go func() {
		select {
		case d := <-w.decision:
			out <- f.acquireResponse(r, d)
		case <-f.t.Context().Done():
			f.abandonRequest(r, ticket, w)
		}
	}()
	return out
}

// awaitResponse returns the response of a call that must already be decided.
func (f *fixture) awaitResponse(call <-chan *api.AcquireResponse) *api.AcquireResponse {
	select {
	case r := <-call:
		return r
	case <-time.After(5 * time.Second):
		f.t.Fatal("the call was not answered")
		return nil
	}
}

// acquireNow calls Acquire with a wait of 0.
func (f *fixture) acquireNow() *api.AcquireResponse { return f.awaitResponse(f.acquire(0)) }

// acquireAll acquires permits until a request is refused.
func (f *fixture) acquireAll() []*api.Permit {
	var out []*api.Permit
	for range 1000 {
		r := f.acquireNow()
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

// Guards against a waiter that receives no permit when one is released.
// Mutation that this test detects: Release does not call schedule.
func TestReleaseGrantsToWaiter(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.acquireAll()
	assert.Assert(t, len(permits) > 0)
	waiting := f.acquire(time.Second)
	assert.Assert(t, f.release(permits[0]))
	assert.Equal(t, f.awaitResponse(waiting).GetOutcome(), granted)
	assert.Assert(t, !f.release(permits[0]), "a permit can be released once")
}

// Guards against permits for incarnations that have asked the holder for no requests or said
// to any instance that they leave, and against none for the next ones.
func TestStatementsConcernOneIncarnation(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	acquire := func(incarnation string) api.AcquireOutcome {
		r, err := f.Acquire(context.Background(), &api.AcquireRequest{
			Shard: f.shard, HolderSession: holder, Request: &api.RequestClass{Account: "a", Model: "m", Class: "c", PromptTokens: 10, MaxTokens: 100},
			ExcludeIncarnations: []*api.TargetIncarnation{{Target: "e1", Incarnation: incarnation}, {Target: "e2", Incarnation: "i1"}},
		})
		assert.NilError(t, err)
		return r.GetOutcome()
	}
	assert.Equal(t, acquire("i0"), granted)
	assert.Equal(t, acquire("i1"), api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET)
	_, err := f.RecordLeaving(context.Background(), &api.RecordLeavingRequest{Shard: f.shard, Target: &api.TargetIncarnation{Target: "e1", Incarnation: "i1"}})
	assert.NilError(t, err)
	f.announce("e1")
	assert.Equal(t, acquire("i0"), api.AcquireOutcome_ACQUIRE_OUTCOME_FULL, "it leaves; another one may come")
}

// Guards against grants after the freshness lease has expired.
// Mutation that this test detects: mayStartWork ignores Fresh.
func TestNoGrantWithoutFreshLease(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.acquireAll()
	waiting := f.acquire(time.Second)
	f.source.fresh = false
	f.release(permits[0])
	f.advance(2 * time.Second)
	assert.Equal(t, f.awaitResponse(waiting).GetOutcome(), full)
	assert.Equal(t, f.acquireNow().GetOutcome(), notOwned)
}

// Guards against waiters that hang after the shard was assigned to another
// session, and against permits of the old epoch that are still granted, reported
// or released.
// Mutation that this test detects: dropShard does not call close.
func TestLostShardAnswersWaiters(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	f.acquireAll()
	waiting := f.acquire(time.Minute)
	f.setView(2, 99, ownSession, holder, 99)
	f.updateShards()
	assert.Equal(t, f.awaitResponse(waiting).GetOutcome(), notOwned)
	assert.Assert(t, f.report().GetNotOwner())
	_, err := f.Release(context.Background(), &api.ReleaseRequest{Shard: f.shard, HolderSession: holder})
	assert.ErrorContains(t, err, "not owned")
}

// Guards against a permit that is never reclaimed because the response to Acquire
// was lost, and against reclaiming a permit at the first report without it, which
// the holder may have sent before it received the grant.
// Mutations that this test detects: reclaimAfterMisses is 1; missedReports is
// never incremented.
func TestUnreportedPermitIsReclaimed(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.acquireAll()
	f.report()
	f.report() // both reports fall in the grace period of the grants and reclaim nothing
	assert.Equal(t, f.acquireNow().GetOutcome(), full)
	f.advance(time.Second)
	f.announce("e1")
	f.report(permits[1:]...)
	assert.Equal(t, f.acquireNow().GetOutcome(), full)
	f.report(permits[1:]...)
	assert.Equal(t, f.acquireNow().GetOutcome(), granted)
}

// Guards against permits that stay with holders whose session has ended.
// Mutation that this test detects: ReclaimFromEndedSessions is not called.
func TestPermitsOfEndedSessionAreReclaimed(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	n := len(f.acquireAll())
	f.setView(1, ownSession, ownSession)
	f.updateShards()
	assert.Equal(t, len(f.acquireAll()), n)
}

// Guards against permits for a target that has been silent for more than 3 s.
// Mutation that this test detects: TargetLease is not checked.
func TestSilentTargetGetsNoPermits(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.acquireNow().GetOutcome(), noTarget)
	f.announce("e1")
	assert.Equal(t, f.acquireNow().GetOutcome(), granted)
	f.advance(3*time.Second + time.Millisecond)
	assert.Equal(t, f.acquireNow().GetOutcome(), full)
}

// Guards against a permit that two instances hold. After Transfer the former
// holder must not cancel the generation at the target.
// Mutation that this test detects: Transfer keeps the holder.
func TestTransferMovesPermit(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	p := f.acquireNow().GetPermit()
	r, err := f.Transfer(context.Background(), &api.TransferRequest{Shard: f.shard, ToSession: ownSession, PermitId: p.GetId(), Target: p.GetTarget()})
	assert.NilError(t, err)
	assert.Assert(t, r.GetMoved())
	assert.Assert(t, !f.release(p))
}

// Guards against a new owner that overloads targets because it does not count
// the generations that the former owner permitted.
// Mutation that this test detects: Report does not adopt unknown permits.
func TestNewOwnerCountsReportedPermits(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	n := len(f.acquireAll())
	f.setView(2, ownSession, ownSession, holder)
	f.updateShards()
	f.announce("e1")
	var formerPermits []*api.Permit
	for i := range n {
		formerPermits = append(formerPermits, &api.Permit{Id: fmt.Sprintf("p1.%d", i+1), Target: "e1"})
	}
	f.report(formerPermits...)
	status, err := f.ShardStatus(context.Background(), &api.ShardStatusRequest{Shard: f.shard})
	assert.NilError(t, err)
	assert.Equal(t, int(status.GetTargets()[0].GetInFlight()), n)
	f.advance(2 * time.Second) // the takeover period has ended, and the reports have shown that the target is warm
	status, err = f.ShardStatus(context.Background(), &api.ShardStatusRequest{Shard: f.shard})
	assert.NilError(t, err)
	assert.Equal(t, len(f.acquireAll()), int(status.GetTargets()[0].GetLimit())-n)
}

// Guards against a request that keeps its place in the queue, or a permit, after
// its caller has cancelled it.
// Mutation that this test detects: abandonRequest does nothing.
func TestAbandonedWaitKeepsNoPlaceOrPermit(t *testing.T) {
	f := newFixture(t)
	f.announce("e1")
	permits := f.acquireAll()
	r := &api.AcquireRequest{Shard: f.shard, HolderSession: holder, WaitMs: 1000, Request: &api.RequestClass{Model: "m", Class: "c"}}
	for _, grantedFirst := range []bool{false, true} {
		ticket, w, _ := f.enqueueRequest(r)
		if grantedFirst {
			f.release(permits[0])
		}
		f.abandonRequest(r, ticket, w)
		assert.Equal(t, int(f.report(permits[1:]...).GetQueueLength()), 0)
	}
	assert.Equal(t, f.acquireNow().GetOutcome(), granted)
}

// Guards against an owner that detects a lost shard only at its next tick, and
// against goroutines or waiters that outlive Stop.
// Mutations that this test detects: run does not wait for changes; Stop does
// not drop the shards.
func TestViewChangeAppliesWithoutTickAndStopAnswersWaiters(t *testing.T) {
	f := newFixture(t)
	f.Start() // without periodic ticks: After of the fake clock never fires
	f.announce("e1")
	f.acquireAll()
	waiting := f.acquire(time.Minute)
	f.setView(2, 99, ownSession, holder, 99)
	f.source.signalChange()
	assert.Equal(t, f.awaitResponse(waiting).GetOutcome(), notOwned)
	// The first iteration of run may have applied the view above even without
	// the signal. The next change is detected only through Changed.
	f.setView(3, ownSession, ownSession, holder)
	f.announce("e1")
	f.acquireAll()
	waiting = f.acquire(time.Minute)
	f.setView(4, 99, ownSession, holder, 99)
	f.source.signalChange()
	assert.Equal(t, f.awaitResponse(waiting).GetOutcome(), notOwned)
	f.setView(5, ownSession, ownSession, holder)
	f.announce("e1")
	f.acquireAll()
	waiting = f.acquire(time.Minute)
	f.Stop()
	assert.Equal(t, f.awaitResponse(waiting).GetOutcome(), notOwned)
}
