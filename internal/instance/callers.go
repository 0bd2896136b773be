package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/netconn"
)

// Timeouts and limits of callers' connections. The timeouts apply unless the
// manifest sets others.
const (
	// defaultIdleTimeout is how long an idle connection is kept open.
	defaultIdleTimeout = time.Minute
	// defaultHeaderTimeout bounds the time to read a request header.
	defaultHeaderTimeout = 5 * time.Second
	// maxCallerHeaderBytes bounds a request header while it is read; the
	// manifest's own limit is checked afterwards.
	maxCallerHeaderBytes = 256 << 10
	// connCheckInterval is the time between two checks for overdue connections.
	connCheckInterval = 250 * time.Millisecond
)

// callerConns closes connections that are idle for longer than the manifest
// allows, or whose request header takes longer than it allows. The manifest can
// change while the server runs, which the fixed timeouts of http.Server do not
// support.
type callerConns struct {
	limits func() manifest.Limits

	mu      sync.Mutex
	waiting map[net.Conn]connWait
}

// connWait records since when a connection waits for input, and for which input.
type connWait struct {
	since         time.Time
	readingHeader bool // whether it waits for the rest of a request header; otherwise it waits for the next request
}

// newCallerConns returns a callerConns that reads the current limits from the
// given function.
func newCallerConns(limits func() manifest.Limits) *callerConns {
	return &callerConns{limits: limits, waiting: map[net.Conn]connWait{}}
}

// attachTo replaces the server's timeouts and installs hooks that track its
// connections, and its requests once their headers have been read. It must be called before the server starts.
func (c *callerConns) attachTo(s *http.Server) {
	s.IdleTimeout, s.ReadHeaderTimeout, s.MaxHeaderBytes = 0, 0, maxCallerHeaderBytes
	s.ConnState = c.stateChanged
	s.ConnContext = netconn.ConnContext
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := netconn.ServerConn(r); conn != nil {
			c.clearWaiting(conn)
		}
		next.ServeHTTP(w, r)
	})
}

// stateChanged is the server's ConnState hook.
func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.setWaiting(conn, connWait{since: time.Now()})
	case http.StateActive:
		c.setWaiting(conn, connWait{since: time.Now(), readingHeader: true})
	case http.StateClosed, http.StateHijacked:
		c.clearWaiting(conn)
	}
}

func (c *callerConns) setWaiting(conn net.Conn, w connWait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[conn] = w
}

func (c *callerConns) clearWaiting(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, conn)
}

// closeOverdue closes overdue connections periodically until ctx ends.
func (c *callerConns) closeOverdue(ctx context.Context) {
	ticker := time.NewTicker(connCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, conn := range c.removeOverdue(now) {
				_ = conn.Close() // loses no request in progress, since none has been read completely
			}
		}
	}
}

// removeOverdue stops tracking the connections that have waited too long, and
// returns them.
func (c *callerConns) removeOverdue(now time.Time) []net.Conn {
	limits := c.limits()
	idleTimeout, headerTimeout := limits.IdleTimeout, limits.HeaderTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []net.Conn
	for conn, w := range c.waiting {
		timeout := idleTimeout
		if w.readingHeader {
			timeout = headerTimeout
		}
		if now.Sub(w.since) > timeout {
			expired = append(expired, conn)
			delete(c.waiting, conn)
		}
	}
	return expired
}
