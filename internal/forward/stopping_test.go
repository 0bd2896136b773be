package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What a planned stop takes: requests that last long or are unknown are refused in time.
func TestStopTakesOnlyWhatCompletes(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name                       string
		left, callerWaits, slowest time.Duration
		known, completes           bool
	}{
		{"the caller leaves before", 5 * s, 4 * s, 20 * s, true, true},
		{"short ones", 2 * s, 30 * s, s / 10, true, true},
		{"as long as the rest", 2 * s, 30 * s, 2 * s, true, false},
		{"nothing is known", 5 * s, 7 * s, 0, false, false},
		{"nothing is left", -s, s, s / 100, true, false},
	} {
		assert.Equal(t, completes(c.left, c.callerWaits, c.slowest, c.known), c.completes, c.name)
	}
}

func TestDurationsAreThoseOfTheLastMinute(t *testing.T) {
	d, now := newDurations(), time.Unix(1e9, 0)
	play := func(n int, took time.Duration) {
		for range n {
			q := newTestRequest("write")
			d.begin(q, now)
			d.begin(q, now.Add(took/2)) // a second attempt
			d.end(q, now.Add(took))
		}
	}
	play(minDurations-1, time.Second)
	_, known := d.slowest("write", now)
	assert.Assert(t, !known)
	play(1, 2*time.Second)
	slowest, known := d.slowest("write", now)
	assert.Assert(t, known && slowest == 2*time.Second)

	running := newTestRequest("write")
	d.begin(running, now)
	now = now.Add(5 * time.Second)
	slowest, _ = d.slowest("write", now)
	assert.Equal(t, slowest, 5*time.Second, "one that still runs takes that long at least")
	d.end(running, now)

	now = now.Add(3 * durationWindow)
	_, known = d.slowest("write", now)
	assert.Assert(t, !known)
	d.end(newTestRequest("write"), now) // was never placed
	assert.Equal(t, len(d.running)+len(d.current), 0)
}

func newTestRequest(route string) *request {
	q := &request{}
	for _, r := range testManifest().Routes {
		if r.Name == route {
			q.route = &r
		}
	}
	return q
}

// Guards against writes that a stopping instance takes late in its grace period, passes on
// and cuts at its end: they may not be repeated, so that they are lost.
func TestStopCutsNoWriteThatItTook(t *testing.T) {
	t.Parallel()
	const work, grace = 400 * time.Millisecond, 1200 * time.Millisecond
	x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		time.Sleep(work)
		writeTestResponse(c, r, http.StatusOK, "", "")
	})
	f := newFixture(t, "core", x)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var callers sync.WaitGroup
	for n := range minDurations {
		callers.Go(func() { f.send(client, "/write/", fmt.Sprint("before", n)) })
	}
	callers.Wait()

	endsAt := time.Now().Add(grace)
	f.Stop(endsAt)
	var mu sync.Mutex
	statuses := map[int]int{}
	for n := 0; time.Until(endsAt) > lastResponses; n++ {
		callers.Go(func() {
			status := f.send(client, "/write/", fmt.Sprint("stop", n))
			if time.Now().After(endsAt) {
				status = 0 // the process has ended
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	assert.Equal(t, statuses[0], 0, "cut or answered too late: %v", statuses)
	assert.Assert(t, statuses[http.StatusOK] > 0 && statuses[http.StatusServiceUnavailable] > 0, "%v", statuses)
	assert.Equal(t, len(x.seen()), minDurations+statuses[http.StatusOK], "a refused write must not reach a target: %v", statuses)
}

// Guards against callers that never learn what became of their request: one that still runs
// at the end of a planned stop is answered.
func TestStopAnswersWhatStillRunsAtItsEnd(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	x := newFakeTarget(t, "i1", func(seenRequest, net.Conn) { <-release })
	defer close(release)
	f := newFixture(t, "core", x)
	status := make(chan int, 1)
	go func() { status <- f.send(http.DefaultClient, "/write/", "w1") }()
	for len(x.seen()) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Stop(time.Now().Add(lastResponses + 50*time.Millisecond))
	select {
	case got := <-status:
		assert.Equal(t, got, http.StatusGatewayTimeout, "it may have run")
	case <-time.After(time.Second):
		t.Fatal("no answer")
	}
}
