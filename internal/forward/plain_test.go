package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Guards against changes to a request or a response in transit, and against
// forged or hop-by-hop headers that are passed on.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		writeTestResponse(c, r, 201, "X-Own: a\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", "answer")
	})
	f := newFixture(t, "core", x)
	resp, body, err := f.call(t, "POST", "/write/a%2Fb/?q=%20x", "hello", "X-Mine", "m", "T-Hold", "h", "T-Account", "forged", "T-Expect", "forged")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 201)
	assert.Equal(t, body, "answer")
	assert.Equal(t, resp.Header.Get("X-Own"), "a")
	assert.Equal(t, resp.Header.Get("X-Hop"), "")
	assert.Equal(t, resp.Header.Get("T-Stamp"), "s")
	got := x.seen()[0]
	assert.Equal(t, got.RequestURI, "/write/a%2Fb/?q=%20x")
	assert.Equal(t, got.Host, "h")
	assert.Equal(t, got.body, "hello")
	assert.Equal(t, got.Header.Get("X-Mine"), "m")
	assert.Equal(t, got.Header.Get("T-Hold"), "", "reserved for the system")
	assert.DeepEqual(t, got.Header.Values("T-Account"), []string{"account"})
	assert.DeepEqual(t, got.Header.Values("T-Expect"), []string{"i1"})
	assert.Equal(t, got.Header.Get("T-Key"), "", "the key must not reach targets")
	assert.Equal(t, got.Header.Get("T-Id"), "id-1")
}

// Guards against a target that works longer than its caller waits because it
// was sent a wrong deadline.
func TestDeadlineIsPassedOn(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(200, ""))
	f := newFixture(t, "core", x)
	for _, c := range []struct{ sent, most string }{{"700", "700"}, {"30000", "2000"}} {
		_, _, err := f.call(t, "GET", "/read/", "", "T-Deadline", c.sent)
		assert.NilError(t, err)
		got := x.seen()[len(x.seen())-1].Header.Get("T-Deadline")
		var left, most int
		_, err = fmt.Sscan(got+" "+c.most, &left, &most)
		assert.NilError(t, err)
		assert.Assert(t, left <= most && left > most-400, "%d of %d ms", left, most)
	}
}

// Guards against a repeatable request that fails although another target could
// serve it.
func TestRepeatableRequestIsTriedElsewhere(t *testing.T) {
	for name, first := range map[string]func(seenRequest, net.Conn){
		"failure": respondsWith(500, "bad"), "no answer": closesConnection, "refusal": refusesUnrun,
		"truncated": func(r seenRequest, c net.Conn) { writePartialResponse(c, r, 100); _ = c.Close() },
		"no stamp": func(r seenRequest, c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		},
		"encoded":      func(r seenRequest, c net.Conn) { writeTestResponse(c, r, 200, "Content-Encoding: gzip\r\n", "x") },
		"not a header": func(_ seenRequest, c net.Conn) { fmt.Fprintf(c, "garbage\r\n\r\n") },
		"mute":         func(seenRequest, net.Conn) { time.Sleep(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			var tried atomic.Bool
			script := func(r seenRequest, c net.Conn) {
				if !tried.Swap(true) {
					first(r, c)
					return
				}
				respondsWith(200, "good")(r, c)
			}
			f := newFixture(t, "core", newFakeTarget(t, "i1", script), newFakeTarget(t, "i2", script))
			resp, body, err := f.call(t, "GET", "/read/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, "good")
		})
	}
}

// writePartialResponse writes a response whose body is shorter than its
// Content-Length.
func writePartialResponse(c io.Writer, r seenRequest, length int) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Stamp: s\r\nContent-Length: %d\r\n\r\npart", r.Header.Get("T-Id"), length)
}

// Guards against a write that runs twice, and against a response status that
// states that the write did not run although it may have.
func TestWriteIsNeverRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(seenRequest, net.Conn)
		status  int
	}{
		"no answer":               {closesConnection, 502},
		"truncated":               {func(r seenRequest, c net.Conn) { writePartialResponse(c, r, 100); _ = c.Close() }, 502},
		"failure of the target":   {respondsWith(500, "bad"), 500},
		"unproven promise":        {respondsWith(503, ""), 502},
		"answer after the caller": {func(seenRequest, net.Conn) { time.Sleep(3 * time.Second) }, 504},
	} {
		t.Run(name, func(t *testing.T) {
			x, y := newFakeTarget(t, "i1", c.respond), newFakeTarget(t, "i2", c.respond)
			f := newFixture(t, "core", x, y)
			resp, _, err := f.call(t, "POST", "/write/", "pay", "T-Deadline", "600")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, len(x.seen())+len(y.seen()), 1)
		})
	}
}

// Guards against a write that is not retried although its target states that it
// did not run, and against a refusal without Retry-After.
func TestRefusedWriteGoesElsewhere(t *testing.T) {
	x, y := newFakeTarget(t, "i1", refusesUnrun), newFakeTarget(t, "i2", refusesUnrun)
	f := newFixture(t, "core", x, y)
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, len(x.seen())+len(y.seen()), 2)
	x.mu.Lock()
	x.respond = respondsWith(200, "done")
	x.mu.Unlock()
	resp, body, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, "done")
}

// Guards against a response to another request that reaches the caller, and
// against reuse of a connection on which bytes follow a response.
func TestStrayResponsesAreNotPassedOn(t *testing.T) {
	x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		other := r
		other.Request = r.Clone(r.Context())
		other.Header.Set("T-Id", "id-0")
		var b strings.Builder
		writeTestResponse(&b, other, 200, "", "foreign")
		writeTestResponse(&b, r, 200, "", "mine")
		writeTestResponse(&b, r, 200, "", "again")
		_, _ = io.WriteString(c, b.String())
	})
	f := newFixture(t, "core", x)
	for range 3 {
		_, body, err := f.call(t, "POST", "/write/", "")
		assert.NilError(t, err)
		assert.Equal(t, body, "mine")
	}
}

// Guards against requests that are forwarded without a valid key, to a region
// that the route excludes, without a route, or above the size limits.
func TestKeysRegionsPathsAndSizeLimits(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(200, ""))
	f := newFixture(t, "core", x)
	for path, c := range map[string]struct {
		key    string
		status int
	}{
		"/read/":  {"unknown", 401},
		"/read":   {"key", 404},
		"/none/":  {"key", 404},
		"/home/":  {"key", 503}, // the service's only target is in a region that the route excludes
		"/open/x": {"", 200},
	} {
		resp, _, err := f.call(t, "GET", path, "", "T-Key", c.key)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status, path)
		assert.Equal(t, resp.Header.Get("T-Id"), "id-1")
	}
	assert.Equal(t, len(x.seen()), 1)
	resp, _, err := f.call(t, "POST", "/write/", strings.Repeat("x", 1001))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 413)
	resp, _, err = f.call(t, "GET", "/read/", "", "X-Long", strings.Repeat("x", 2001))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 431)
}

// Guards against new requests to a draining target, and to a failure domain that
// is out of service.
func TestDrainingAndOutOfServiceTargetsGetNoRequests(t *testing.T) {
	x, y := newFakeTarget(t, "i1", respondsWith(200, "x")), newFakeTarget(t, "i2", respondsWith(200, "y"))
	f := newFixture(t, "core", x)
	f.announce(t, y, "core", "r-b", fleet.Ready)
	f.announce(t, x, "core", "r-a", fleet.Draining)
	for range 5 {
		_, body, err := f.call(t, "GET", "/read/", "")
		assert.NilError(t, err)
		assert.Equal(t, body, "y")
	}
	f.views.Merge(&fleet.State{Index: 2, ManifestVersion: 1, OutOfService: []string{"r-b"}}, nil)
	f.syncTargets()
	resp, _, err := f.call(t, "GET", "/read/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
}

// Guards against a target that keeps working for a caller that has disconnected.
func TestTargetIsCancelledWhenTheCallerLeaves(t *testing.T) {
	reached, gone := make(chan struct{}), make(chan struct{})
	x := newFakeTarget(t, "i1", func(_ seenRequest, c net.Conn) {
		close(reached)
		_, _ = bufio.NewReader(c).ReadByte()
		close(gone)
	})
	f := newFixture(t, "core", x)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	fmt.Fprintf(c, "GET /read/ HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\nT-Key: key\r\nT-Deadline: 30000\r\n\r\n")
	<-reached
	assert.NilError(t, c.Close())
	select {
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target is still working half a second later")
	}
}

// Guards against a slow request body that holds a connection and buffer space
// beyond the caller's deadline, and against serving that request afterwards.
func TestSlowBodyTimesOut(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(200, "ok"))
	f := newFixture(t, "core", x)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /write/ HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\nT-Key: key\r\nT-Deadline: 200\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, len(x.seen()), 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.bufferedBytes, int64(0))
}

// Guards against request smuggling: a request with both Content-Length and a
// chunked body may hide another one behind the body. The connection must be
// closed before the hidden request is read.
func TestSmuggledRequestIsNotRead(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(200, "ok"))
	f := newFixture(t, "core", x)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	hidden := "POST /write/ HTTP/1.1\r\nHost: h\r\nT-Id: hidden\r\nT-Key: key\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(c, "POST /write/ HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\nT-Key: key\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(hidden), hidden)
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(c)
	assert.NilError(t, err)
	for _, r := range x.seen() {
		assert.Equal(t, r.Header.Get("T-Id"), "id-1")
	}
}

// Guards against callers that keep their connections to a stopping instance.
func TestStoppingInstanceAsksToClose(t *testing.T) {
	f := newFixture(t, "core", newFakeTarget(t, "i1", respondsWith(200, "")))
	assert.Assert(t, f.Ready())
	f.Stop(time.Now().Add(8 * time.Second))
	assert.Assert(t, !f.Ready())
	resp, _, err := f.call(t, "GET", "/read/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close)
}

// Guards against a long stream that a stopping instance accepts and cannot
// complete before its process exits.
func TestStoppingInstanceRefusesLateStreams(t *testing.T) {
	x := newFakeTarget(t, "i1", streamsEvents(3, 0))
	f := newFixture(t, "llm", x)
	f.Stop(time.Now().Add(8 * time.Second))
	_, body, err := f.call(t, "POST", "/long/", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 3), "streams that arrive early in the stop are served")
	f.stop.begin(time.Now().Add(-newStreamGrace), time.Now().Add(5*time.Second))
	resp, _, err := f.call(t, "POST", "/long/", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close && resp.Header.Get("Retry-After") != "")
	assert.Equal(t, len(x.seen()), 1)
}

// Guards against bodies of unknown length that together exceed the buffer space, and
// against space that stays reserved after a request.
func TestBodiesOfUnknownLengthReserveTheirSpace(t *testing.T) {
	f := New(Config{BufferBytes: 3 * bufferStep})
	space := &bufferSpace{f: f}
	body, err := readUnknownLength(strings.NewReader(strings.Repeat("x", bufferStep+1)), 2*bufferStep, space)
	assert.NilError(t, err)
	assert.Equal(t, len(body), bufferStep+1)
	assert.Equal(t, space.reserved, int64(2*bufferStep))
	assert.Equal(t, f.bufferedBytes, space.reserved)
	more := &bufferSpace{f: f}
	_, err = readUnknownLength(strings.NewReader(strings.Repeat("x", 4*bufferStep)), 8*bufferStep, more)
	assert.ErrorIs(t, err, errBufferFull)
	assert.Equal(t, f.bufferedBytes, space.reserved+more.reserved)
	assert.Assert(t, f.bufferedBytes <= f.config.BufferBytes)
	space.release()
	more.release()
	assert.Equal(t, f.bufferedBytes, int64(0))
	body, err = readUnknownLength(strings.NewReader("abc"), 1, more)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ab", "one byte beyond the limit shows that the body exceeds it")
}

// Guards against a response that is too large to be buffered being cut, because the time limit
// of an attempt that may be repeated ended it.
func TestLargeResponseOfARepeatableRequestIsWhole(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedResponse)
	f := newFixture(t, "core", newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		head := fmt.Sprintf("HTTP/1.1 200 X\r\nT-Id: %s\r\nT-Stamp: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("T-Id"), len(long))
		_, _ = io.WriteString(c, head+long[:2*maxBufferedResponse])
		time.Sleep(attemptTimeoutFactor * 100 * time.Millisecond) // longer than the attempt's limit: the route's objective is 100 ms
		_, _ = io.WriteString(c, long[2*maxBufferedResponse:])
	}))
	_, body, err := f.call(t, "GET", "/read/", "")
	assert.NilError(t, err)
	assert.Equal(t, len(body), len(long))
}

// Guards against a large response that outlives the request's own deadline.
func TestLargeResponseEndsWithTheDeadline(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, "core", newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\nT-Id: %s\r\nT-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("T-Id"), 3*maxBufferedResponse, strings.Repeat("x", 2*maxBufferedResponse))
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}))
	resp, _, err := f.call(t, "GET", "/read/", "", "T-Deadline", "400")
	assert.Assert(t, err != nil || resp.StatusCode >= http.StatusInternalServerError)
	<-closed
}
