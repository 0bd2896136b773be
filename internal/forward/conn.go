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

// Bounds of connections to targets.
const (
	connReadBuffer = 4 << 10
	// maxIdle is how long an idle connection is kept for the next request.
	maxIdle = 10 * time.Second
	// maxIdleOnce is the same for requests that must not repeat: a target may
	// close an idle connection at the moment at which a request leaves.
	maxIdleOnce = 3 * time.Second
	// keepAliveShare is the part of a target's own idle timeout that is used.
	keepAliveShare = 0.7
)

// past is a deadline that ends any input and output at once.
var past = time.Unix(1, 0)

// targetConn is a connection to a target. It carries one request at a time.
type targetConn struct {
	net.Conn
	reader *bufio.Reader
	// usedAt is when the last answer was complete.
	usedAt time.Time
	// keep is how long the target keeps the idle connection.
	keep time.Duration
}

func (c *targetConn) close() { _ = c.Conn.Close() } // nothing is left to lose

// conn returns a connection to the lease's endpoint: an idle one, or a new one.
func (l *lease) conn(ctx context.Context, once bool) (*targetConn, error) {
	if c := l.table.takeIdle(l.endpoint, once, time.Now()); c != nil {
		return c, nil
	}
	l.table.countConns(l.endpoint, 1)
	raw, err := netconn.Dial(ctx, l.endpoint.address)
	if err != nil {
		l.table.countConns(l.endpoint, -1)
		return nil, err
	}
	return &targetConn{Conn: raw, reader: bufio.NewReaderSize(raw, connReadBuffer), keep: maxIdle}, nil
}

// takeIdle returns the idle connection that was used last and is still open.
func (t *table) takeIdle(e *endpoint, once bool, now time.Time) *targetConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := maxIdle
	if once {
		most = maxIdleOnce
	}
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		if once && now.Sub(c.usedAt) > most {
			return nil // the others are older
		}
		e.idle = e.idle[:len(e.idle)-1]
		if now.Sub(c.usedAt) < min(most, c.keep) && c.reader.Buffered() == 0 && netconn.Open(c.Conn) {
			return c
		}
		e.conns--
		c.close()
	}
	return nil
}

func (t *table) countConns(e *endpoint, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.conns += n
}

// drop closes a connection.
func (l *lease) drop(c *targetConn) {
	c.close()
	l.table.countConns(l.endpoint, -1)
}

// keepIdle puts a connection back after a complete answer, unless the answer
// or the endpoint forbids it.
func (l *lease) keepIdle(c *targetConn, answer *http.Response) {
	t, e := l.table, l.endpoint
	keep, ok := keepFor(answer)
	if !ok || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		l.drop(c)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.leaving {
		e.conns--
		c.close()
		return
	}
	c.usedAt, c.keep = time.Now(), keep
	e.idle = append(e.idle, c)
}

// keepFor returns how long a connection may be kept after an answer.
func keepFor(answer *http.Response) (time.Duration, bool) {
	if answer.Close {
		return 0, false
	}
	for part := range strings.SplitSeq(answer.Header.Get("Keep-Alive"), ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(part), "="); strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(value); err == nil && s >= 0 {
				return time.Duration(float64(s) * keepAliveShare * float64(time.Second)), s > 0
			}
		}
	}
	return maxIdle, true
}
