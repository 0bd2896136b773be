package forward

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Guards against a second copy of a response that reaches the next caller on the same
// connection. The copy arrives after the next request was written, or between the check
// of the idle connection and that write.
func TestLateSecondResponseReachesNobody(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			var mu sync.Mutex
			previous := map[net.Conn]seenRequest{}
			x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
				mu.Lock()
				last, repeated := previous[c]
				previous[c] = r
				mu.Unlock()
				if repeated {
					writeTestResponse(c, last, 200, "", "answer to "+last.body)
					time.Sleep(delay)
				}
				writeTestResponse(c, r, 200, "", "answer to "+r.body)
				if !repeated && delay > 0 {
					time.AfterFunc(delay, func() { writeTestResponse(c, r, 200, "", "answer to "+r.body) })
				}
			})
			f := newFixture(t, "core", x)
			for n := range 20 {
				body := fmt.Sprint(n)
				resp, got, err := f.call(t, "POST", "/write/", body, "T-Id", "id-"+body)
				assert.NilError(t, err)
				if resp.StatusCode == 200 {
					assert.Equal(t, got, "answer to "+body)
					continue
				}
				assert.Equal(t, resp.StatusCode, 502, "a write that may have run is not said to have not run")
			}
			assert.Equal(t, len(x.seen()), 20, "no write is sent twice")
		})
	}
}

// Guards against a slow but sound stream that is cut, and against running work that is
// given up or started again elsewhere because its target does not announce itself for a
// while.
func TestSilentTargetKeepsItsRunningStream(t *testing.T) {
	const pause = 80 * time.Millisecond
	started := make(chan struct{})
	respond := func(r seenRequest, c net.Conn) {
		writeStreamHead(c, r, "s")
		writeChunk(c, event(1))
		close(started)
		for id := 2; id <= 6; id++ {
			time.Sleep(pause)
			writeChunk(c, event(id))
		}
		writeLastChunk(c)
	}
	x, y := newFakeTarget(t, "i1", respond), newFakeTarget(t, "i2", streamsEvents(6, 0))
	f := newFixture(t, "llm", x)
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := f.call(t, "POST", "/long/", "pay")
		done <- result{body, err}
	}()
	<-started
	f.announce(t, y, "llm", "r-a", fleet.Ready)
	f.announce(t, x, "llm", "r-a", fleet.Silent)
	got := <-done
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 6))
	assert.Equal(t, len(x.seen()), 1)
	assert.Equal(t, len(y.seen()), 0)
	// New work goes to the target that announces itself.
	_, _, err := f.call(t, "POST", "/long/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, len(y.seen()), 1)
}

// Guards against a repeatable request that is told to have failed although another
// target can answer it, and against a write that runs again, after a target ran them and
// its response was lost at any byte.
func TestLostResponses(t *testing.T) {
	whole := func(r seenRequest) string {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Stamp: s\r\nContent-Length: 4\r\n\r\n", r.Header.Get("T-Id"))
		return head + "done"
	}
	for _, cut := range []int{0, 1, 20, 60} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			lost := func(r seenRequest, c net.Conn) {
				_, _ = io.WriteString(c, whole(r)[:cut])
				_ = c.Close()
			}
			x, y := newFakeTarget(t, "i1", lost), newFakeTarget(t, "i2", lost)
			f := newFixture(t, "core", x, y)
			resp, _, err := f.call(t, "POST", "/write/", "pay")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 502)
			assert.Equal(t, len(x.seen())+len(y.seen()), 1)
			x.mu.Lock()
			x.respond = respondsWith(200, "done")
			x.mu.Unlock()
			resp, body, err := f.call(t, "GET", "/read/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, "done")
		})
	}
}
