package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/quarantine"
)

const (
	// crashingPart crashes each target that begins to answer a request with it.
	crashingPart = "dead"
	// crashingLimit is how many requests with a crashing part may reach targets: the five
	// whose crashes show it, and three more.
	crashingLimit = 8
	// targetRestart is how long a crashed target stays away.
	targetRestart = 400 * time.Millisecond
	// firstEventDelay is how long a target works before it begins to answer.
	firstEventDelay = 5 * time.Millisecond
)

// crashingTarget answers streams of three events and plain requests, and crashes when it
// begins to answer a request with crashingPart or crashingBody: its process ends, so that it
// refuses connections, and a new incarnation starts at the same address after restartAfter.
type crashingTarget struct {
	id, address  string
	restartAfter time.Duration

	mu          sync.Mutex
	incarnation int64
	listener    net.Listener
	conns       map[net.Conn]bool
	crashing    int // crashing requests that arrived
	crashes     int
	arrivals    []crashArrival
	crashedBy   []crashArrival
	onRestart   func(incarnation int64)
}

// crashArrival is the arrival of a crashing request, or the crash that it causes.
type crashArrival struct {
	body string
	at   time.Time
}

func newCrashingTarget(t *testing.T, id string) *crashingTarget {
	t.Helper()
	x := &crashingTarget{id: id, restartAfter: targetRestart, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	x.address = l.Addr().String()
	x.start(l)
	t.Cleanup(x.crash)
	return x
}

func (x *crashingTarget) start(l net.Listener) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listener = l
	x.incarnation++
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns[c] = true
			x.mu.Unlock()
			go x.serve(c)
		}
	}()
}

// crash closes the listener and all connections, as the end of a process does.
func (x *crashingTarget) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.listener.Close()
	for c := range x.conns {
		_ = c.Close()
	}
	clear(x.conns)
}

func (x *crashingTarget) restart() {
	l, err := net.Listen("tcp4", x.address)
	if err != nil {
		return // the address is in use again: the target stays away
	}
	x.start(l)
	x.mu.Lock()
	onRestart, incarnation := x.onRestart, x.incarnation
	x.mu.Unlock()
	onRestart(incarnation)
}

func (x *crashingTarget) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		crashing := strings.Contains(r.Header.Get("T-Parts"), crashingPart) || strings.HasPrefix(string(body), crashingBody)
		if crashing {
			x.mu.Lock()
			x.crashing++
			x.arrivals = append(x.arrivals, crashArrival{string(body), time.Now()})
			x.mu.Unlock()
		}
		time.Sleep(firstEventDelay)
		if crashing {
			x.mu.Lock()
			x.crashes++
			x.crashedBy = append(x.crashedBy, crashArrival{string(body), time.Now()})
			x.mu.Unlock()
			x.crash()
			time.AfterFunc(x.restartAfter, x.restart)
			return
		}
		if r.Header.Get("T-Parts") == "" {
			writeTestResponse(c, seenRequest{r, ""}, http.StatusOK, "", "done")
			continue
		}
		streamsEvents(3, 0)(seenRequest{r, ""}, c)
	}
}

func (x *crashingTarget) counts() (crashing, crashes int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.crashing, x.crashes
}

func sumCounts(targets []*crashingTarget) (crashing, crashes int) {
	for _, x := range targets {
		d, c := x.counts()
		crashing += d
		crashes += c
	}
	return crashing, crashes
}

func newCrashingTargets(t *testing.T, n int) []*crashingTarget {
	var targets []*crashingTarget
	for i := range n {
		targets = append(targets, newCrashingTarget(t, fmt.Sprintf("i%d", i)))
	}
	return targets
}

// announceCrashing announces the targets to all fixtures, now and after each restart.
func announceCrashing(t *testing.T, service string, targets []*crashingTarget, fixtures ...*fixture) {
	var mu sync.Mutex
	sequence := uint64(0)
	announce := func(x *crashingTarget, incarnation int64) {
		mu.Lock()
		defer mu.Unlock()
		sequence++
		for _, f := range fixtures {
			f.views.Merge(nil, []fleet.Announcement{{
				ID: x.id, Service: service, Address: x.address, FailureDomain: "r-a", Incarnation: incarnation, Sequence: sequence, Slots: 4, State: fleet.Ready,
			}})
			f.syncTargets()
		}
	}
	for _, x := range targets {
		x.mu.Lock()
		x.onRestart = func(incarnation int64) { announce(x, incarnation) }
		x.mu.Unlock()
		announce(x, 1)
	}
}

// playCrashingParts sends crashing and sound requests in turn through the fixtures, no two alike,
// and returns how many of the last half of the sound ones were served.
func playCrashingParts(t *testing.T, rounds int, fixtures ...*fixture) (served, sound int) {
	t.Helper()
	for n := range rounds {
		f := fixtures[n%len(fixtures)]
		id := fmt.Sprint(n)
		_, _, _ = f.call(t, "POST", "/short/", "pay", "T-Id", "d-"+id, "T-Parts", "5a:50,"+crashingPart+":30,0"+id+":20") // fails
		for k := range 3 {
			resp, body, err := f.call(t, "POST", "/short/", "pay", "T-Id", fmt.Sprintf("s-%d-%d", n, k), "T-Parts", fmt.Sprintf("5a:50,77%d:30,1%d%d:20", k, n, k))
			if n < rounds/2 {
				continue
			}
			sound++
			if err == nil && resp.StatusCode == http.StatusOK && body == events(1, 3) {
				served++
			}
		}
		time.Sleep(80 * time.Millisecond)
	}
	return served, sound
}

func TestCrashingPromptPartStopsReachingTargets(t *testing.T) {
	targets := newCrashingTargets(t, 6)
	f := newFixture(t, "llm")
	announceCrashing(t, "llm", targets, f)
	served, sound := playCrashingParts(t, 24, f)
	crashing, crashes := sumCounts(targets)
	assert.Assert(t, crashing <= crashingLimit, "%d requests with the crashing part reached targets, %d crashes", crashing, crashes)
	assert.Equal(t, served, sound, "sound requests are served once the part is known")
}

// Guards against targets that crash because a request waits there when its part is found.
func TestWaitingRequestIsWithdrawnWhenItsPartIsQuarantined(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	x := newFakeTarget(t, "i1", func(_ seenRequest, c net.Conn) {
		close(received)
		_, _ = c.Read(make([]byte, 1)) // returns when the connection is closed
		close(closed)
	})
	f := newFixture(t, "llm", x)
	done := make(chan int, 1)
	go func() {
		resp, _, err := f.call(t, "POST", "/short/", "pay", "T-Parts", "5a:50,"+crashingPart+":30,9:20")
		if err != nil {
			done <- 0
			return
		}
		done <- resp.StatusCode
	}()
	<-received
	for n := range 3 {
		f.config.Quarantine.RecordServed("llm", []string{"5a", "1"})
		suspect := quarantine.NewSuspect([]string{"5a", crashingPart, fmt.Sprint(n)}, time.Now())
		f.config.Quarantine.RecordCrash(quarantine.CrashID{Target: fmt.Sprint("x", n)}, "llm", time.Now(), suspect)
	}
	time.Sleep(200 * time.Millisecond)
	f.config.Quarantine.RecordServed("llm", []string{"5a", "1"})
	<-closed
	assert.Equal(t, <-done, http.StatusBadGateway, "the request may have run")
	assert.Equal(t, len(x.seen()), 1)
}
