package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
)

var testNow = time.Unix(1000, 0)

func testTable(view *fleet.View) *table {
	t := newTable(Place{Name: "e1", Region: "r", FailureDomain: "r-a"}, map[string]string{"r-a": "r", "r-b": "r", "s-a": "s"})
	t.sync(view, testNow)
	return t
}

func target(id, domain string, cold time.Duration) *fleet.Target {
	t := &fleet.Target{
		Announcement: fleet.Announcement{ID: id, Service: "llm", Address: id, FailureDomain: domain, Born: 1, Sequence: 1, Slots: 4, State: fleet.Ready},
		Heard:        testNow,
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

// Plays a steady load from one instance: guards against one crowded engine
// while others idle, and against paid traffic while near engines have room.
func TestPlacementStaysNearAndEven(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0), target("a2", "r-a", 0), target("b1", "r-b", 0), target("s1", "s-a", 0)))
	place := func() {
		l := tb.acquire(tb.near(engineRequest(1000), nil), testNow)
		assert.Assert(t, l != nil)
		l.started()
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
	assert.Assert(t, e["b1"].requests >= 4 && e["s1"].requests >= 1, "near engines are filled beyond their memory")
}

// Plays two instances that share engines: guards against both choosing the one
// that looks free to each.
func TestPlacementSeesWhatOthersHave(t *testing.T) {
	f := &Forwarder{table: testTable(viewOf(target("a1", "r-a", 0), target("a2", "r-a", 0)))}
	f.SetLoads("e2", map[string]Load{"a1": {Requests: 3, Tokens: 6000}})
	for range 3 {
		l := f.table.acquire(f.table.near(engineRequest(1000), nil), testNow)
		assert.Equal(t, l.endpoint.id, "a2")
	}
	assert.DeepEqual(t, f.Loads(), map[string]Load{"a2": {Requests: 3, Tokens: 3000, Starting: 3000}})
	f.SetLoads("e2", nil)
	assert.Equal(t, f.table.acquire(f.table.near(engineRequest(1000), nil), testNow).endpoint.id, "a1")
}

// Plays an engine that has just started beside busy ones: guards against a pile
// of prompts on it while it is slow, and against leaving it empty.
func TestEnginesThatStartAreFilledSlowly(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0), target("a2", "r-a", 0), target("new", "r-a", time.Second)))
	tb.endpoints["a1"].tokens, tb.endpoints["a2"].tokens = 3000, 3000
	q := engineRequest(500)
	q.service.ColdPerSecond = 0
	fill := func(at time.Time) int {
		before := tb.endpoints["new"].requests
		for range 8 {
			tb.acquire(tb.near(q, nil), at).started()
		}
		return tb.endpoints["new"].requests - before
	}
	cold := fill(testNow)
	assert.Assert(t, cold >= 2 && cold <= 4, "%d of 8 while it is cold", cold)
	afterwards := fill(testNow.Add(time.Second + warmUp))
	assert.Assert(t, afterwards > cold, "%d of 8 once it has caught up", afterwards)
}

// Plays targets that all come back cold: guards against more than they bear
// from all instances together.
func TestColdTargetsGetTheirShare(t *testing.T) {
	v := viewOf(target("a1", "r-a", time.Minute))
	v.Entries = map[string]fleet.Watcher{"e1": {}, "e2": {}}
	tb := testTable(v)
	taken := 0
	for ms := range 2000 {
		if tb.acquire(tb.near(engineRequest(1), nil), testNow.Add(time.Duration(ms)*time.Millisecond)) != nil {
			taken++
		}
	}
	assert.Assert(t, taken > 4 && taken <= 10, "%d requests in 2 s at 10 a second for two instances", taken)
}

// Plays a target that fails time after time: guards against sending on to it
// while others serve, and against giving it up for good.
func TestFailingTargetIsAvoidedForAWhile(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0), target("b1", "r-b", 0)))
	a1 := tb.endpoints["a1"]
	for range 10 {
		tb.failed(a1, testNow)
	}
	assert.Equal(t, tb.acquire(tb.near(engineRequest(1), nil), testNow).endpoint.id, "b1")
	assert.Equal(t, tb.acquire(tb.near(engineRequest(1), nil), testNow.Add(suspectMax)).endpoint.id, "a1")
	assert.Equal(t, tb.acquire(tb.near(engineRequest(1), []*endpoint{tb.endpoints["b1"]}), testNow).endpoint.id, "a1", "the only one left")
}

// Plays departures under memory pressure: guards against copies to another
// region, to engines without room, and to the one link that is already busy.
func TestMoveGoesNearAndToRoom(t *testing.T) {
	tb := testTable(viewOf(target("src", "r-b", 0), target("b1", "r-b", 0), target("b2", "r-b", 0), target("a1", "r-a", 0), target("s1", "s-a", 0)))
	e := tb.endpoints
	d := &demand{q: engineRequest(3000), from: Place{Region: "r", FailureDomain: "r-b"}, far: nearSource, copied: true, exclude: []*endpoint{e["src"]}}
	tb.countIncoming(e["b1"], 2)
	assert.Equal(t, tb.acquire(d, testNow).endpoint.id, "b2")
	e["b1"].tokens, e["b2"].tokens = 8000, 8000
	assert.Equal(t, tb.acquire(d, testNow).endpoint.id, "a1")
	e["a1"].tokens = 8000
	assert.Assert(t, tb.acquire(d, testNow) == nil, "only another region has room")
}

// Guards against instances that move their runs off one target at once: those
// behind others in the order of names wait for their copies.
func TestInstancesTakeTurns(t *testing.T) {
	f := &Forwarder{table: testTable(viewOf(target("src", "r-a", 0)))}
	src := f.table.endpoints["src"]
	f.SetLoads("e0", map[string]Load{"src": {Requests: 2, Tokens: 10_000}})
	f.SetLoads("e2", map[string]Load{"src": {Requests: 2, Tokens: 10_000}})
	assert.Equal(t, f.table.turn(src, engineRequest(1)).Round(time.Millisecond), 546*time.Millisecond)
}

// Plays a storm of failures: guards against repeats beyond the budget that all
// instances share, in any window.
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
			b.request("s", now)
			requests++
			if b.repeat("s", instances, now) {
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
		assert.Assert(t, float64(n) <= c.Ratio*float64(perWindow)+float64(c.Slack), "%d repeats in a window", n)
	}
	assert.Assert(t, len(repeats) > 0)
}

// Plays a target that resets connections: guards against every instance having
// to find out by requests of its own.
func TestSuspicionIsShared(t *testing.T) {
	f := &Forwarder{table: testTable(viewOf(target("a1", "r-a", 0), target("b1", "r-b", 0)))}
	f.SetLoads("e2", map[string]Load{"a1": {Suspect: true}})
	assert.Equal(t, f.table.acquire(f.table.near(engineRequest(1), nil), testNow).endpoint.id, "b1")
	f.SetLoads("e2", nil)
	assert.Equal(t, f.table.acquire(f.table.near(engineRequest(1), nil), testNow).endpoint.id, "a1")
}

// Guards against an endpoint of a former incarnation that keeps its standing.
func TestNewIncarnationIsANewEndpoint(t *testing.T) {
	tb := testTable(viewOf(target("a1", "r-a", 0)))
	old := tb.endpoints["a1"]
	next := target("a1", "r-a", 0)
	next.Born = 2
	tb.sync(viewOf(next), testNow)
	assert.Assert(t, tb.endpoints["a1"] != old)
	select {
	case <-old.left:
	default:
		t.Fatal("runs at the former incarnation are not told")
	}
}
