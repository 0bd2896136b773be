package session

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

func settingsText(hours int) []byte {
	digest := peerauth.Digest("any")
	return fmt.Appendf(nil, "team = \"t\"\noperator_key_sha256 = [%q]\n[failure_domains.a]\nregion = \"r\"\n[policy]\nreplay_hours = %d\n", digest, hours)
}

func renewal(version, revision uint64, text []byte) *api.RenewResponse {
	return &api.RenewResponse{
		Version: version, LeaseMs: 2000,
		Settings: []*api.TeamSettings{{Team: "t", Revision: revision, Toml: text}},
	}
}

// opened returns a session with id 7, a clock that the test sets and its counters.
func opened() (*Session, *time.Time, tally.TestScope) {
	now := time.UnixMilli(1_800_000_000_000)
	scope := tally.NewTestScope("", nil)
	s := New(Config{Now: func() time.Time { return now }, Metrics: scope})
	s.id = 7
	return s, &now, scope
}

func violations(scope tally.TestScope) int64 {
	return scope.Snapshot().Counters()["invariant_violations+"].Value()
}

// Guards against settings that go back, and against two contents of one
// revision. The answer must be refused as a whole: no content, no lease, one
// counted violation. Caught mutations: nextTeam without either check; extend
// before nextView.
func TestRevisionNeverGoesBack(t *testing.T) {
	for name, bad := range map[string]*api.RenewResponse{
		"older revision":                renewal(20, 2, settingsText(2)),
		"other content of the revision": renewal(20, 3, settingsText(9)),
	} {
		t.Run(name, func(t *testing.T) {
			s, now, scope := opened()
			assert.NilError(t, s.accept(7, *now, renewal(10, 3, settingsText(3))))
			view := s.View()
			*now = now.Add(1900 * time.Millisecond)
			err := s.accept(7, *now, bad)
			assert.Equal(t, resultcode.From(err).Code, resultcode.InvariantViolation)
			assert.Equal(t, violations(scope), int64(1))
			assert.Equal(t, s.View(), view)
			*now = now.Add(100 * time.Millisecond)
			assert.Assert(t, !s.Fresh(), "a refused answer extended the lease")
		})
	}
}

// Guards against an answer that arrives late or out of order: it must neither
// replace newer state nor count its lease from its arrival, nor move the lease
// back. Caught mutations: leases count from now; extend without end.After.
func TestLateAnswers(t *testing.T) {
	s, now, scope := opened()
	sent := *now
	*now = now.Add(1500 * time.Millisecond)
	assert.NilError(t, s.accept(7, sent, renewal(10, 3, settingsText(3))))
	assert.Assert(t, s.Fresh())
	*now = now.Add(500 * time.Millisecond)
	assert.Assert(t, !s.Fresh(), "the lease counts from the request")

	sent = *now
	assert.NilError(t, s.accept(7, sent, &api.RenewResponse{Version: 10, LeaseMs: 2000}))
	assert.NilError(t, s.accept(7, sent.Add(-time.Second), &api.RenewResponse{Version: 10, LeaseMs: 2000}))
	*now = now.Add(1900 * time.Millisecond)
	assert.Assert(t, s.Fresh(), "an older answer moved the lease back")
	err := s.accept(7, *now, renewal(9, 2, settingsText(2)))
	assert.Equal(t, resultcode.From(err).Code, resultcode.StaleEpoch)
	assert.Equal(t, s.View().Teams["t"].Revision, uint64(3))
	assert.Equal(t, violations(scope), int64(0), "a late answer is no violation")
}

// Guards against a lease on settings that this build cannot read, and against
// an answer that belongs to a session that was given up. Caught mutations:
// extend after a failed parse; accept without the check of the id.
func TestUnusableAnswersExtendNothing(t *testing.T) {
	s, now, _ := opened()
	assert.Assert(t, s.accept(7, *now, renewal(10, 1, []byte("team = \"t\"\nfuture_key = 1\n"))) != nil)
	assert.Assert(t, !s.Fresh())
	assert.Assert(t, s.accept(6, *now, renewal(11, 1, settingsText(1))) != nil)
	assert.Assert(t, !s.Fresh())
	assert.NilError(t, s.accept(7, *now, &api.RenewResponse{Version: 12, LeaseMs: 3_600_000}))
	*now = now.Add(2 * time.Second)
	assert.Assert(t, !s.Fresh(), "a lease longer than the group counts on")
}

// Guards against a reader that sees a view change under its hands.
// Caught mutation: nextView writes to the old view's map of teams.
func TestViewsAreImmutable(t *testing.T) {
	s, now, _ := opened()
	assert.NilError(t, s.accept(7, *now, renewal(10, 3, settingsText(3))))
	old, changed := s.View(), s.Changed()
	assert.NilError(t, s.accept(7, *now, renewal(11, 4, settingsText(4))))
	<-changed
	assert.Equal(t, old.Teams["t"].Revision, uint64(3))
	assert.Equal(t, old.Teams["t"].Settings.Policy.ReplayHours, 3)
	assert.Equal(t, s.View().Teams["t"].Revision, uint64(4))
}

// scripted is a control instance whose sessions the test ends.
type scripted struct {
	api.ControlCommand
	fresh func() bool

	mu       sync.Mutex
	sessions uint64
	ended    map[uint64]bool
	closed   []uint64
}

func (c *scripted) OpenSession(context.Context, *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions++
	return &api.OpenSessionResponse{SessionId: c.sessions}, nil
}

func (c *scripted) Renew(_ context.Context, r *api.RenewRequest) (*api.RenewResponse, error) {
	c.mu.Lock()
	ended := c.ended[r.GetSessionId()]
	c.mu.Unlock()
	if ended {
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.SessionUnknown, "ended"))
	}
	time.Sleep(time.Duration(r.GetWaitMs()) * time.Millisecond)
	return &api.RenewResponse{Version: 1, LeaseMs: 2000}, nil
}

func (c *scripted) CloseSession(_ context.Context, r *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	if c.fresh() {
		return nil, errors.New("closed with a fresh lease")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = append(c.closed, r.GetSessionId())
	return &api.CloseSessionResponse{}, nil
}

// Guards against an instance that goes on under a session that the group has
// ended, and against one that closes its session while its lease is fresh: its
// shards are given away at that moment. Caught mutations: SessionUnknown keeps
// the session; close tells the group before it drops the lease.
func TestSessionIsReopenedAndClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &scripted{ended: map[uint64]bool{}}
		s := New(Config{ControlAddresses: []string{"a"}, Now: time.Now, Connect: func(string) api.ControlCommand { return c }})
		c.fresh = s.Fresh
		go s.Run(ctx)
		time.Sleep(time.Second)
		assert.Assert(t, s.Fresh())
		assert.Equal(t, s.SessionID(), uint64(1))
		c.mu.Lock()
		c.ended[1] = true
		c.mu.Unlock()
		time.Sleep(time.Second)
		assert.Equal(t, s.SessionID(), uint64(2))
		assert.Assert(t, s.Fresh())
		cancel()
		time.Sleep(time.Second)
		assert.Assert(t, !s.Fresh())
		c.mu.Lock()
		defer c.mu.Unlock()
		assert.DeepEqual(t, c.closed, []uint64{2})
	})
}

// Guards against an answer from the network that stops the process or leaves a
// view that goes back.
func FuzzAccept(f *testing.F) {
	for _, r := range []*api.RenewResponse{
		renewal(11, 4, settingsText(4)), renewal(11, 2, settingsText(2)), renewal(11, 4, []byte("team = 1")),
		{Version: 11, AssignmentsChanged: true, Assignments: []*api.Assignment{nil, {}}},
		{Version: 11, InstancesChanged: true, LeaseMs: 1 << 31},
	} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r api.RenewResponse
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		s, now, _ := opened()
		assert.NilError(t, s.accept(7, *now, renewal(10, 3, settingsText(3))))
		err := s.accept(7, *now, &r)
		v := s.View()
		assert.Assert(t, v.Version >= 10 && v.Teams["t"].Revision >= 3)
		assert.Assert(t, err == nil || v.Version == 10)
	})
}
