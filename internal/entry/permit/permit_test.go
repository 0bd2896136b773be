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

type source struct {
	view  *session.View
	stale atomic.Bool
}

func (s *source) View() *session.View      { return s.view }
func (s *source) Fresh() bool              { return !s.stale.Load() }
func (s *source) SessionID() uint64        { return 1 }
func (s *source) Changed() <-chan struct{} { return nil }
func (s *source) SetDraining()             {}

// owner answers each Acquire by the shard's script; the default is FULL.
type owner struct {
	Local
	mu    sync.Mutex
	grant map[session.ShardKey]bool
	asked []*api.AcquireRequest
	hook  func(*api.AcquireRequest)
}

func (o *owner) Acquire(_ context.Context, r *api.AcquireRequest) (*api.AcquireResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, r)
	if o.hook != nil {
		o.hook(r)
	}
	if o.grant[session.KeyOf(r.GetShard())] {
		return &api.AcquireResponse{Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED, Permit: &api.Permit{Id: "p", Epoch: 1}}, nil
	}
	return &api.AcquireResponse{Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL, QueueLength: r.GetShard().GetNumber()}, nil
}

func shard(region string, n int) session.ShardKey {
	return session.ShardKey{Team: "t", Service: "s", Region: region, Number: uint32(n)}
}

func newAcquirer(shards int, regions ...string) (*Acquirer, *owner, *source) {
	s := &source{view: &session.View{Assignments: map[session.ShardKey]*api.Assignment{}}}
	for _, r := range regions {
		for n := range shards {
			s.view.Assignments[shard(r, n)] = &api.Assignment{OwnerSession: 1, Epoch: 1}
		}
	}
	o := &owner{grant: map[session.ShardKey]bool{}}
	timing := Timing{Report: time.Second, Call: time.Second, Slice: 10 * time.Millisecond, Recheck: time.Millisecond, Settle: time.Millisecond}
	owners := NewOwners(s, o, nil)
	return NewAcquirer(s, owners, NewBook(s, owners, timing, tally.NoopScope), timing, tally.NoopScope), o, s
}

func want(shards int, regions ...string) Wanted {
	now := time.Now()
	return Wanted{Team: "t", Service: "s", Shards: shards, Regions: regions, Request: &api.RequestClass{}, Started: now, Deadline: now.Add(50 * time.Millisecond)}
}

// Guards work conservation: capacity in any of the shards is found, however
// many there are and whatever old hints say.
func TestFindsTheShardWithRoom(t *testing.T) {
	const shards = 32
	for n := range shards {
		a, o, _ := newAcquirer(shards, "home")
		o.grant[shard("home", n)] = true
		w := want(shards, "home")
		w.Deadline = w.Started.Add(10 * time.Second)
		held, err := a.Acquire(context.Background(), w)
		assert.NilError(t, err)
		assert.Equal(t, held.Shard, shard("home", n))
	}
}

// Guards the order of regions: another region gets work only when the home
// region is full and the link's budget has room.
func TestOtherRegionOnlyWhenFullAndWithinBudget(t *testing.T) {
	for _, c := range []struct {
		home, across bool
		want         string
	}{{true, true, "home"}, {false, true, "away"}, {false, false, ""}} {
		a, o, _ := newAcquirer(1, "home", "away")
		o.grant[shard("home", 0)], o.grant[shard("away", 0)] = c.home, true
		w := want(1, "home", "away")
		w.Across = func() bool { return c.across }
		held, err := a.Acquire(context.Background(), w)
		if c.want == "" {
			assert.Equal(t, resultcode.From(err).Code, resultcode.DeadlineExceeded)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, held.Shard.Region, c.want)
	}
}

// Guards a waiting request: it queues at the shortest queue, keeps its waiting
// time over slices, and stops as soon as the lease ends.
func TestQueuesInSlices(t *testing.T) {
	a, o, s := newAcquirer(3, "home")
	slices := 0
	o.hook = func(r *api.AcquireRequest) {
		if r.GetWaitMs() > 0 {
			time.Sleep(time.Duration(r.GetWaitMs()) * time.Millisecond) // the owner's queue
			if slices++; slices == 3 {
				s.stale.Store(true)
			}
		}
	}
	w := want(3, "home")
	w.Deadline = w.Started.Add(10 * time.Second)
	_, err := a.Acquire(context.Background(), w)
	assert.Equal(t, resultcode.From(err).Code, resultcode.NoFreshLease)
	assert.Equal(t, resultcode.From(err).Execution, resultcode.NotRun)
	last := uint32(0)
	for _, r := range o.asked {
		assert.Assert(t, r.GetWaitedMs() >= last)
		last = r.GetWaitedMs()
		assert.Assert(t, r.GetWaitMs() == 0 || r.GetShard().GetNumber() == 0, "queued at a longer queue")
	}
	assert.Equal(t, slices, 3)
}

// Guards running streams when this instance gets a new session: the owner still
// shows their permits under the old one, which must not be taken for a move.
func TestNewSessionIsNoMove(t *testing.T) {
	a, _, _ := newAcquirer(1, "home")
	key := shard("home", 0)
	a.book.Add(key, &api.Permit{Id: "p", Epoch: 1}, nil, time.Now())
	now := time.Now()
	answer := func(session uint64, ids ...string) int {
		request := &api.ReportRequest{HolderSession: session, Permits: []*api.Progress{{PermitId: "p"}}}
		return len(a.book.settle(key, request, &api.ReportResponse{MovedPermits: ids}, now))
	}
	assert.Equal(t, answer(1), 0)
	assert.Equal(t, answer(2, "p"), 0) // still under session 1 at the owner
	assert.Equal(t, answer(2), 0)      // taken up under session 2
	assert.Equal(t, answer(2, "p"), 1)
	// Another instance took it before the new session: the owner goes on
	// showing it elsewhere after the old session has surely ended.
	assert.Equal(t, answer(3, "p"), 0)
	now = now.Add(doubtFor + 1)
	assert.Equal(t, answer(3, "p"), 1)
}

// Guards the share of retries: over any history they stay within the
// percentage of requests and the reserve.
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

// Guards the bytes sent across regions: beyond the rate and one burst, nothing
// new is sent, and a debt is paid off first.
func TestLinkBudget(t *testing.T) {
	b := NewLinkBudget(tally.NoopScope)
	now := time.Unix(1000, 0)
	assert.Assert(t, b.Positive(now, "t", 1000))
	b.Spend(now, "t", 1000, 3000)
	assert.Assert(t, !b.Positive(now.Add(1900*time.Millisecond), "t", 1000))
	assert.Assert(t, b.Positive(now.Add(2100*time.Millisecond), "t", 1000))
	b.Spend(now.Add(time.Hour), "t", 1000, 1001)
	assert.Assert(t, !b.Positive(now.Add(time.Hour), "t", 1000)) // no more than one burst is saved
	assert.Assert(t, b.Positive(now.Add(time.Hour), "u", 1000))  // teams do not share it
}
