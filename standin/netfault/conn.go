// Package netfault injects network faults: Listener lets the open connections
// of one server go silent, and Relay stands on the path between two processes
// and cuts, delays, limits or swallows what passes.
package netfault

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that can go silent later: bytes written to a
// silent connection are dropped and nothing arrives from it, while new
// connections work.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]bool{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped, err := newConn(c, l)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = true
	return wrapped, nil
}

type connKey struct{}

// ConnContext is for http.Server: it lets Swallow spare the connection that
// carries the command.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Swallow makes every open connection silent for good, except the one that
// carries the request r, which may be nil. It returns how many.
func (l *Listener) Swallow(r *http.Request) int {
	var spared any
	if r != nil {
		spared = r.Context().Value(connKey{})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if any(c) != spared && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// ArrivedAt returns when the newest bytes of a request reached this machine,
// in wall clock microseconds. It is the kernel's time of reception, so it also
// holds for a process that was stopped and reads them later. It is 0 for a
// request that came over another listener.
func ArrivedAt(r *http.Request) int64 {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	return c.arrivedAt.Load()
}

type conn struct {
	net.Conn
	receiver  *receiver
	arrivedAt atomic.Int64
	owner     *Listener
	silent    atomic.Bool
	once      sync.Once
	done      chan struct{}
}

func newConn(c net.Conn, owner *Listener) (*conn, error) {
	r, err := newReceiver(c)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, receiver: r, owner: owner, done: make(chan struct{})}, nil
}

// Read blocks until Close when the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	n, at, err := c.receiver.read(p)
	if at > 0 {
		c.arrivedAt.Store(at)
	}
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops the bytes when the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.owner.mu.Lock()
		delete(c.owner.conns, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}
