// Package target implements the client side of connections to targets. The goroutine
// that serves the caller also reads from the target: its reads wake up at intervals to
// run periodic work (heartbeats, detection of a disconnected caller). A stream
// therefore needs no second goroutine, and tokens are not passed between goroutines.
package target

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// pastDeadline is a deadline in the past, which wakes a blocked read.
var pastDeadline = time.Unix(1, 0)

// conn is a connection whose blocked reads wake up at each tick, that is, after each
// tickInterval.
type conn struct {
	net.Conn
	ctx          context.Context // when this context ends, reads fail
	tickInterval time.Duration
	// onIdle runs at each tick without input; its error ends the read.
	onIdle       func() error
	stopWatching func() bool // stops watching ctx
}

func newConn(ctx context.Context, c net.Conn, tick time.Duration, idle func() error) *conn {
	wrapped := &conn{Conn: c, tickInterval: tick, onIdle: idle}
	wrapped.bindContext(ctx)
	return wrapped
}

// bindContext replaces the context whose end makes reads fail.
func (c *conn) bindContext(ctx context.Context) {
	if c.stopWatching != nil {
		c.stopWatching()
	}
	c.ctx = ctx
	_ = c.SetReadDeadline(time.Now().Add(c.tickInterval)) // this fails only on a closed connection, whose reads fail too
	c.stopWatching = context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(pastDeadline) })
}

// Read reads at least one byte and calls onIdle at each tick without input. It renews
// the read deadline only after the deadline has passed, not at each read.
func (c *conn) Read(p []byte) (int, error) {
	for {
		// If ctx has ended, this check sees it. If it ends after the check, the
		// watch set up by bindContext wakes the blocked read.
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
		if err := c.onIdle(); err != nil {
			return 0, err
		}
		if err := c.SetReadDeadline(time.Now().Add(c.tickInterval)); err != nil {
			return 0, err
		}
	}
}

// Close closes the connection and stops watching the context.
func (c *conn) Close() error {
	c.stopWatching()
	return c.Conn.Close()
}
