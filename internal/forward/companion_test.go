package forward

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// mortal is a target whose process can die with all its connections and come back at its
// address.
type mortal struct {
	*fakeTarget
	t        *testing.T
	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

func newMortal(t *testing.T, respond func(m *mortal, r seenRequest, c net.Conn)) *mortal {
	m := &mortal{t: t}
	m.fakeTarget = &fakeTarget{id: "i1", respond: func(r seenRequest, c net.Conn) { respond(m, r, c) }}
	m.listen("127.0.0.1:0")
	t.Cleanup(m.stopListening)
	return m
}

func (m *mortal) stopListening() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.listener.Close() // fails only if the process has ended
}

func (m *mortal) listen(address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	m.listener, m.address = l, l.Addr().String()
	m.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns = append(m.conns, c)
			m.mu.Unlock()
			go m.serve(c)
		}
	}()
}

// dieAndReturn ends the process: last, which is closed at the very end, is the connection of
// a response. A new process listens before that.
func (m *mortal) dieAndReturn(last net.Conn) {
	m.mu.Lock()
	_ = m.listener.Close()
	for _, c := range m.conns {
		if c != last {
			_ = c.Close()
		}
	}
	m.mu.Unlock()
	m.listen(m.address)
	_ = last.Close()
}

// Guards against an unframed response that passes for complete because another process
// listens again when this instance asks: it was frozen, or its caller reads slowly.
func TestUnframedResponseOfAReplacedProcessIsNotWhole(t *testing.T) {
	for path, service := range map[string]string{"/long/": "llm", "/write/": "core"} {
		t.Run(path, func(t *testing.T) {
			x := newMortal(t, func(m *mortal, r seenRequest, c net.Conn) {
				writeUnframedHead(c, r)
				_, _ = io.WriteString(c, events(1, 3))
				time.Sleep(100 * time.Millisecond)
				m.dieAndReturn(c)
			})
			f := newFixture(t, service, x.fakeTarget)
			resp, body, err := f.call(t, "POST", path, "pay")
			assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%q passes for whole", body)
		})
	}
}

// Sound unframed streams end whole, also if they last long, the target closes connections that
// it takes for idle, or stops listening because it leaves.
func TestLongUnframedStreamIsWhole(t *testing.T) {
	t.Parallel()
	const (
		companionAge = 250 * time.Millisecond
		idleTimeout  = companionAge + 250*time.Millisecond
	)
	for name, stopsListening := range map[string]bool{"goes on": false, "stops listening": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newMortal(t, func(m *mortal, r seenRequest, c net.Conn) {
				writeUnframedHead(c, r)
				_, _ = io.WriteString(c, events(1, 2))
				time.Sleep(200 * time.Millisecond)
				if stopsListening {
					m.stopListening()
				}
				for until := time.Now().Add(4 * companionAge); time.Now().Before(until) && !stopsListening; time.Sleep(50 * time.Millisecond) {
					m.closeIdle(c, idleTimeout)
				}
				_, _ = io.WriteString(c, events(3, 4))
				time.Sleep(50 * time.Millisecond)
				_ = c.Close()
			})
			f := newFixture(t, "llm", x.fakeTarget)
			f.companionAge = companionAge
			_, body, err := f.call(t, "POST", "/long/", "pay")
			assert.NilError(t, err)
			assert.Equal(t, body, events(1, 4))
		})
	}
}

// closeIdle closes the other connections that are older than the timeout.
func (m *mortal) closeIdle(active net.Conn, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		if c != active {
			time.AfterFunc(timeout, func() { _ = c.Close() })
		}
	}
	m.conns = nil
}

// Guards against a short unframed response that passes for complete after this process has
// stood still: the end may be that of a process which another one has replaced since.
func TestShortUnframedResponseAfterAStandstillIsNotWhole(t *testing.T) {
	x := newFakeTarget(t, "i1", unframedInOneSegment(t, "body"))
	f := newFixture(t, "core")
	f.announce(t, x, "core", "r-a", fleet.Ready)
	later := time.Now().Add(time.Hour)
	f.standstill.endedAt.Store(&later)
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	now := time.Now()
	f.standstill.endedAt.Store(nil)
	f.standstill.tick(now)
	f.standstill.tick(now.Add(standstillGap / 2))
	assert.Assert(t, f.standstill.endedAt.Load() == nil)
	f.standstill.tick(now.Add(2 * standstillGap))
	assert.Assert(t, f.standstill.since(now))
}

// Companions that are replaced while a response goes on belong to the same process; one that
// could not be told to does not.
func TestCompanionIsReplacedByOneOfTheSameProcess(t *testing.T) {
	x := newMortal(t, func(*mortal, seenRequest, net.Conn) {})
	open := func() net.Conn {
		c, err := net.Dial("tcp4", x.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	c := &companion{address: x.address, stop: func() {}, conn: open()}
	c.replace(open(), nil)
	assert.Assert(t, c.isAlive(t.Context()))
	c.replace(nil, io.EOF)
	assert.Assert(t, c.isAlive(t.Context()), "the former one tells")
	last := open()
	assert.Assert(t, eventually(func() bool { x.mu.Lock(); defer x.mu.Unlock(); return len(x.conns) >= 3 }))
	x.dieAndReturn(last)
	time.Sleep(companionSettle)
	c.replace(open(), nil)
	assert.Assert(t, !c.isAlive(t.Context()), "the new one leads to another process")
	c.close()
	c.replace(open(), nil)
	c.close()
}
