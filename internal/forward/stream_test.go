package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// event is one event of a test stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// begin writes the head of a stream.
func begin(c io.Writer, r seenRequest, stamp string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("T-Id"), stamp)
}

func chunk(c io.Writer, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func end(c io.Writer) { _, _ = io.WriteString(c, "0\r\n\r\n") }

// streams answers with a run of n events that breaks off after some bytes of
// event cut, or 0.
func streams(n, cut int) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) {
		begin(c, r, "s")
		last := 0
		if v := r.Header.Get("Last-Event-Id"); v != "" {
			last, _ = strconv.Atoi(v)
		}
		for i := last + 1; i <= n; i++ {
			if i == cut {
				chunk(c, event(i)[:7])
				_ = c.Close()
				return
			}
			chunk(c, event(i))
		}
		end(c)
	}
}

func TestStreamPassesWhole(t *testing.T) {
	f := newFixture(t, "llm", newFakeTarget(t, "i1", streams(30, 0)))
	resp, body, err := f.call(t, "POST", "/long/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("T-Stamp"), "s")
	assert.Equal(t, body, events(1, 30))
}

// Guards against a resumable stream that ends, repeats or skips an event
// because its target broke off in the middle of one.
func TestResumableStreamGoesOn(t *testing.T) {
	x, y := newFakeTarget(t, "i1", streams(9, 4)), newFakeTarget(t, "i2", streams(9, 4))
	f := newFixture(t, "llm", x, y)
	x.mu.Lock()
	y.mu.Lock()
	good := streams(9, 0)
	var tried atomic.Bool
	script := func(r seenRequest, c net.Conn) {
		if !tried.Swap(true) {
			streams(9, 4)(r, c)
			return
		}
		good(r, c)
	}
	x.answer, y.answer = script, script
	y.mu.Unlock()
	x.mu.Unlock()
	_, body, err := f.call(t, "POST", "/short/", "")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))
}

// Guards against a stream that must not repeat and is started again, and
// against one that breaks off and looks complete.
func TestCutStreamLooksCut(t *testing.T) {
	x, y := newFakeTarget(t, "i1", streams(9, 4)), newFakeTarget(t, "i2", streams(9, 4))
	f := newFixture(t, "llm", x, y)
	_, body, err := f.call(t, "POST", "/long/", "")
	assert.Assert(t, err != nil)
	assert.Equal(t, body, events(1, 3))
	assert.Equal(t, len(x.seen())+len(y.seen()), 1)
}

// Guards against events of another run, and against a gap.
func TestGapEndsTheStream(t *testing.T) {
	f := newFixture(t, "llm", newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		begin(c, r, "s")
		chunk(c, event(1)+event(1)+event(2)+event(4))
		end(c)
	}))
	_, body, err := f.call(t, "POST", "/long/", "")
	assert.Assert(t, err != nil)
	assert.Equal(t, body, events(1, 2))
}

// Guards against a failure that reaches the caller as a broken success.
func TestStreamThatNeverBeganFails(t *testing.T) {
	f := newFixture(t, "llm", newFakeTarget(t, "i1", answers(500, "sick")))
	resp, body, err := f.call(t, "POST", "/long/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body, "sick")
}

// Guards against a failure of the system's own that bears a target's stamp,
// because the target died between the head and the first event.
func TestFailureBeforeTheFirstEventBearsNoStamp(t *testing.T) {
	f := newFixture(t, "llm", newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		begin(c, r, "s")
		_ = c.Close()
	}))
	resp, _, err := f.call(t, "POST", "/long/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 502)
	assert.Equal(t, resp.Header.Get("T-Stamp"), "")
	assert.Equal(t, resp.Header.Get("T-Id"), "id-1")
}

// movable is a pair of engines of which the first leaves after some events.
type movable struct {
	*fixture
	x, y *fakeTarget
	told chan struct{} // closed when the run is told to stop at x

	stopped atomic.Bool
}

func newMovable(t *testing.T, fail error) *movable {
	m := &movable{told: make(chan struct{})}
	m.x = newFakeTarget(t, "x", func(r seenRequest, c net.Conn) {
		if from := r.Header.Get("T-Copy"); from != "" {
			streams(9, 0)(r, c)
			return
		}
		begin(c, r, "first")
		chunk(c, events(1, 3))
		<-m.told
		chunk(c, events(4, 5)+event(6)[:4])
		_ = c.Close()
	})
	m.y = newFakeTarget(t, "y", streams(9, 0))
	m.fixture = newFixture(t, "llm", m.x)
	m.engines.move = func(engine, id, to string, last bool) (Copy, error) {
		if engine != m.x.address || id != "id-1" || to != m.y.address {
			return Copy{}, errors.New("unexpected copy")
		}
		if m.stopped.Load() {
			return Copy{}, ErrNoRun // it goes on elsewhere
		}
		if last {
			m.stopped.Store(true)
			close(m.told)
			return Copy{Handle: "h2", Events: 6}, fail
		}
		return Copy{Handle: "h1", Events: 3}, nil
	}
	return m
}

// leave makes the first engine leave once the run is there.
func (m *movable) leave(t *testing.T) {
	go func() {
		for len(m.x.seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
		m.announce(t, m.y, "llm", "r-a", fleet.Ready)
		m.announce(t, m.x, "llm", "r-a", fleet.Draining)
	}()
}

// Guards against a stream that is cut, or loses or repeats an event, because
// its engine leaves.
func TestRunMovesOffAnEngineThatLeaves(t *testing.T) {
	m := newMovable(t, nil)
	m.leave(t)
	resp, body, err := m.call(t, "POST", "/long/", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))
	assert.Equal(t, resp.Header.Get("T-Stamp"), "first")
	got := m.y.seen()[0]
	assert.Equal(t, got.Header.Get("T-Copy"), m.x.address+"/h2")
	assert.Equal(t, got.Header.Get("Last-Event-Id"), "5")
	assert.Equal(t, got.body, "prompt")
}

// Guards against a run that is lost because the other engine has no room for
// the last copy: it goes on from the memory that the first one keeps.
func TestRunGoesOnAtItsSourceWithoutRoom(t *testing.T) {
	m := newMovable(t, ErrNoRoom)
	m.leave(t)
	_, body, err := m.call(t, "POST", "/long/", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))
	assert.Equal(t, len(m.y.seen()), 0)
	assert.Equal(t, m.x.seen()[1].Header.Get("T-Copy"), m.x.address+"/h2")
}
