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

// limitedServer is a server whose limits the test can change while it runs.
type limitedServer struct {
	address string
	limits  atomic.Pointer[manifest.Limits]
}

func startLimitedServer(t *testing.T, limits manifest.Limits) *limitedServer {
	t.Helper()
	l := &limitedServer{}
	l.limits.Store(&limits)
	conns := newCallerConns(func() manifest.Limits { return *l.limits.Load() })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(4 * connCheckInterval)
		}
		_, _ = fmt.Fprint(w, "ok")
	}))
	conns.attachTo(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	go conns.closeOverdue(t.Context())
	l.address = server.Listener.Addr().String()
	return l
}

func (l *limitedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// get sends a GET request and reports whether the status of the response is 200.
func get(c net.Conn, path string) bool {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// closedWithin reports whether the server closes the connection within d.
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

// Guards against timeouts that are fixed when the server starts. A shorter idle
// timeout must apply to open connections, and a longer one must keep them open.
func TestManifestIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	l := startLimitedServer(t, manifest.Limits{IdleTimeout: time.Minute})
	c := l.dial(t)
	assert.Assert(t, get(c, "/"))
	assert.Assert(t, !closedWithin(c, 4*connCheckInterval))
	l.limits.Store(&manifest.Limits{IdleTimeout: connCheckInterval})
	assert.Assert(t, closedWithin(c, 8*connCheckInterval))
}

// Guards against requests that are aborted as idle while they are served, and
// against request headers that stall or arrive too slowly.
func TestOnlyWaitingConnectionsAreClosed(t *testing.T) {
	l := startLimitedServer(t, manifest.Limits{IdleTimeout: connCheckInterval, HeaderTimeout: connCheckInterval})
	assert.Assert(t, get(l.dial(t), "/slow"), "a request was cut while it was served")
	c := l.dial(t)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost:")
	assert.NilError(t, err)
	assert.Assert(t, closedWithin(c, 8*connCheckInterval))
}
