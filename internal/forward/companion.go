package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

const (
	// defaultCompanionAge is the age at which a companion is replaced, before a target closes
	// it for being idle.
	defaultCompanionAge = 2 * time.Second
	// companionSettle is the time in which the ends of all connections of a process arrive:
	// the kernel closes them one after the other.
	companionSettle = 30 * time.Millisecond
)

// errProcessEnded means that a target's process may have ended with its response, which had
// neither a length nor chunks.
var errProcessEnded = fmt.Errorf("the target's process may have ended with the response: %w", io.ErrUnexpectedEOF)

// companion is a second connection to the process that writes an unframed response. The end
// of such a response is the end of its connection, and the kernel of a process that died ends
// its connections in the same way; the companion tells the two apart, whenever it is asked.
//
// Invariant: conn leads to the process that the response is from, or broken is set. It is
// opened while the response's connection, and replaced while the former companion, is known
// to be open.
type companion struct {
	address string
	age     time.Duration // at which it is replaced
	stop    context.CancelFunc

	mu     sync.Mutex
	conn   net.Conn
	broken bool
}

// openCompanion returns a companion of the response, which must be closed. It returns nil if
// the response has a frame or has ended already, so that it cannot have one.
func (f *Forwarder) openCompanion(a *targetResponse, e *endpoint) *companion {
	if netconn.IsFramed(a.Response) {
		return nil
	}
	f.config.Metrics.Counter("forward.unframed").Inc(1)
	ctx, stop := context.WithCancel(context.Background())
	c := &companion{address: e.address, age: f.companionAge, stop: stop}
	conn, err := netconn.Dial(ctx, c.address)
	if err != nil || !netconn.IsEstablished(a.conn.Conn) {
		stop()
		if err == nil {
			_ = conn.Close() // an unused connection: nothing is lost
		}
		return nil
	}
	c.conn = conn
	go c.keep(ctx)
	return c
}

// keep replaces the companion until ctx ends.
func (c *companion) keep(ctx context.Context) {
	for sleep.For(ctx, c.age) {
		next, err := netconn.Dial(ctx, c.address)
		if err == nil && !sleep.For(ctx, companionSettle) {
			_ = next.Close() // an unused connection: nothing is lost
			return
		}
		c.replace(next, err)
	}
}

// replace makes next the companion if the former one is still open, so that both lead to the
// same process.
func (c *companion) replace(next net.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		if next != nil {
			_ = next.Close()
		}
		return // closed meanwhile
	}
	if !netconn.IsEstablished(c.conn) {
		c.broken = true
	}
	if err != nil {
		return // the former one may still tell
	}
	_ = c.conn.Close()
	c.conn = next
}

// isAlive reports whether the process is known to run after the end of its response.
func (c *companion) isAlive(ctx context.Context) bool {
	if !sleep.For(ctx, companionSettle) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && c.conn != nil && netconn.IsEstablished(c.conn)
}

// close closes the companion. It may be nil.
func (c *companion) close() {
	if c == nil {
		return
	}
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close() // an unused connection: nothing is lost
		c.conn = nil
	}
}

// checkEnd returns an error if the end of a connection, which ended the response, can be
// that of the target's process. Without a companion the response had ended when its head was read:
// then only a process that nothing has replaced since counts as alive, and nothing is known
// if this process stood still meanwhile.
func (f *Forwarder) checkEnd(ctx context.Context, a *targetResponse, e *endpoint) error {
	c := a.companion
	switch {
	case netconn.IsFramed(a.Response):
		return nil
	case c != nil && c.isAlive(ctx):
		return nil
	case c == nil && !f.standstill.since(a.sentAt) && !processEnded(ctx, e):
		return nil
	}
	f.config.Metrics.Counter("forward.unframed_not_proven").Inc(1)
	return errProcessEnded
}

const (
	// standstillTick is the interval at which a process notices that it runs, and
	// standstillGap the time without that from which it stood still.
	standstillTick = 200 * time.Millisecond
	standstillGap  = 3 * standstillTick
)

// standstill knows when this process last stood still, frozen or starved.
type standstill struct {
	tickedAt atomic.Pointer[time.Time]
	endedAt  atomic.Pointer[time.Time]
}

// run notices gaps until ctx ends.
func (s *standstill) run(ctx context.Context) {
	for {
		s.tick(time.Now())
		if !sleep.For(ctx, standstillTick) {
			return
		}
	}
}

func (s *standstill) tick(now time.Time) {
	if last := s.tickedAt.Swap(&now); last != nil && now.Sub(*last) >= standstillGap {
		s.endedAt.Store(&now)
	}
}

// since reports whether the process stood still at some time after t.
func (s *standstill) since(t time.Time) bool {
	if ended := s.endedAt.Load(); ended != nil && ended.After(t) {
		return true
	}
	ticked := s.tickedAt.Load()
	return ticked != nil && time.Since(*ticked) >= standstillGap
}
