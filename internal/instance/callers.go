package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Bounds of callers' connections while no manifest names others.
const (
	// callerIdle is how long an idle connection is kept.
	callerIdle = time.Minute
	// callerHeader is how long the head of a request may take.
	callerHeader = 5 * time.Second
	// maxCallerHeader bounds the head of a request before the manifest's own
	// limit is looked at, in bytes.
	maxCallerHeader = 256 << 10
	// callerSweep is how often connections are checked.
	callerSweep = 250 * time.Millisecond
)

// callerConns closes connections that are idle, or whose request's head takes,
// longer than the manifest allows. The manifest changes while the server runs,
// so that the server's own fixed timeouts cannot follow it.
type callerConns struct {
	limits func() manifest.Limits

	mu      sync.Mutex
	waiting map[net.Conn]wait
}

// wait is what a connection waits for.
type wait struct {
	since time.Time
	head  bool // the rest of a request's head; otherwise the next request
}

func newCallerConns(limits func() manifest.Limits) *callerConns {
	return &callerConns{limits: limits, waiting: map[net.Conn]wait{}}
}

// serve makes a server report its connections, and its requests once their
// heads are read.
func (c *callerConns) serve(s *http.Server) {
	s.IdleTimeout, s.ReadHeaderTimeout, s.MaxHeaderBytes = 0, 0, maxCallerHeader
	s.ConnState = c.changed
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			c.forget(conn)
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.note(conn, wait{since: time.Now()})
	case http.StateActive:
		c.note(conn, wait{since: time.Now(), head: true})
	case http.StateClosed, http.StateHijacked:
		c.forget(conn)
	}
}

func (c *callerConns) note(conn net.Conn, w wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[conn] = w
}

func (c *callerConns) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, conn)
}

// run closes overdue connections until ctx ends.
func (c *callerConns) run(ctx context.Context) {
	ticker := time.NewTicker(callerSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, conn := range c.overdue(now) {
				_ = conn.Close() // its request, if any, has not been read
			}
		}
	}
}

func (c *callerConns) overdue(now time.Time) []net.Conn {
	limits := c.limits()
	idle, head := limits.IdleTimeout, limits.HeaderTimeout
	if idle <= 0 {
		idle = callerIdle
	}
	if head <= 0 {
		head = callerHeader
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, w := range c.waiting {
		most := idle
		if w.head {
			most = head
		}
		if now.Sub(w.since) > most {
			out = append(out, conn)
			delete(c.waiting, conn)
		}
	}
	return out
}
