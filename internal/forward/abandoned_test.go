package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sound targets that get no requests for a while because callers left, or
// this instance stopped, before they had answered.
func TestAbandonedAttemptsDoNotSpeakAgainstTheTarget(t *testing.T) {
	t.Parallel()
	callerLeaves := func(_ *fixture, leave func()) { leave() }
	instanceStops := func(f *fixture, _ func()) { f.Stop(time.Now().Add(lastResponses)) }
	for _, c := range []struct {
		name, service, path string
		abandon             func(f *fixture, leave func())
	}{
		{"the caller of a write leaves", "core", "/write/", callerLeaves},
		{"the caller of a read leaves", "core", "/read/", callerLeaves},
		{"the caller of a stream leaves", "llm", "/long/", callerLeaves},
		{"the instance stops during a write", "core", "/write/", instanceStops},
		{"the instance stops during a stream", "llm", "/long/", instanceStops},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			x := newFakeTarget(t, "i1", func(seenRequest, net.Conn) { <-release })
			defer close(release)
			f := newFixture(t, c.service, x)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			go f.send(&http.Client{Transport: contextTransport{ctx}}, c.path, "a1")
			assert.Assert(t, eventually(func() bool { return len(x.seen()) == 1 }))
			c.abandon(f, leave)
			assert.Assert(t, eventually(func() bool { return f.held() == held{} }), "%+v", f.held())
			f.table.mu.Lock()
			defer f.table.mu.Unlock()
			assert.Equal(t, f.table.endpoints["i1"].failures, 0)
		})
	}
}

// contextTransport sends requests that end with its context.
type contextTransport struct{ ctx context.Context }

func (c contextTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return http.DefaultTransport.RoundTrip(r.WithContext(c.ctx))
}
