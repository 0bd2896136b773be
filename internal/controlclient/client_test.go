package controlclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeSource struct {
	session.Source
	view session.View
}

func (s *fakeSource) View() *session.View { return &s.view }

// fakeControl is a control instance whose BeginWrite returns err if err is set,
// and the outcome NEW otherwise.
type fakeControl struct {
	api.ControlCommand
	err   error
	calls atomic.Int32
}

func (c *fakeControl) BeginWrite(context.Context, *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	c.calls.Add(1)
	if c.err != nil {
		return nil, resultcode.ToTwirp(c.err)
	}
	return &api.BeginWriteResponse{Outcome: api.WriteOutcome_WRITE_OUTCOME_NEW}, nil
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// refusedAddress returns an address that refuses connections.
func refusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against duplicate protected writes and needless failures: a control call
// may be reported as "not run" only if no attempt can have been executed, and an
// instance that is down or not the leader must not make the call fail.
func TestCallTriesInstancesInTurn(t *testing.T) {
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	follower := func() http.Handler {
		return api.NewControlCommandServer(&fakeControl{err: resultcode.Newf(resultcode.NotLeader, "no")})
	}
	for _, c := range []struct {
		name      string
		addresses func(t *testing.T) []string
		code      resultcode.Code // result code that the call must return; 0 if it must succeed
		execution resultcode.Execution
	}{
		{"first is down", func(t *testing.T) []string {
			return []string{refusedAddress(t), serve(t, api.NewControlCommandServer(&fakeControl{}))}
		}, 0, ""},
		{"first is not the leader", func(t *testing.T) []string {
			return []string{serve(t, follower()), serve(t, api.NewControlCommandServer(&fakeControl{}))}
		}, 0, ""},
		{"all are down", func(t *testing.T) []string { return []string{refusedAddress(t), refusedAddress(t)} }, resultcode.ControlUnavailable, resultcode.NotRun},
		{"no leader", func(t *testing.T) []string { return []string{serve(t, follower())} }, resultcode.NotLeader, resultcode.NotRun},
		{"lost response, then down", func(t *testing.T) []string { return []string{serve(t, abort), refusedAddress(t)} }, resultcode.ControlUnavailable, resultcode.Unknown},
		{"lost response, then not the leader", func(t *testing.T) []string { return []string{serve(t, abort), serve(t, follower())} }, resultcode.NotLeader, resultcode.Unknown},
		{"refused for good", func(t *testing.T) []string {
			return []string{serve(t, api.NewControlCommandServer(&fakeControl{err: resultcode.Newf(resultcode.UnknownTeam, "no")})), refusedAddress(t)}
		}, resultcode.UnknownTeam, resultcode.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			addresses := c.addresses(t)
			client := New(&fakeSource{view: session.View{ControlAddresses: addresses[:1]}}, addresses, &http.Client{Transport: transport})
			_, err := client.BeginWrite(context.Background(), &api.BeginWriteRequest{})
			if c.code == 0 {
				assert.NilError(t, err)
				return
			}
			var e *resultcode.Error
			assert.Assert(t, errors.As(resultcode.FromTwirp(err), &e))
			assert.Equal(t, e.Code, c.code)
			assert.Equal(t, e.Execution, c.execution)
		})
	}
}
