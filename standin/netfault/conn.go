// Package netfault injects network faults. Listener can silence the open
// connections of a server. Relay is a TCP proxy between two processes that can
// cut, delay, limit or drop the bytes it forwards.
package netfault

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener accepts TCP connections that can be silenced later: bytes written to a
// silent connection are dropped and reads from it block, while new connections
// work.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps l, which must accept TCP connections. It fails if the kernel adds
// no receive timestamps, which ArrivedAt needs.
func NewListener(l net.Listener) (*Listener, error) {
	if err := enableTimestamps(); err != nil {
		return nil, err
	}
	return &Listener{Listener: l, conns: map[*conn]bool{}}, nil
}

// Accept waits for the next connection and returns it wrapped, so that Swallow
// can silence it.
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

// ConnContext is to be set as http.Server.ConnContext. It allows Swallow and
// ArrivedAt to find the connection of a request.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Swallow silences all open connections permanently, except the connection of
// request r if r is not nil. It returns the number of connections silenced.
func (l *Listener) Swallow(r *http.Request) int {
	var excluded any
	if r != nil {
		excluded = r.Context().Value(connKey{})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if any(c) != excluded && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// ArrivedAt returns the time at which the newest bytes read from the request's
// connection reached this host, in microseconds of Unix time. It is the kernel's
// receive timestamp, so it is correct even if the process was stopped and read
// the bytes later. It is 0 for a request from a listener of another type.
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
	listener  *Listener
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

func newConn(c net.Conn, listener *Listener) (*conn, error) {
	r, err := newReceiver(c)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, receiver: r, listener: listener, closed: make(chan struct{})}, nil
}

// Read reads from the connection. If the connection is silent, it blocks until Close.
func (c *conn) Read(p []byte) (int, error) {
	n, at, err := c.receiver.read(p)
	if at > 0 {
		c.arrivedAt.Store(at)
	}
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. If the connection is silent, it drops the bytes and
// reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Reset closes the connection with a reset, as after a failure of its host.
func (c *conn) Reset() error {
	return errors.Join(setReset(c.Conn), c.Close())
}

// Close closes the connection and unblocks reads of a silent connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
