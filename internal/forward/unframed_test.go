package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// writeUnframedHead writes the head of a response with neither a length nor chunks, which
// ends with its connection.
func writeUnframedHead(c io.Writer, r seenRequest) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("T-Id"))
}

// unframed responds with text and then closes the connection, or resets it.
func unframed(text string, reset bool) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) {
		writeUnframedHead(c, r)
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// unframedInOneSegment responds like unframed and sends the end of the connection in the
// segment of the response: when its head is read, the connection has already ended.
func unframedInOneSegment(t *testing.T, text string) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) {
		raw, err := c.(*net.TCPConn).SyscallConn()
		assert.Check(t, err)
		assert.Check(t, raw.Control(func(fd uintptr) {
			assert.Check(t, unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1))
		}))
		unframed(text, false)(r, c)
	}
}

func TestUnframedResponseThatEndsWithItsConnectionIsWhole(t *testing.T) {
	f := newFixture(t, "core", newFakeTarget(t, "i1", unframed("body", false)))
	resp, body, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "body")
}

func TestUnframedResponseThatIsResetIsNotWhole(t *testing.T) {
	f := newFixture(t, "core", newFakeTarget(t, "i1", unframed("bo", true)))
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

func TestUnframedStreamThatEndsBetweenEventsIsWhole(t *testing.T) {
	f := newFixture(t, "llm", newFakeTarget(t, "i1", unframed(events(1, 3), false)))
	_, body, err := f.call(t, "POST", "/long/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 3))
}

// Guards against a stream that looks complete though its target broke it off.
func TestUnframedStreamThatEndsInsideAnEventIsCut(t *testing.T) {
	for name, x := range map[string]func(seenRequest, net.Conn){
		"closed inside an event":      unframed(events(1, 2)+event(3)[:7], false),
		"closed without a blank line": unframed(events(1, 2)+event(3)[:len(event(3))-1], false),
		"reset between events":        unframed(events(1, 2), true),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "llm", newFakeTarget(t, "i1", x))
			_, body, err := f.call(t, "POST", "/long/", "pay")
			assert.Assert(t, err != nil, "the caller took %q for complete", body)
			assert.Assert(t, len(body) <= len(events(1, 2)), "a part of an event was passed on: %q", body)
		})
	}
}

// Guards against a resumable stream that is given up though it can be continued.
func TestResumableUnframedStreamContinuesAfterACut(t *testing.T) {
	x := newFakeTarget(t, "i1", unframed(events(1, 2)+event(3)[:7], false))
	f := newFixture(t, "llm", x)
	f.announce(t, newFakeTarget(t, "i2", streamsEvents(4, 0)), "llm", "r-b", fleet.Ready)
	_, body, err := f.call(t, "POST", "/short/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 4))
}

// Guards against an answer without a length that passes for whole because the kernel of
// its target closed the connection when the process died.
func TestUnframedResponseOfADeadProcessIsNotWhole(t *testing.T) {
	for path, text := range map[string]string{"/long/": events(1, 3), "/write/": "half"} {
		t.Run(path, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			x := &fakeTarget{id: "i1", address: l.Addr().String()}
			x.respond = func(r seenRequest, c net.Conn) {
				writeUnframedHead(c, r)
				_, _ = io.WriteString(c, text)
				_ = l.Close()
				_ = c.Close()
			}
			go func() {
				if c, err := l.Accept(); err == nil {
					x.serve(c)
				}
			}()
			service := "llm"
			if path == "/write/" {
				service = "core"
			}
			f := newFixture(t, service, x)
			resp, body, err := f.call(t, "POST", path, "pay")
			assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%q passes for whole", body)
		})
	}
}

// Guards against sound unframed responses that are cut: those that end with their head, soon
// after it, and late, while other requests run.
func TestSoundUnframedResponsesAreWhole(t *testing.T) {
	const callers, requests = 8, 50
	inOneSegment := unframedInOneSegment(t, "body")
	x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		switch n := len(r.Header.Get("T-Id")) % 3; {
		case n == 0:
			inOneSegment(r, c)
		case n == 1:
			unframed("body", false)(r, c)
		default:
			writeUnframedHead(c, r)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, "body")
			_ = c.Close()
		}
	})
	f := newFixture(t, "core", x)
	var whole atomic.Int64
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for n := range requests {
				if f.send(http.DefaultClient, "/write/", fmt.Sprint("u", caller, strings.Repeat("x", n%3))) == http.StatusOK {
					whole.Add(1)
				}
			}
		})
	}
	all.Wait()
	assert.Equal(t, whole.Load(), int64(callers*requests))
}
