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

func renewResponse(version, revision uint64, text []byte) *api.RenewResponse {
	return &api.RenewResponse{
		Version: version, LeaseMs: 2000,
		Settings: []*api.TeamSettings{{Team: "t", Revision: revision, Toml: text}},
	}
}

// newOpenSession returns a session with id 7, its clock, which the test advances,
// and its metrics.
func newOpenSession() (*Session, *time.Time, tally.TestScope) {
	now := time.UnixMilli(1_800_000_000_000)
	scope := tally.NewTestScope("", nil)
	s := New(Config{Now: func() time.Time { return now }, Metrics: scope})
	s.id = 7
	return s, &now, scope
}

func invariantViolations(scope tally.TestScope) int64 {
	return scope.Snapshot().Counters()["invariant_violations+"].Value()
}

// Guards against settings whose revision decreases and against two different
// texts of one settings revision. Such a response must be rejected entirely: the
// view and the lease stay as they are, and one invariant violation is counted.
// Mutations that this test detects: nextTeam lacks either check; extendLease is
// called before nextView.
func TestRevisionNeverDecreases(t *testing.T) {
	for name, bad := range map[string]*api.RenewResponse{
		"older revision":                renewResponse(20, 2, settingsText(2)),
		"other content of the revision": renewResponse(20, 3, settingsText(9)),
	} {
		t.Run(name, func(t *testing.T) {
			s, now, scope := newOpenSession()
			assert.NilError(t, s.applyRenewal(7, *now, renewResponse(10, 3, settingsText(3))))
			view := s.View()
			*now = now.Add(1900 * time.Millisecond)
			err := s.applyRenewal(7, *now, bad)
			assert.Equal(t, resultcode.From(err).Code, resultcode.InvariantViolation)
			assert.Equal(t, invariantViolations(scope), int64(1))
			assert.Equal(t, s.View(), view)
			*now = now.Add(100 * time.Millisecond)
			assert.Assert(t, !s.Fresh(), "a rejected response extended the lease")
		})
	}
}

// Guards against responses that arrive late or out of order: they must not
// replace newer state, must not start the lease at their arrival and must not
// shorten the lease.
// Mutations that this test detects: the lease starts when the response arrives;
// extendLease lacks the end.After check.
func TestLateResponses(t *testing.T) {
	s, now, scope := newOpenSession()
	sent := *now
	*now = now.Add(1500 * time.Millisecond)
	assert.NilError(t, s.applyRenewal(7, sent, renewResponse(10, 3, settingsText(3))))
	assert.Assert(t, s.Fresh())
	*now = now.Add(500 * time.Millisecond)
	assert.Assert(t, !s.Fresh(), "the lease starts when the request is sent")

	sent = *now
	assert.NilError(t, s.applyRenewal(7, sent, &api.RenewResponse{Version: 10, LeaseMs: 2000}))
	assert.NilError(t, s.applyRenewal(7, sent.Add(-time.Second), &api.RenewResponse{Version: 10, LeaseMs: 2000}))
	*now = now.Add(1900 * time.Millisecond)
	assert.Assert(t, s.Fresh(), "an older response shortened the lease")
	err := s.applyRenewal(7, *now, renewResponse(9, 2, settingsText(2)))
	assert.Equal(t, resultcode.From(err).Code, resultcode.StaleEpoch)
	assert.Equal(t, s.View().Teams["t"].Revision, uint64(3))
	assert.Equal(t, invariantViolations(scope), int64(0), "a late response is not an invariant violation")
}

// Guards against a lease for settings that this build cannot parse, and against
// applying a response that belongs to a session that has ended.
// Mutations that this test detects: extendLease is called after a failed parse;
// applyRenewal does not check the session id.
func TestUnusableResponsesDoNotExtendLease(t *testing.T) {
	s, now, _ := newOpenSession()
	assert.Assert(t, s.applyRenewal(7, *now, renewResponse(10, 1, []byte("team = \"t\"\nfuture_key = 1\n"))) != nil)
	assert.Assert(t, !s.Fresh())
	assert.Assert(t, s.applyRenewal(6, *now, renewResponse(11, 1, settingsText(1))) != nil)
	assert.Assert(t, !s.Fresh())
	assert.NilError(t, s.applyRenewal(7, *now, &api.RenewResponse{Version: 12, LeaseMs: 3_600_000}))
	*now = now.Add(2 * time.Second)
	assert.Assert(t, !s.Fresh(), "the lease is longer than maxLease")
}

// Guards against a published view that changes while it is being read.
// Mutation that this test detects: nextView writes to the old view's Teams map.
func TestViewsAreImmutable(t *testing.T) {
	s, now, _ := newOpenSession()
	assert.NilError(t, s.applyRenewal(7, *now, renewResponse(10, 3, settingsText(3))))
	old, changed := s.View(), s.Changed()
	assert.NilError(t, s.applyRenewal(7, *now, renewResponse(11, 4, settingsText(4))))
	<-changed
	assert.Equal(t, old.Teams["t"].Revision, uint64(3))
	assert.Equal(t, old.Teams["t"].Settings.Policy.ReplayHours, 3)
	assert.Equal(t, s.View().Teams["t"].Revision, uint64(4))
}

// fakeControl is a control instance whose sessions the test can end.
type fakeControl struct {
	api.ControlCommand
	fresh func() bool

	mu       sync.Mutex
	sessions uint64
	ended    map[uint64]bool
	closed   []uint64
}

func (c *fakeControl) OpenSession(context.Context, *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions++
	return &api.OpenSessionResponse{SessionId: c.sessions}, nil
}

func (c *fakeControl) Renew(_ context.Context, r *api.RenewRequest) (*api.RenewResponse, error) {
	c.mu.Lock()
	ended := c.ended[r.GetSessionId()]
	c.mu.Unlock()
	if ended {
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.SessionUnknown, "ended"))
	}
	time.Sleep(time.Duration(r.GetWaitMs()) * time.Millisecond)
	return &api.RenewResponse{Version: 1, LeaseMs: 2000}, nil
}

func (c *fakeControl) CloseSession(_ context.Context, r *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	if c.fresh() {
		return nil, errors.New("closed with a fresh lease")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = append(c.closed, r.GetSessionId())
	return &api.CloseSessionResponse{}, nil
}

// Guards against an instance that keeps using a session that the control group
// has ended, and against closing a session while its lease is still valid: the
// control group reassigns the shards as soon as the session is closed.
// Mutations that this test detects: the session is kept after SessionUnknown;
// close calls CloseSession before it drops the lease.
func TestSessionIsReopenedAndClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &fakeControl{ended: map[uint64]bool{}}
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

// Guards against a malformed response that crashes the process or makes the view
// go back to an older version or revision.
func FuzzApplyRenewal(f *testing.F) {
	for _, r := range []*api.RenewResponse{
		renewResponse(11, 4, settingsText(4)), renewResponse(11, 2, settingsText(2)), renewResponse(11, 4, []byte("team = 1")),
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
		s, now, _ := newOpenSession()
		assert.NilError(t, s.applyRenewal(7, *now, renewResponse(10, 3, settingsText(3))))
		err := s.applyRenewal(7, *now, &r)
		v := s.View()
		assert.Assert(t, v.Version >= 10 && v.Teams["t"].Revision >= 3)
		assert.Assert(t, err == nil || v.Version == 10)
	})
}
