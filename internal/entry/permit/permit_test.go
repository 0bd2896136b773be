package permit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeSource struct {
	view  *session.View
	stale atomic.Bool
}

func (s *fakeSource) View() *session.View      { return s.view }
func (s *fakeSource) Fresh() bool              { return !s.stale.Load() }
func (s *fakeSource) SessionID() uint64        { return 1 }
func (s *fakeSource) Changed() <-chan struct{} { return nil }
func (s *fakeSource) SetDraining()             {}

// fakeOwner grants a permit in the shards in hasFreePermit. It responds that the other
// shards are full, with the shard number as queue length.
type fakeOwner struct {
	LocalOwner
	mu            sync.Mutex
	hasFreePermit map[session.ShardKey]bool
	requests      []*api.AcquireRequest
	onAcquire     func(*api.AcquireRequest)
}

func (o *fakeOwner) Acquire(_ context.Context, r *api.AcquireRequest) (*api.AcquireResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = append(o.requests, r)
	if o.onAcquire != nil {
		o.onAcquire(r)
	}
	if o.hasFreePermit[session.KeyOf(r.GetShard())] {
		return &api.AcquireResponse{Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED, Permit: &api.Permit{Id: "p", Epoch: 1}}, nil
	}
	return &api.AcquireResponse{Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL, QueueLength: r.GetShard().GetNumber()}, nil
}

func shardKey(region string, n int) session.ShardKey {
	return session.ShardKey{Team: "t", Service: "s", Region: region, Number: uint32(n)}
}

func newTestAcquirer(shards int, regions ...string) (*Acquirer, *fakeOwner, *fakeSource) {
	s := &fakeSource{view: &session.View{Assignments: map[session.ShardKey]*api.Assignment{}}}
	for _, r := range regions {
		for n := range shards {
			s.view.Assignments[shardKey(r, n)] = &api.Assignment{OwnerSession: 1, Epoch: 1}
		}
	}
	o := &fakeOwner{hasFreePermit: map[session.ShardKey]bool{}}
	timing := Timing{ReportInterval: time.Second, CallTimeout: time.Second, QueueSlice: 10 * time.Millisecond, RecheckInterval: time.Millisecond, NoTargetGrace: time.Millisecond}
	owners := NewOwners(s, o, nil)
	return NewAcquirer(s, owners, NewRegistry(s, owners, timing, tally.NoopScope), timing, tally.NoopScope), o, s
}

// newRequirements returns the requirements of a request that waits at most 50 ms.
func newRequirements(shards int, regions ...string) Requirements {
	now := time.Now()
	return Requirements{Team: "t", Service: "s", Shards: shards, Regions: regions, Request: &api.RequestClass{}, Started: now, Deadline: now.Add(50 * time.Millisecond)}
}

// Guards against a request that waits although a shard has a free permit. The shard must
// be found, even if there are many shards and the known loads are outdated.
func TestAcquireFindsShardWithFreePermit(t *testing.T) {
	const shards = 32
	for n := range shards {
		a, o, _ := newTestAcquirer(shards, "home")
		o.hasFreePermit[shardKey("home", n)] = true
		req := newRequirements(shards, "home")
		req.Deadline = req.Started.Add(10 * time.Second)
		held, err := a.Acquire(context.Background(), req)
		assert.NilError(t, err)
		assert.Equal(t, held.Shard, shardKey("home", n))
	}
}

// Guards against needless cross-region traffic: another region may be used only if the
// home region is full and the cross-region budget allows it.
func TestOtherRegionOnlyWhenFullAndWithinBudget(t *testing.T) {
	for _, c := range []struct {
		homeHasPermit, crossRegionAllowed bool
		want                              string
	}{{true, true, "home"}, {false, true, "away"}, {false, false, ""}} {
		a, o, _ := newTestAcquirer(1, "home", "away")
		o.hasFreePermit[shardKey("home", 0)], o.hasFreePermit[shardKey("away", 0)] = c.homeHasPermit, true
		req := newRequirements(1, "home", "away")
		req.CrossRegionAllowed = func() bool { return c.crossRegionAllowed }
		held, err := a.Acquire(context.Background(), req)
		if c.want == "" {
			assert.Equal(t, resultcode.From(err).Code, resultcode.DeadlineExceeded)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, held.Shard.Region, c.want)
	}
}

// Guards against a waiting request that joins a longer queue than necessary, loses its
// waiting time from one queue slice to the next, or continues to wait after the
// freshness lease has ended.
func TestAcquireQueuesInSlices(t *testing.T) {
	a, o, s := newTestAcquirer(3, "home")
	slices := 0
	o.onAcquire = func(r *api.AcquireRequest) {
		if r.GetWaitMs() > 0 {
			time.Sleep(time.Duration(r.GetWaitMs()) * time.Millisecond) // simulates the wait in the owner's queue
			if slices++; slices == 3 {
				s.stale.Store(true)
			}
		}
	}
	req := newRequirements(3, "home")
	req.Deadline = req.Started.Add(10 * time.Second)
	_, err := a.Acquire(context.Background(), req)
	assert.Equal(t, resultcode.From(err).Code, resultcode.NoFreshLease)
	assert.Equal(t, resultcode.From(err).Execution, resultcode.NotRun)
	last := uint32(0)
	for _, r := range o.requests {
		assert.Assert(t, r.GetWaitedMs() >= last)
		last = r.GetWaitedMs()
		assert.Assert(t, r.GetWaitMs() == 0 || r.GetShard().GetNumber() == 0, "queued at a longer queue")
	}
	assert.Equal(t, slices, 3)
}

// Guards against stopping running streams when this instance opens a new session: the
// owner still lists their permits under the old session, which must not be treated as
// a move to another instance.
func TestNewSessionIsNotReportedAsMove(t *testing.T) {
	a, _, _ := newTestAcquirer(1, "home")
	key := shardKey("home", 0)
	a.registry.Add(key, &api.Permit{Id: "p", Epoch: 1}, nil, time.Now())
	now := time.Now()
	movedAfterReport := func(session uint64, ids ...string) int {
		request := &api.ReportRequest{HolderSession: session, Permits: []*api.Progress{{PermitId: "p"}}}
		return len(a.registry.applyReport(key, request, &api.ReportResponse{MovedPermits: ids}, now))
	}
	assert.Equal(t, movedAfterReport(1), 0)
	assert.Equal(t, movedAfterReport(2, "p"), 0) // the owner still lists the permit under session 1
	assert.Equal(t, movedAfterReport(2), 0)      // the owner now lists the permit under session 2
	assert.Equal(t, movedAfterReport(2, "p"), 1)
	// Another instance took the permit before session 3 began: the owner still
	// lists it under another session after session 2 must have ended.
	assert.Equal(t, movedAfterReport(3, "p"), 0)
	now = now.Add(oldSessionTimeout + 1)
	assert.Equal(t, movedAfterReport(3, "p"), 1)
}

// Guards against a retry storm: in any sequence of requests and retries, the retries
// must not exceed the percentage of requests plus the reserve.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget(tally.NoopScope)
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				requests++
				b.Earn("t", percent)
			} else if b.Take("t", percent) {
				retries++
			}
		}
		if percent == 0 && retries > 0 || float64(retries) > float64(requests)*float64(percent)/100+retryReserve {
			t.Fatalf("%d retries of %d requests at %d %%", retries, requests, percent)
		}
	})
}

// Guards against exceeding the cross-region rate. Once the balance is negative, no new
// work may be sent until the rate has made the balance positive again.
func TestLinkBudgetLimitsRate(t *testing.T) {
	b := NewLinkBudget(tally.NoopScope)
	now := time.Unix(1000, 0)
	assert.Assert(t, b.Positive(now, "t", 1000))
	b.Spend(now, "t", 1000, 3000)
	assert.Assert(t, !b.Positive(now.Add(1900*time.Millisecond), "t", 1000))
	assert.Assert(t, b.Positive(now.Add(2100*time.Millisecond), "t", 1000))
	b.Spend(now.Add(time.Hour), "t", 1000, 1001)
	assert.Assert(t, !b.Positive(now.Add(time.Hour), "t", 1000)) // the balance is at most one burst
	assert.Assert(t, b.Positive(now.Add(time.Hour), "u", 1000))  // each team has its own balance
}
