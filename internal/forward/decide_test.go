package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
)

var testNow = time.Unix(1000, 0)

func testTable(view *fleet.View) *table {
	t := newTable(Location{Name: "e1", Region: "r", FailureDomain: "r-a"}, map[string]string{"r-a": "r", "r-b": "r", "s-a": "s"})
	t.syncEndpoints(view, testNow)
	return t
}

func target(id, domain string, cold time.Duration) *fleet.Target {
	t := &fleet.Target{
		Announcement:  fleet.Announcement{ID: id, Service: "llm", Address: id, FailureDomain: domain, Incarnation: 1, Sequence: 1, Slots: 4, State: fleet.Ready},
		LastAnnounced: testNow,
	}
	if cold > 0 {
		t.ColdUntil = testNow.Add(cold)
	}
	return t
}

func viewOf(targets ...*fleet.Target) *fleet.View {
	v := &fleet.View{Targets: map[string]*fleet.Target{}, OutOfService: map[string]bool{}, Entries: map[string]fleet.Watcher{}}
	for _, x := range targets {
		v.Targets[x.ID] = x
	}
	return v
}

func engineRequest(tokens int) *request {
	return &request{
		route:   &manifest.Route{Kind: manifest.Streaming},
		service: &manifest.Service{Name: "llm", ColdPerSecond: 10, Engine: &manifest.Engine{Slots: 24, MemoryTokens: 10_000, BytesPerToken: 18432, LinkMbps: 2700}},
		tokens:  tokenUse{prompt: tokens},
	}
}

// Guards against an overloaded engine while others are idle, and against paid
// traffic to other failure domains while local engines have room. One instance
// places a growing number of requests.
func TestPlacementPrefersLocalAndBalances(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0), target("a2", "r-a", 0), target("b1", "r-b", 0), target("s1", "s-a", 0)))
	place := func() {
		l := tb.acquireLease(tb.demandFor(engineRequest(1000), nil), testNow)
		assert.Assert(t, l != nil)
		l.endPrefill()
	}
	for range 4 {
		place()
	}
	e := tb.endpoints
	assert.Equal(t, e["a1"].requests, 2)
	assert.Equal(t, e["a2"].requests, 2)
	for range 20 {
		place()
	}
	assert.Assert(t, e["b1"].requests >= 4 && e["s1"].requests >= 1, "local engines are filled beyond their memory")
}

// Guards against two instances that choose the same engine because each counts
// only its own requests there.
func TestPlacementCountsLoadsOfOtherInstances(t *testing.T) {
	f := &Forwarder{table: testTable(viewOf(target("a1", "r-a", 0), target("a2", "r-a", 0)))}
	f.SetLoads("e2", map[string]Load{"a1": {Requests: 3, Tokens: 6000}})
	for range 3 {
		l := f.table.acquireLease(f.table.demandFor(engineRequest(1000), nil), testNow)
		assert.Equal(t, l.endpoint.id, "a2")
	}
	assert.DeepEqual(t, f.Loads(), map[string]Load{"a2": {Requests: 3, Tokens: 3000, PrefillTokens: 3000}})
	f.SetLoads("e2", nil)
	assert.Equal(t, f.table.acquireLease(f.table.demandFor(engineRequest(1000), nil), testNow).endpoint.id, "a1")
}

// Guards against a newly started engine that receives a backlog of prompts while
// it is slow and the others are busy, and against one that receives no requests.
func TestColdEngineReceivesFewerRequests(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0), target("a2", "r-a", 0), target("new", "r-a", time.Second)))
	tb.endpoints["a1"].tokens, tb.endpoints["a2"].tokens = 3000, 3000
	q := engineRequest(500)
	q.service.ColdPerSecond = 0
	fill := func(at time.Time) int {
		before := tb.endpoints["new"].requests
		for range 8 {
			tb.acquireLease(tb.demandFor(q, nil), at).endPrefill()
		}
		return tb.endpoints["new"].requests - before
	}
	cold := fill(testNow)
	assert.Assert(t, cold >= 2 && cold <= 4, "%d of 8 while it is cold", cold)
	afterwards := fill(testNow.Add(time.Second + warmUp))
	assert.Assert(t, afterwards > cold, "%d of 8 after it has warmed up", afterwards)
}

// Guards against a cold target that receives more requests from all instances
// together than its cold rate allows. The only target is cold, so no warm target
// can take requests, as when all targets restart together.
func TestColdRateIsSharedByInstances(t *testing.T) {
	v := viewOf(target("a1", "r-a", time.Minute))
	v.Entries = map[string]fleet.Watcher{"e1": {}, "e2": {}}
	tb := testTable(v)
	taken := 0
	for ms := range 2000 {
		if tb.acquireLease(tb.demandFor(engineRequest(1), nil), testNow.Add(time.Duration(ms)*time.Millisecond)) != nil {
			taken++
		}
	}
	assert.Assert(t, taken > 4 && taken <= 10, "%d requests in 2 s at 10 a second for two instances", taken)
}

// Guards against a cold target that gets a request of each of many instances at the
// moment at which it starts: it looks empty to all of them, and crashes.
func TestManyInstancesTogetherKeepTheColdRate(t *testing.T) {
	// The platform allows half more than the rate that a cold target sustains, plus 5 requests.
	const seconds, coldOverrun, coldSlack = 3, 1.5, 5
	for _, c := range []struct {
		instances int
		rate      float64
	}{{1, 20}, {6, 20}, {24, 20}, {100, 20}, {300, 20}, {24, 10}, {24, 42}, {100, 42}} {
		instances := c.instances
		v := viewOf(target("a1", "r-a", time.Minute))
		v.Entries = map[string]fleet.Watcher{}
		for i := range instances {
			v.Entries[fmt.Sprint(i)] = fleet.Watcher{}
		}
		var tables []*table
		for i := range instances {
			tb := testTable(v)
			tb.self.Name = fmt.Sprint(i)
			tables = append(tables, tb)
		}
		q := engineRequest(1)
		q.service.ColdPerSecond = c.rate
		var sent [1000 * seconds]int
		for ms := range sent {
			for _, tb := range tables {
				if tb.acquireLease(tb.demandFor(q, nil), testNow.Add(time.Duration(ms)*time.Millisecond)) != nil {
					sent[ms]++
				}
			}
		}
		inWindow, most, total := 0, 0, 0
		for ms, n := range sent {
			inWindow += n
			total += n
			if ms >= 1000 {
				inWindow -= sent[ms-1000]
			}
			most = max(most, inWindow)
		}
		assert.Assert(t, float64(most) <= c.rate*coldOverrun+coldSlack, "%d requests in one second from %d instances", most, instances)
		assert.Assert(t, float64(total) >= c.rate*seconds/2, "%d instances use only %d of %v", instances, total, c.rate*seconds)
	}
}

// Guards against requests to a target that fails repeatedly while others could
// serve them, and against avoiding that target forever.
func TestFailingTargetIsAvoidedTemporarily(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0), target("b1", "r-b", 0)))
	a1 := tb.endpoints["a1"]
	for range 10 {
		tb.markFailed(a1, testNow)
	}
	assert.Equal(t, tb.acquireLease(tb.demandFor(engineRequest(1), nil), testNow).endpoint.id, "b1")
	assert.Equal(t, tb.acquireLease(tb.demandFor(engineRequest(1), nil), testNow.Add(suspectMax)).endpoint.id, "a1")
	assert.Equal(t, tb.acquireLease(tb.demandFor(engineRequest(1), []*endpoint{tb.endpoints["b1"]}), testNow).endpoint.id, "a1", "the only one left")
}

// Guards against runs that are moved, under memory pressure, to another region,
// to engines without room, or over a link that is already carrying copies.
func TestMovePrefersLocalEngineWithMemory(t *testing.T) {
	tb := testTable(viewOf(target("src", "r-b", 0), target("b1", "r-b", 0), target("b2", "r-b", 0), target("a1", "r-a", 0), target("s1", "s-a", 0)))
	e := tb.endpoints
	d := &demand{q: engineRequest(3000), origin: Location{Region: "r", FailureDomain: "r-b"}, costs: moveCosts, isMove: true, exclude: []*endpoint{e["src"]}}
	tb.addIncomingCopies(e["b1"], 2)
	assert.Equal(t, tb.acquireLease(d, testNow).endpoint.id, "b2")
	e["b1"].tokens, e["b2"].tokens = 8000, 8000
	assert.Equal(t, tb.acquireLease(d, testNow).endpoint.id, "a1")
	e["a1"].tokens = 8000
	assert.Assert(t, tb.acquireLease(d, testNow) == nil, "only another region has room")
}

// Guards against instances that move their runs off one target at the same time.
// Each instance must wait for the copies of the instances before it in the order
// of names.
func TestInstancesMoveRunsOneAfterAnother(t *testing.T) {
	f := &Forwarder{table: testTable(viewOf(target("src", "r-a", 0)))}
	src := f.table.endpoints["src"]
	f.SetLoads("e0", map[string]Load{"src": {Requests: 2, Tokens: 10_000}})
	f.SetLoads("e2", map[string]Load{"src": {Requests: 2, Tokens: 10_000}})
	assert.Equal(t, f.table.moveDelay(src, engineRequest(1)).Round(time.Millisecond), 546*time.Millisecond)
}

// Guards against more retries in any window than the budget that all instances
// share, while every request fails.
func TestRetryBudget(t *testing.T) {
	const instances = 4
	c := BudgetConfig{Window: 10 * time.Second, Ratio: 0.2, Slack: 40}
	var all [instances]*budget
	for i := range all {
		all[i] = newBudget(c)
	}
	var repeats []time.Time
	requests := 0
	for ms := 0; ms < 30_000; ms += 10 {
		now := testNow.Add(time.Duration(ms) * time.Millisecond)
		for _, b := range all {
			b.recordRequest("s", now)
			requests++
			if b.allowRetry("s", instances, now) {
				repeats = append(repeats, now)
			}
		}
	}
	perWindow := requests / 3
	for i, from := range repeats {
		n := 0
		for _, at := range repeats[i:] {
			if at.Sub(from) < c.Window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= c.Ratio*float64(perWindow)+c.Slack, "%d repeats in a window", n)
	}
	assert.Assert(t, len(repeats) > 0)
}

// A target that one instance suspects, for example because it resets
// connections, must be avoided by the other instances too. Otherwise each would notice the failing target only by failures of its
// own requests.
func TestSuspectTargetsAreSharedByInstances(t *testing.T) {
	f := &Forwarder{table: testTable(viewOf(target("a1", "r-a", 0), target("b1", "r-b", 0)))}
	f.SetLoads("e2", map[string]Load{"a1": {Suspect: true}})
	assert.Equal(t, f.table.acquireLease(f.table.demandFor(engineRequest(1), nil), testNow).endpoint.id, "b1")
	f.SetLoads("e2", nil)
	assert.Equal(t, f.table.acquireLease(f.table.demandFor(engineRequest(1), nil), testNow).endpoint.id, "a1")
}

// Guards against an endpoint that is reused for a new incarnation of its target
// and keeps the state of the previous one, such as its failures and loads. Runs at
// the previous incarnation must be notified that it gets no new requests any more.
func TestNewIncarnationIsANewEndpoint(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0)))
	old := tb.endpoints["a1"]
	next := target("a1", "r-a", 0)
	next.Incarnation = 2
	tb.syncEndpoints(viewOf(next), testNow)
	assert.Assert(t, tb.endpoints["a1"] != old)
	select {
	case <-old.drainStarted:
	default:
		t.Fatal("runs at the previous incarnation are not notified")
	}
}

// Guards against memory that grows with each service that a manifest has ever named.
func TestBudgetForgetsServicesOfEarlierManifests(t *testing.T) {
	b, now := newBudget(BudgetConfig{Window: time.Second, Ratio: 0.2, Slack: 10}), testNow
	for n := range 1000 {
		now = now.Add(200 * time.Millisecond)
		b.recordRequest("kept", now)
		b.recordRequest(fmt.Sprint("service-", n), now)
		assert.Assert(t, len(b.services) < 10, "%d services", len(b.services))
	}
	requests, _ := b.windowCounts("kept", now)
	assert.Equal(t, requests, 5)
}
