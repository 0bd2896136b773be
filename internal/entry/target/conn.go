// Package target connects to targets. Each connection is driven by the one
// goroutine that serves the caller: a read wakes up at intervals to do what is
// due meanwhile (heartbeats, checks for a caller that is gone), so a stream
// needs no further goroutine and a token no hand-over between goroutines.
package target

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// past is a deadline that wakes a blocked read.
var past = time.Unix(1, 0)

// conn is a connection whose reads wake up each tick.
type conn struct {
	net.Conn
	ctx  context.Context // its end makes reads fail
	tick time.Duration
	// idle runs at each tick; its error ends the read.
	idle func() error
	stop func() bool // ends the watch on ctx
}

func newConn(ctx context.Context, c net.Conn, tick time.Duration, idle func() error) *conn {
	out := &conn{Conn: c, tick: tick, idle: idle}
	out.bind(ctx)
	return out
}

// bind makes reads obey ctx from now on.
func (c *conn) bind(ctx context.Context) {
	if c.stop != nil {
		c.stop()
	}
	c.ctx = ctx
	_ = c.SetReadDeadline(time.Now().Add(c.tick)) // fails only on a closed connection, as the read will
	c.stop = context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(past) })
}

// Read reads at least one byte, running idle at each tick without input. The
// deadline is renewed only when it has passed, not with each read.
func (c *conn) Read(p []byte) (int, error) {
	for {
		// A context that ends after this check finds the read blocked and
		// wakes it; one that ended before is seen here.
		if c.ctx.Err() != nil {
			return 0, context.Cause(c.ctx)
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.ctx.Err() != nil {
			return 0, context.Cause(c.ctx)
		}
		if err := c.idle(); err != nil {
			return 0, err
		}
		if err := c.SetReadDeadline(time.Now().Add(c.tick)); err != nil {
			return 0, err
		}
	}
}

// Close closes the connection and ends the watch on the context.
func (c *conn) Close() error {
	c.stop()
	return c.Conn.Close()
}
