package instance

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// limited is a server under limits that can change.
type limited struct {
	address string
	limits  atomic.Pointer[manifest.Limits]
}

func startLimited(t *testing.T, limits manifest.Limits) *limited {
	t.Helper()
	l := &limited{}
	l.limits.Store(&limits)
	conns := newCallerConns(func() manifest.Limits { return *l.limits.Load() })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(4 * callerSweep)
		}
		_, _ = fmt.Fprint(w, "ok")
	}))
	conns.serve(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	go conns.run(t.Context())
	l.address = server.Listener.Addr().String()
	return l
}

func (l *limited) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// call sends a request and reports whether it was answered.
func call(c net.Conn, path string) bool {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// closedWithin reports whether the server closes the connection.
func closedWithin(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(asNetError(err, &timeout) && timeout.Timeout())
}

func asNetError(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	*target = e
	return ok
}

// Guards against limits that stay those of the start: a shorter one binds open
// connections, and a longer one keeps them.
func TestIdleConnectionsFollowTheManifest(t *testing.T) {
	l := startLimited(t, manifest.Limits{IdleTimeout: time.Minute})
	c := l.dial(t)
	assert.Assert(t, call(c, "/"))
	assert.Assert(t, !closedWithin(c, 4*callerSweep))
	l.limits.Store(&manifest.Limits{IdleTimeout: callerSweep})
	assert.Assert(t, closedWithin(c, 8*callerSweep))
}

// Guards against callers whose requests are cut as idle while they are served,
// and against heads that crawl for ever.
func TestOnlyWaitingConnectionsAreClosed(t *testing.T) {
	l := startLimited(t, manifest.Limits{IdleTimeout: callerSweep, HeaderTimeout: callerSweep})
	assert.Assert(t, call(l.dial(t), "/slow"), "a request was cut while it was served")
	c := l.dial(t)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost:")
	assert.NilError(t, err)
	assert.Assert(t, closedWithin(c, 8*callerSweep))
}
