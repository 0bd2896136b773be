package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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

// limitPlay places requests of many instances on one target that names a limit, without a
// network.
type limitPlay struct {
	tables []*table
	now    time.Time
	sent   []time.Time
}

func newLimitPlay(instances int, limit float64) *limitPlay {
	v := viewOf(target("a1", "r-a", 0))
	p := &limitPlay{now: testNow}
	for i := range instances {
		v.Entries[fmt.Sprint(i)] = fleet.Watcher{}
	}
	for i := range instances {
		tb := testTable(v)
		tb.self.Name = fmt.Sprint(i)
		tb.setLimit(tb.endpoints["a1"], limit, p.now)
		p.tables = append(p.tables, tb)
	}
	return p
}

// run lets each instance try a request at each interval.
func (p *limitPlay) run(interval, length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(interval) {
		for _, tb := range p.tables {
			if l := tb.acquireLease(tb.demandFor(engineRequest(1), nil), p.now); l != nil {
				p.sent = append(p.sent, p.now)
				l.endPrefill()
				l.release()
			}
		}
	}
}

func (p *limitPlay) mostInWindow() int {
	most := 0
	for i, from := range p.sent {
		n := 0
		for _, at := range p.sent[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestNamedLimitHoldsForManyInstancesAndIsUsed(t *testing.T) {
	const length = 40 * time.Second
	for _, instances := range []int{1, 2, 6, 24, 100, 300} {
		for _, limit := range []float64{0.5, 3.3, 20, 200} {
			t.Run(fmt.Sprintf("%d instances %v per second", instances, limit), func(t *testing.T) {
				p := newLimitPlay(instances, limit)
				interval := 20 * time.Millisecond
				if instances >= 100 {
					interval = 100 * time.Millisecond
				}
				p.run(interval, length)
				allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
				assert.Assert(t, float64(p.mostInWindow()) <= allowed, "%d in %s, %v allowed", p.mostInWindow(), limitWindow, allowed)
				if wanted := min(limit, 50*float64(instances)) * length.Seconds(); wanted >= float64(instances) {
					assert.Assert(t, float64(len(p.sent)) >= 0.9*wanted, "%d of %v used while requests wait", len(p.sent), wanted)
				}
			})
		}
	}
}

// Guards against a limit that is exceeded because idle instances save up requests.
func TestNamedLimitHoldsAfterIdleTime(t *testing.T) {
	for _, instances := range []int{6, 24, 300} {
		p := newLimitPlay(instances, 3.3)
		p.run(20*time.Millisecond, 5*time.Second)
		p.now = p.now.Add(time.Minute)
		p.run(20*time.Millisecond, 5*time.Second)
		allowed := limitFactor*3.3*limitWindow.Seconds() + limitSlack
		assert.Assert(t, float64(p.mostInWindow()) <= allowed, "%d instances: %d, %v allowed", instances, p.mostInWindow(), allowed)
	}
}

func TestNamedLimitFollowsTheTarget(t *testing.T) {
	t.Parallel()
	x := newLimitedTarget(t, "i1", "0.5")
	f := newFixture(t, "core", x.fakeTarget)
	play := func(length time.Duration) (sent, served int) {
		return playRequests(t, []*fixture{f}, 20*time.Millisecond, length)
	}
	sent, served := play(time.Second)
	assert.Assert(t, served < sent/2, "%d of %d served beyond the limit", served, sent)
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	pause, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, pause > 0 && pause <= 2, "Retry-After: %v", pause)
	x.setLimit("many")
	time.Sleep(2 * time.Second)
	_, served = play(time.Second)
	assert.Assert(t, served <= 2, "a limit that is no number leaves the last one in force: %d served", served)
	x.setLimit("")
	time.Sleep(2 * time.Second)
	_, _ = play(100 * time.Millisecond)
	sent, served = play(time.Second)
	assert.Equal(t, served, sent, "the target names no limit any more")
	x.setLimit("0.5")
	_, _ = play(time.Second)
	f.seq++
	f.views.Merge(nil, []fleet.Announcement{{
		ID: x.id, Service: "core", Address: x.address, FailureDomain: "r-a", Incarnation: 2, Sequence: f.seq, Slots: 4, State: fleet.Ready,
	}})
	f.syncTargets()
	x.setLimit("")
	sent, served = play(300 * time.Millisecond)
	assert.Equal(t, served, sent, "a restarted target has no limit")
}

func TestLimitsAreParsed(t *testing.T) {
	for text, want := range map[string]float64{"3.25": 3.25, " 7 ": 7, "0": minLimit, "1e2": 100} {
		got, ok := parseLimit([]string{text})
		assert.Assert(t, ok && got == want, "%q: %v", text, got)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "many", "3,5"} {
		_, ok := parseLimit([]string{text})
		assert.Assert(t, !ok, "%q", text)
	}
	_, ok := parseLimit(nil)
	assert.Assert(t, ok)
}

// Guards against instances that keep to a limit that has ended, or exceed one that they
// have not been told, because the target has not answered them since.
func TestInstancesLearnLimitsFromEachOther(t *testing.T) {
	p := newLimitPlay(2, 0)
	a, b := p.tables[0], p.tables[1]
	e := b.endpoints["a1"]
	tell := func(from *table, to *table) {
		(&Forwarder{table: to}).SetLoads("peer", (&Forwarder{table: from}).Loads())
	}
	at := time.Now()
	a.setLimit(a.endpoints["a1"], 0.2, at.Add(time.Second))
	tell(a, b)
	assert.Equal(t, e.limit, 0.2)
	b.setLimit(e, 0.2, at.Add(2*time.Second))
	a.setLimit(a.endpoints["a1"], 0, at.Add(3*time.Second))
	tell(b, a)
	assert.Equal(t, a.endpoints["a1"].limit, 0.0, "what another instance saw before does not count")
	tell(a, b)
	assert.Equal(t, e.limit, 0.0)
	e.createdAt = at.Add(time.Minute)
	e.said.limit = NamedLimit{}
	a.setLimit(a.endpoints["a1"], 0.2, at.Add(4*time.Second))
	tell(a, b)
	assert.Equal(t, e.limit, 0.0, "the limit of an earlier incarnation")
}
