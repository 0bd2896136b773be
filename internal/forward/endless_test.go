package forward

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless is a kind of response that goes on until the connection is closed.
type endless struct {
	head   func(r seenRequest) string // bytes before the part that repeats
	repeat string
	pause  time.Duration // pause before each repetition
}

// respond writes the response and counts the bytes that the other side accepted.
func (e endless) respond(accepted *atomic.Int64) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) {
		defer c.Close()
		if _, err := io.WriteString(c, e.head(r)); err != nil {
			return
		}
		for {
			n, err := io.WriteString(c, e.repeat)
			accepted.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(e.pause)
		}
	}
}

const (
	// filler is a repeated part that is much longer than any buffer.
	fillerBytes = 64 << 10
	// maxAcceptedBytes bounds what the forwarder and the socket buffers together accept
	// of bytes that are no response.
	maxAcceptedBytes = 16 << 20
	endlessDeadline  = 700 * time.Millisecond
)

// assertBounded asserts that a call that began at started ended soon after its deadline
// and that the target could not send without end.
func assertBounded(t *testing.T, started time.Time, accepted *atomic.Int64) {
	t.Helper()
	assert.Assert(t, time.Since(started) < endlessDeadline+time.Second, "%v", time.Since(started))
	assert.Assert(t, accepted.Load() < maxAcceptedBytes, "%d bytes were accepted", accepted.Load())
}

func filler(c byte) string {
	out := make([]byte, fillerBytes)
	for i := range out {
		out[i] = c
	}
	return string(out)
}

func responseHead(r seenRequest, id, extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Stamp: s\r\n%s\r\n", id, extra)
}

// endlessHeads are responses in which no head of the request's own response ends.
func endlessHeads() map[string]endless {
	stray := func(extra string) func(seenRequest) string {
		return func(r seenRequest) string { return responseHead(r, "id-0", extra) }
	}
	return map[string]endless{
		"status line": {func(seenRequest) string { return "HTTP/1.1 200 " }, filler('x'), 0},
		"header line": {func(seenRequest) string { return "HTTP/1.1 200 OK\r\nA: " }, filler('x'), 0},
		"many headers": {func(seenRequest) string { return "HTTP/1.1 200 OK\r\n" }, "Name: value\r\n" +
			"Other-Name: value\r\n", 0},
		"no protocol":          {func(seenRequest) string { return "" }, filler('\x00'), 0},
		"informational":        {func(seenRequest) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n", 0},
		"one byte at a time":   {func(seenRequest) string { return "HTTP/1.1 200 OK\r\nA: " }, "x", 20 * time.Millisecond},
		"stray body":           {stray(""), filler('x'), 0},
		"stray body in chunks": {stray("Transfer-Encoding: chunked\r\n"), fmt.Sprintf("%x\r\n%s\r\n", fillerBytes, filler('x')), 0},
		"stray chunk header":   {stray("Transfer-Encoding: chunked\r\n"), filler('0'), 0},
		"trailer": {func(r seenRequest) string {
			return responseHead(r, r.Header.Get("T-Id"), "Transfer-Encoding: chunked\r\n") + "0\r\nA: "
		}, filler('x'), 0},
	}
}

// Guards against an instance that keeps bytes without end in memory, that waits for
// their end beyond the caller's deadline, or that tells the caller that a write that
// may have run has not.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, e := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var accepted atomic.Int64
			x := newFakeTarget(t, "i1", e.respond(&accepted))
			f := newFixture(t, "core", x)
			started := time.Now()
			resp, _, err := f.call(t, "POST", "/write/", "pay", "T-Deadline", fmt.Sprint(endlessDeadline.Milliseconds()))
			assert.NilError(t, err)
			assert.Assert(t, resp.StatusCode == 502 || resp.StatusCode == 504, "%d", resp.StatusCode)
			assertBounded(t, started, &accepted)
			assert.Equal(t, len(x.seen()), 1)
		})
	}
}

// Guards against a repeatable request that fails because one of two targets sends
// bytes without end.
func TestEndlessHeadIsTriedElsewhere(t *testing.T) {
	for name, e := range endlessHeads() {
		t.Run(name, func(t *testing.T) {
			var accepted atomic.Int64
			x, y := newFakeTarget(t, "i1", e.respond(&accepted)), newFakeTarget(t, "i2", respondsWith(200, "done"))
			f := newFixture(t, "core", x, y)
			for range 4 {
				resp, body, err := f.call(t, "GET", "/read/", "")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
				assert.Equal(t, body, "done")
			}
		})
	}
}

// Guards against a stream of bytes that are no events that grows in memory or lasts
// beyond the deadline, and against one that looks complete to the caller.
func TestEndlessStreamIsBounded(t *testing.T) {
	own := func(r seenRequest) string { return responseHead(r, r.Header.Get("T-Id"), "") }
	for name, e := range map[string]endless{
		"no line":            {own, filler('x'), 0},
		"lines but no event": {own, "data: x\n", 0},
		"comments":           {own, ": x\n\n", 20 * time.Millisecond},
		"after an event":     {func(r seenRequest) string { return own(r) + event(1) }, filler('x'), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var accepted atomic.Int64
			x := newFakeTarget(t, "i1", e.respond(&accepted))
			f := newFixture(t, "llm", x)
			started := time.Now()
			resp, _, err := f.call(t, "POST", "/long/", "pay", "T-Deadline", fmt.Sprint(endlessDeadline.Milliseconds()))
			assert.Assert(t, err != nil || resp.StatusCode == 502 || resp.StatusCode == 504, "%v", resp)
			assertBounded(t, started, &accepted)
		})
	}
}

// Guards against a body without end that the caller takes for a whole answer.
func TestEndlessBodyDoesNotLookComplete(t *testing.T) {
	var accepted atomic.Int64
	e := endless{func(r seenRequest) string { return responseHead(r, r.Header.Get("T-Id"), "") }, filler('x'), time.Millisecond}
	x := newFakeTarget(t, "i1", e.respond(&accepted))
	f := newFixture(t, "core", x)
	started := time.Now()
	resp, _, err := f.call(t, "POST", "/write/", "pay", "T-Deadline", fmt.Sprint(endlessDeadline.Milliseconds()))
	assert.Assert(t, err != nil || resp.StatusCode == 504, "a body that was cut looks complete: %v", resp)
	assert.Assert(t, time.Since(started) < endlessDeadline+time.Second, "%v", time.Since(started))
}
