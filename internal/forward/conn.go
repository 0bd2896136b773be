package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
)

// Limits for connections to targets.
const (
	connReadBufferBytes = 4 << 10
	// maxIdleTime is how long an idle connection may be reused.
	maxIdleTime = 10 * time.Second
	// maxIdleTimeNonRepeatable is the same for requests that must not be repeated. It is
	// shorter because a target may close an idle connection just when a request is sent.
	maxIdleTimeNonRepeatable = 3 * time.Second
	// keepAliveShare is the share of a target's own idle timeout in which its connection is reused.
	keepAliveShare = 0.7
)

// expiredDeadline is a deadline in the past. It makes pending reads and writes
// fail at once.
var expiredDeadline = time.Unix(1, 0)

// targetConn is a connection to a target. It serves one request at a time.
type targetConn struct {
	net.Conn
	// head bounds the heads of responses; reader reads from it.
	head   *netconn.HeadLimiter
	reader *bufio.Reader
	// usedAt is when the last response was complete.
	usedAt time.Time
	// idleTimeout is how long after usedAt the connection may be reused.
	idleTimeout time.Duration
}

func (c *targetConn) close() { _ = c.Conn.Close() } // an error of Close changes nothing because the connection is discarded

// expireWith makes reads and writes fail once ctx ends. The returned function detaches the
// connection from ctx; it returns false if ctx has ended.
func (c *targetConn) expireWith(ctx context.Context) (detach func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) }) // SetDeadline fails only on a closed connection
}

// conn returns an idle or new connection to the lease's endpoint.
func (l *lease) conn(ctx context.Context, mustNotRepeat bool) (*targetConn, error) {
	if c := l.table.takeIdle(l.endpoint, mustNotRepeat, time.Now()); c != nil {
		return c, nil
	}
	return l.newConn(ctx)
}

// newConn returns a new connection to the lease's endpoint.
func (l *lease) newConn(ctx context.Context) (*targetConn, error) {
	l.table.addConns(l.endpoint, 1)
	raw, err := netconn.Dial(ctx, l.endpoint.address)
	if err != nil {
		l.table.addConns(l.endpoint, -1)
		return nil, err
	}
	return newTargetConn(raw), nil
}

func newTargetConn(raw net.Conn) *targetConn {
	head := netconn.NewHeadLimiter(raw, errHeadTooLong)
	return &targetConn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, connReadBufferBytes), idleTimeout: maxIdleTime}
}

// takeIdle removes and returns the most recently used idle connection that is
// still open; nil if there is none.
func (t *table) takeIdle(e *endpoint, mustNotRepeat bool, now time.Time) *targetConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	maxAge := maxIdleTime
	if mustNotRepeat {
		maxAge = maxIdleTimeNonRepeatable
	}
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		if mustNotRepeat && now.Sub(c.usedAt) > maxAge {
			return nil // the other connections have been idle for longer, so they are too old as well
		}
		e.idle = e.idle[:len(e.idle)-1]
		if now.Sub(c.usedAt) < min(maxAge, c.idleTimeout) && c.reader.Buffered() == 0 && netconn.IsReusable(c.Conn) {
			return c
		}
		e.conns--
		c.close()
	}
	return nil
}

func (t *table) addConns(e *endpoint, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.conns += n
}

// dropConn closes a connection and subtracts it from the endpoint's count.
func (l *lease) dropConn(c *targetConn) {
	c.close()
	l.table.addConns(l.endpoint, -1)
}

// putIdle returns a connection to the idle ones after a complete response. It
// closes the connection instead if the response asks for a close or the
// endpoint is draining.
func (l *lease) putIdle(c *targetConn, resp *http.Response) {
	t, e := l.table, l.endpoint
	idleTimeout, ok := parseKeepAlive(resp)
	if !ok || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		l.dropConn(c)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.draining {
		e.conns--
		c.close()
		return
	}
	c.usedAt, c.idleTimeout = time.Now(), idleTimeout
	e.idle = append(e.idle, c)
}

// parseKeepAlive returns how long a connection may be reused after a response;
// false if it may not be reused.
func parseKeepAlive(resp *http.Response) (time.Duration, bool) {
	if resp.Close {
		return 0, false
	}
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(part), "="); strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil && s >= 0 {
				return time.Duration(float64(s) * keepAliveShare * float64(time.Second)), s > 0
			}
		}
	}
	return maxIdleTime, true
}
