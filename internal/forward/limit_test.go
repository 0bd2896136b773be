package forward

import (
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
)

// Bounds on the requests that reach a target that names a limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5 // of what the limit allows
	limitSlack  = 5   // further requests
	// limitGrace is the time from a target's first response with a limit until it counts.
	limitGrace = 500 * time.Millisecond
)

// limitedTarget answers each request, and names a limit if it has one.
type limitedTarget struct {
	*fakeTarget

	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func newLimitedTarget(t *testing.T, id, limit string) *limitedTarget {
	x := &limitedTarget{limit: limit}
	x.fakeTarget = newFakeTarget(t, id, func(r seenRequest, c net.Conn) {
		x.mu.Lock()
		x.arrivals = append(x.arrivals, time.Now())
		extra := ""
		if x.limit != "" {
			extra = "T-Limit: " + x.limit + "\r\n"
		}
		x.mu.Unlock()
		writeTestResponse(c, r, http.StatusOK, extra, "ok")
	})
	return x
}

func (x *limitedTarget) setLimit(limit string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limit = limit
}

// mostInWindow returns the largest number of requests that arrived in a limitWindow which
// begins at since or later.
func (x *limitedTarget) mostInWindow(since time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	most := 0
	for i, from := range x.arrivals {
		if from.Before(since) {
			continue
		}
		n := 0
		for _, at := range x.arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// newInstances returns fixtures that list each other as entry instances.
func newInstances(t *testing.T, n int, service string, targets ...*fakeTarget) []*fixture {
	var list []fleet.Watcher
	for i := range n {
		list = append(list, fleet.Watcher{Name: fmt.Sprint("e", i)})
	}
	var out []*fixture
	for i := range n {
		f := newFixture(t, service, targets...)
		f.config.Self.Name, f.table.self.Name = list[i].Name, list[i].Name
		f.views.SetEntries("c1", list)
		f.syncTargets()
		out = append(out, f)
	}
	return out
}

// send sends one request and returns the status of the response; 0 without one.
func (f *fixture) send(client *http.Client, path, id string) int {
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader("pay"))
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("T-Id", id)
	r.Header.Set("T-Key", "key")
	r.Header.Set("T-Deadline", "1500")
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	return resp.StatusCode
}

// playRequests sends requests through all fixtures for a time, each at the interval, and
// returns how many were sent and how many were answered with 200.
func playRequests(t *testing.T, fixtures []*fixture, interval, length time.Duration) (sent, served int) {
	t.Helper()
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, f := range fixtures {
		callers.Go(func() {
			client := &http.Client{}
			defer client.CloseIdleConnections()
			for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
				status := f.send(client, "/write/", fmt.Sprintf("%d-%d-%d", i, n, time.Now().UnixNano()))
				mu.Lock()
				sent++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	callers.Wait()
	return sent, served
}

func TestNamedLimitHoldsForAllInstancesTogether(t *testing.T) {
	t.Parallel()
	const limit = 3.3
	x, y := newLimitedTarget(t, "i1", fmt.Sprint(limit)), newLimitedTarget(t, "i2", "")
	instances := newInstances(t, 6, "core", x.fakeTarget, y.fakeTarget)
	started := time.Now()
	sent, served := playRequests(t, instances, 100*time.Millisecond, limitWindow+2*limitGrace)
	factor, window := float64(limitFactor), limitWindow.Seconds()
	most := x.mostInWindow(started.Add(limitGrace))
	assert.Assert(t, float64(most) <= factor*limit*window+limitSlack, "%d requests in %s at a target with a limit of %v/s", most, limitWindow, limit)
	assert.Equal(t, served, sent, "the other target serves what is beyond the limit")
}
