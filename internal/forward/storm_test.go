package forward

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Guards against requests that cost room, permits or connections for good because of the way
// on which they end: callers that leave at any byte, deadlines, refusals, failures and resets
// of targets, on plain requests and streams, with bodies of known and unknown length.
func TestEveryAccountIsBackAtZeroAfterAStorm(t *testing.T) {
	const callers, requests = 8, 60
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(7, 11))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	plain := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		switch random(6) {
		case 0:
			closesConnection(r, c)
		case 1:
			refusesUnrun(r, c)
		case 2:
			writeTestResponse(c, r, 500, "", "failed")
		case 3:
			time.Sleep(30 * time.Millisecond)
			fallthrough
		default:
			writeTestResponse(c, r, 200, "", "done")
		}
	})
	engine := newFakeTarget(t, "i2", func(r seenRequest, c net.Conn) {
		if random(3) == 0 {
			cutsWhen(closedChannel)(r, c)
			return
		}
		streamsEvents(9, 0)(r, c)
	})
	f := newFixture(t, "core", plain)
	f.announce(t, engine, "llm", "r-a", fleet.Ready)
	assert.Assert(t, eventually(func() bool { return f.standstill.tickedAt.Load() != nil }), "the last goroutine of Run runs")
	before := runtime.NumGoroutine()
	var storm sync.WaitGroup
	for caller := range callers {
		storm.Go(func() {
			for n := range requests {
				f.sendPart(random, fmt.Sprint(caller, "-", n))
			}
		})
	}
	storm.Wait()
	http.DefaultClient.CloseIdleConnections()
	assert.Assert(t, eventually(func() bool { return f.held() == held{} }), "%+v", f.held())
	f.table.mu.Lock()
	for _, e := range f.table.endpoints {
		f.table.closeIdle(e)
	}
	f.table.mu.Unlock()
	assert.Assert(t, eventually(func() bool { return runtime.NumGoroutine() <= before+2 }), "%d goroutines, %d before", runtime.NumGoroutine(), before)
}

var closedChannel = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// sendPart sends a request up to a random byte and then leaves, at once or after some time;
// some are sent whole.
func (f *fixture) sendPart(random func(n int) int, id string) {
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		return
	}
	defer c.Close()
	path := []string{"/read/", "/write/", "/short/", "/long/", "/none/"}[random(5)]
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nT-Key: key\r\nT-Deadline: %d\r\nT-Tokens: 100,400\r\n", path, id, 20+random(200))
	body := strings.Repeat("x", 1+random(900))
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	if random(2) == 0 {
		whole = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	sent := len(whole)
	if random(2) == 0 {
		sent = random(len(whole))
	}
	if _, err := c.Write([]byte(whole[:sent])); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Duration(random(60)) * time.Millisecond))
	_, _ = c.Read(make([]byte, 1+random(2000))) // whatever it brings: the caller leaves
}
