package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
)

func gone(c *engineConn) { c.w.WriteHeader(http.StatusNotFound) }

// refusedAddress is an address at which nothing listens.
func refusedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards P1 on one target: whatever happens to the connection, the caller gets
// each token once and the whole stream, and the request is dispatched once.
func TestStreamSurvivesBadConnections(t *testing.T) {
	for name, first := range map[string]func(*engineConn){
		"silent before the answer":      func(c *engineConn) { c.silent() },
		"silent before the first token": func(c *engineConn) { c.open(); c.silent() },
		"silent after tokens":           func(c *engineConn) { c.open(); c.tokens(0, 3); c.silent() },
		"cut after tokens":              func(c *engineConn) { c.open(); c.tokens(0, 3); c.cut() },
		"cut in an event":               func(c *engineConn) { c.open(); c.tokens(0, 3); fmt.Fprint(c.w, "id: 3\ndata: {"); c.cut() },
		"foreign id after tokens":       func(c *engineConn) { c.open(); c.tokens(0, 3); c.chunk("other", 3, "x", ""); c.silent() },
		"foreign finish":                func(c *engineConn) { c.open(); c.tokens(0, 3); c.chunk("other", 3, "", "stop"); c.silent() },
		"gap":                           func(c *engineConn) { c.open(); c.tokens(0, 3); c.tokens(4, 6); c.silent() },
		"duplicates":                    func(c *engineConn) { c.open(); c.tokens(0, 3); c.tokens(0, 3); c.cut() },
		"end mark too early":            func(c *engineConn) { c.open(); c.tokens(0, 3); fmt.Fprint(c.w, "data: [DONE]\n\n") },
		"garbage":                       func(c *engineConn) { c.open(); c.tokens(0, 3); fmt.Fprint(c.w, "id: 3\ndata: {}\n\n"); c.silent() },
		"refused as a duplicate":        func(c *engineConn) { c.w.WriteHeader(http.StatusConflict) },
		"too long a line":               func(c *engineConn) { c.open(); fmt.Fprint(c.w, "data: "+strings.Repeat("x", 1<<17)); c.silent() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			engine := newEngine(t, first, whole(10))
			b.offer("llm-1", engine.address())
			a := b.generate()
			tokensOf(t, a.body, 0, 10)
			assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"), a.body)
			assert.Equal(t, engine.count("POST"), 1)
		})
	}
}

// Guards against a second generation under one id, and against giving up a
// request that another target can still run.
func TestRestartsElsewhereBeforeTheFirstToken(t *testing.T) {
	full := func(c *engineConn) {
		c.w.Header().Set("X-Not-Run", "true")
		c.w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, scripts := range map[string][]func(*engineConn){
		"dies before the first token": {func(c *engineConn) { c.open(); c.cut() }, gone},
		"full":                        {full},
		"fails":                       {func(c *engineConn) { c.w.WriteHeader(http.StatusInternalServerError) }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			bad, good := newEngine(t, scripts...), newEngine(t, whole(10))
			b.offer("llm-1", bad.address())
			b.offer("llm-2", good.address())
			a := b.generate()
			assert.Equal(t, tokensOf(t, a.body, 0, 10), good.ids[0])
			assert.Assert(t, bad.ids[0] != good.ids[0])
			eventually(t, "permits released", func() bool { return b.owner.heldPermits() == 0 })
		})
	}
	t.Run("refuses connections", func(t *testing.T) {
		b := newBed(t)
		good := newEngine(t, whole(10))
		b.offer("llm-1", refusedAddress(t))
		b.offer("llm-2", good.address())
		tokensOf(t, b.generate().body, 0, 10)
	})
}

// Guards against a dead target that swallows the retry budget: until its
// announcement expires its owner goes on granting it.
func TestDeadTargetIsAvoided(t *testing.T) {
	b := newBed(t)
	b.offer("llm-1", refusedAddress(t))
	b.offer("llm-2", newEngine(t, whole(2)).address())
	for range 8 {
		tokensOf(t, b.generate().body, 0, 2)
	}
	failed := 0
	for _, r := range b.owner.releaseReasons() {
		if r == api.ReleaseReason_RELEASE_REASON_FAILED {
			failed++
		}
	}
	assert.Equal(t, failed, 1)
}

// Guards P1 and the report of a lost generation: after tokens were delivered
// nothing is started again, and the error says how many were.
func TestLostAfterTokens(t *testing.T) {
	b := newBed(t)
	dies := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 5); c.cut() }, gone)
	other := newEngine(t, whole(10))
	b.offer("llm-1", dies.address())
	b.offer("llm-2", other.address())
	a := b.generate()
	tokensOf(t, a.body, 0, 5)
	code, execution := a.code(t)
	assert.Equal(t, code, 3002)
	assert.Equal(t, execution, "ran")
	assert.Assert(t, strings.Contains(a.body, `"delivered":5`), a.body)
	assert.Equal(t, other.count("POST"), 0)
}

// Guards P5: a refusal after an attempt that may have run must not say "not
// run".
func TestRefusalAfterAnAttemptIsNotCalledNotRun(t *testing.T) {
	b := newBed(t)
	b.offer("llm-1", newEngine(t, func(c *engineConn) { c.open(); c.cut() }, gone).address())
	code, execution := b.generate().code(t)
	assert.Equal(t, code, 2004)
	assert.Equal(t, execution, "unknown")
}

// Guards P5 and P3: a lease that ends, or a failure domain that is taken out,
// while the request waits for its permit must stop the dispatch.
func TestChecksAgainRightBeforeDispatch(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*bed)
		code   int
	}{
		"lease ends":        {func(b *bed) { b.source.stale.Store(true) }, 2006},
		"domain taken out":  {func(b *bed) { b.takeOut() }, 2004},
		"account removed":   {func(b *bed) { b.removeAccount("one") }, 1003},
		"target is drained": {func(b *bed) { b.drainTargets("llm-1") }, 2004},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			engine := newEngine(t, whole(1))
			b.offer("llm-1", engine.address())
			b.owner.onAcquire = func(*api.AcquireRequest) { c.change(b) }
			code, execution := b.generate().code(t)
			assert.Equal(t, code, c.code)
			assert.Equal(t, execution, "not_run")
			assert.Equal(t, engine.count("POST"), 0)
			assert.Equal(t, b.owner.heldPermits(), 0)
		})
	}
}

// takeOut takes failure domain a out of service.
func (b *bed) takeOut() {
	team := parseSettings(b.t, false)
	b.source.update(func(v *session.View) { v.Teams = map[string]session.Team{"farm": {Revision: 2, Settings: team}} })
}

func (b *bed) removeAccount(name string) {
	team := parseSettings(b.t, true)
	delete(team.Accounts, name)
	b.source.update(func(v *session.View) { v.Teams = map[string]session.Team{"farm": {Revision: 2, Settings: team}} })
}

func (b *bed) drainTargets(names ...string) {
	team := parseSettings(b.t, true)
	for name, s := range team.Services {
		s.DrainedTargets = names
		team.Services[name] = s
	}
	b.source.update(func(v *session.View) { v.Teams = map[string]session.Team{"farm": {Revision: 2, Settings: team}} })
}

// Guards against requests lost while a shard changes hands: they wait for the
// next owner, and are refused truthfully when none comes.
func TestWaitsForAnOwner(t *testing.T) {
	t.Run("comes back", func(t *testing.T) {
		b := newBed(t)
		b.offer("llm-1", newEngine(t, whole(4)).address())
		b.owner.outcomes = []api.AcquireOutcome{api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER}
		b.owner.onAcquire = func(*api.AcquireRequest) { b.source.update(func(*session.View) {}) }
		tokensOf(t, b.generate().body, 0, 4)
	})
	t.Run("unreachable", func(t *testing.T) {
		b := newBed(t)
		address := refusedAddress(t)
		b.source.update(func(v *session.View) {
			v.Assignments = map[session.ShardKey]*api.Assignment{
				{Team: "farm", Service: "llm", Region: "home"}: {OwnerSession: 9, OwnerAddress: address, Epoch: 2},
			}
		})
		code, execution := b.generate().code(t)
		assert.Equal(t, code, 2007)
		assert.Equal(t, execution, "not_run")
	})
}

// Guards the answers of owners that grant nothing.
func TestRefusalsOfOwners(t *testing.T) {
	for outcome, code := range map[api.AcquireOutcome]int{
		api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED: 2003,
		api.AcquireOutcome_ACQUIRE_OUTCOME_FULL:       2005,
		api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET:  2004,
	} {
		b := newBed(t)
		b.owner.outcomes = make([]api.AcquireOutcome, 1000)
		for i := range b.owner.outcomes {
			b.owner.outcomes[i] = outcome
		}
		b.owner.onAcquire = func(r *api.AcquireRequest) {
			if outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_FULL {
				time.Sleep(time.Duration(r.GetWaitMs()) * time.Millisecond) // the owner's queue
			}
		}
		a := b.generate()
		got, execution := a.code(t)
		assert.Equal(t, got, code)
		assert.Equal(t, execution, "not_run")
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.header.Get("Retry-After"), "1")
	}
}

// startStream starts a generation and returns once n tokens arrived.
func (b *bed) startStream(ctx context.Context, n int) (*http.Response, string) {
	b.t.Helper()
	resp, err := b.request(ctx, "POST", "/v1/chat/completions", callerKey, streamBody)
	assert.NilError(b.t, err)
	assert.Equal(b.t, resp.StatusCode, http.StatusOK)
	var text strings.Builder
	buf := make([]byte, 1)
	for strings.Count(text.String(), "\n\n") < n {
		_, err := io.ReadFull(resp.Body, buf)
		assert.NilError(b.t, err)
		text.Write(buf)
	}
	return resp, text.String()
}

// Guards against capacity kept by callers that are gone, and against cancelling
// a generation that this instance does not hold any more.
func TestCancelsWhenTheCallerStaysAway(t *testing.T) {
	for _, moved := range []bool{false, true} {
		t.Run(fmt.Sprintf("permit moved %t", moved), func(t *testing.T) {
			b := newBed(t)
			engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 2); c.alive() })
			b.offer("llm-1", engine.address())
			ctx, cancel := context.WithCancel(context.Background())
			resp, _ := b.startStream(ctx, 2)
			if moved {
				b.owner.mu.Lock()
				b.owner.granted["p1.1"] = 77
				b.owner.mu.Unlock()
			}
			cancel()
			resp.Body.Close()
			eventually(t, "release", func() bool { return len(b.owner.releaseReasons()) == 1 })
			b.entry.commands.Wait()
			assert.Equal(t, b.owner.releaseReasons()[0], api.ReleaseReason_RELEASE_REASON_CANCELLED)
			assert.Equal(t, engine.count("DELETE") == 1, !moved)
			assert.Equal(t, engine.count("GET"), 0) // must not displace a reader elsewhere
		})
	}
}

// Guards against a caller that accepts no more bytes and would hold its stream
// and its permit for good.
func TestCallerThatStopsReadingIsGone(t *testing.T) {
	b := newBed(t)
	engine := newEngine(t, func(c *engineConn) {
		c.open()
		large := strings.Repeat("x", 32<<10)
		for i := 0; c.r.Context().Err() == nil; i++ { // until the entry leaves
			c.chunk(c.id, i, large, "")
		}
	}, gone)
	b.offer("llm-1", engine.address())
	resp, _ := b.startStream(context.Background(), 1)
	defer resp.Body.Close()
	eventually(t, "release", func() bool { return len(b.owner.releaseReasons()) == 1 })
	b.entry.commands.Wait()
	assert.Equal(t, b.owner.releaseReasons()[0], api.ReleaseReason_RELEASE_REASON_CANCELLED)
	assert.Equal(t, engine.count("DELETE"), 1)
}

// Guards P1 over instances: a caller that lost its connection gets the rest of
// the same generation elsewhere, and the former instance does not cancel it.
func TestResumeAtAnotherInstance(t *testing.T) {
	first := newBed(t)
	second := startBed(t, newSource(t, 2), first.owner, "entry-2")
	first.owner.mu.Lock()
	second.source.update(func(v *session.View) {
		for _, a := range v.Assignments {
			a.OwnerAddress = strings.TrimPrefix(first.base, "http://")
		}
	})
	first.owner.mu.Unlock()
	engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 3); c.alive() }, whole(9))
	first.offer("llm-1", engine.address())
	ctx, cancel := context.WithCancel(context.Background())
	resp, text := first.startStream(ctx, 3)
	cancel()
	resp.Body.Close()
	id := tokensOf(t, text, 0, 3)
	rest := second.call("GET", "/v1/generations/"+id+"?offset=3", callerKey, "")
	assert.Equal(t, tokensOf(t, rest.body, 3, 9), id)
	assert.Assert(t, strings.HasSuffix(rest.body, "data: [DONE]\n\n"))
	first.entry.commands.Wait()
	assert.Equal(t, engine.count("DELETE"), 0)
	assert.Equal(t, engine.count("POST"), 1)
	assert.Equal(t, first.owner.heldPermits(), 0)
}

// Guards a resume while the shard has no owner: the stream goes on, and the
// next owner learns that this instance holds the permit.
func TestResumeWithoutAnOwner(t *testing.T) {
	b := newBed(t)
	hold := make(chan struct{})
	engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(c.offset, 4); c.aliveUntil(hold); c.tokens(4, 6); c.finish(6) })
	b.announce(targetKey, strings.Replace(announcement, "127.0.0.1:9000", engine.address(), 1))
	b.source.update(func(v *session.View) { v.Assignments = map[session.ShardKey]*api.Assignment{} })
	got := make(chan answer)
	go func() { got <- b.call("GET", "/v1/generations/g1.llm.llm-1.p1~5-00ff?offset=2", callerKey, "") }()
	eventually(t, "stream", func() bool { return engine.count("GET") == 1 })
	b.source.update(func(v *session.View) {
		v.Assignments = map[session.ShardKey]*api.Assignment{{Team: "farm", Service: "llm", Region: "home"}: {OwnerSession: 1, Epoch: 8}}
	})
	eventually(t, "report to the new owner", func() bool {
		b.owner.mu.Lock()
		defer b.owner.mu.Unlock()
		for _, r := range b.owner.reports {
			if r.GetFirstForEpoch() == 8 && r.GetPermits()[0].GetPermitId() == "p1.5" {
				return true
			}
		}
		return false
	})
	close(hold)
	tokensOf(t, (<-got).body, 2, 6)
}

// Guards against giving up a generation that still runs: the demo with an entry
// instance killed (seed 3) lost three, because the home shard had no owner and
// the other region's owner, which did not know them, decided. Caught mutation:
// unknown as soon as one owner was reached.
func TestResumeWhileOneRegionHasNoOwner(t *testing.T) {
	b := newBed(t)
	b.source.update(func(v *session.View) {
		key := session.ShardKey{Team: "farm", Service: "llm", Region: "away"}
		v.Assignments = map[session.ShardKey]*api.Assignment{key: {OwnerSession: 1, Epoch: 8, Shard: key.Proto()}}
	})
	got := b.call("GET", "/v1/generations/g1.llm.llm-1.p1~5-00ff?offset=2", callerKey, "")
	code, _ := got.code(t)
	assert.Equal(t, code, 2007, got.body)
}

// Guards against two connections of one caller that displace each other: the
// newer one takes the generation over within the instance.
func TestResumeAtTheSameInstance(t *testing.T) {
	b := newBed(t)
	engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 3); c.alive() }, whole(9))
	b.offer("llm-1", engine.address())
	resp, text := b.startStream(context.Background(), 3)
	id := tokensOf(t, text, 0, 3)
	rest := b.call("GET", "/v1/generations/"+id+"?offset=2", callerKey, "")
	tokensOf(t, rest.body, 2, 9)
	_, err := io.ReadAll(resp.Body)
	assert.ErrorContains(t, err, "unexpected EOF") // the old answer must not look complete
	resp.Body.Close()
	assert.Equal(t, b.owner.transfers, 0)
	assert.Equal(t, b.owner.heldPermits(), 0)
}

// Guards against two instances that take a target's stream from each other: an
// instance whose caller resumed elsewhere over a path that went silent learns
// of it before it opens the stream again, and stops.
func TestFormerInstanceDoesNotTakeTheStreamBack(t *testing.T) {
	first := newBed(t)
	second := startBed(t, newSource(t, 2), first.owner, "entry-2")
	second.source.update(func(v *session.View) {
		for _, a := range v.Assignments {
			a.OwnerAddress = strings.TrimPrefix(first.base, "http://")
		}
	})
	replaced := make(chan struct{})
	var once sync.Once
	engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 3); c.aliveUntil(replaced); c.cut() },
		func(c *engineConn) {
			c.open()
			once.Do(func() { close(replaced) }) // a newer reader ends the older stream
			c.tokens(3, 5)
			time.Sleep(testTiming.Silence / 2) // time for the former instance to come back
			c.tokens(5, 9)
			c.finish(9)
		})
	first.offer("llm-1", engine.address())
	resp, text := first.startStream(context.Background(), 3) // stays open: the caller's path is silent
	defer resp.Body.Close()
	id := tokensOf(t, text, 0, 3)
	rest := second.call("GET", "/v1/generations/"+id+"?offset=3", callerKey, "")
	tokensOf(t, rest.body, 3, 9)
	_, err := io.ReadAll(resp.Body)
	assert.ErrorContains(t, err, "unexpected EOF")
	assert.Equal(t, engine.count("GET"), 1)
	assert.Equal(t, engine.count("DELETE"), 0)
	assert.Equal(t, first.owner.heldPermits(), 0)
}

// Guards against generations opened with the key of another account or with
// made-up ids, and checks the numbered errors of resumes.
func TestResumeErrors(t *testing.T) {
	b := newBed(t)
	engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 3); c.alive() }, gone)
	b.offer("llm-1", engine.address())
	resp, text := b.startStream(context.Background(), 3)
	defer resp.Body.Close()
	id := tokensOf(t, text, 0, 3)
	for _, c := range []struct {
		path, key string
		code      int
	}{
		{"/v1/generations/nonsense?offset=0", callerKey, 1009},
		{"/v1/generations/g1.core.core-1.x?offset=0", callerKey, 1009},
		{"/v1/generations/" + id + "?offset=-1", callerKey, 1010},
		{"/v1/generations/" + id + "?offset=x", callerKey, 1010},
		{"/v1/generations/" + id + "?offset=0", "", 1002},
		{"/v1/generations/" + id + "?offset=0", otherKey, 1003},
		{"/v1/generations/g1.llm.llm-1.p9~9-00?offset=4", callerKey, 1009},
	} {
		code, execution := b.call("GET", c.path, c.key, "").code(t)
		assert.Equal(t, code, c.code, c.path)
		assert.Assert(t, c.code == 1002 || execution == "unknown", c.path)
	}
}

// Guards against connections that look dead to the caller while the target is
// slow.
func TestHeartbeatsWhileTheTargetIsSlow(t *testing.T) {
	b := newBed(t)
	engine := newEngine(t, func(c *engineConn) {
		c.open()
		for range 6 {
			time.Sleep(testTiming.Silence / 3)
			fmt.Fprint(c.w, ": heartbeat\n\n")
			c.flush()
		}
		c.tokens(0, 1)
		c.finish(1)
	})
	b.offer("llm-1", engine.address())
	a := b.generate()
	tokensOf(t, a.body, 0, 1)
	assert.Assert(t, strings.Count(a.body, ": heartbeat\n\n") >= 5, a.body)
}

// Guards a new owner's picture: it gets every permit, with its request, at
// once after the change.
func TestReportsToANewOwner(t *testing.T) {
	b := newBed(t)
	engine := newEngine(t, func(c *engineConn) {
		c.open()
		fmt.Fprint(c.w, ": preempted\n\n")
		c.tokens(0, 3)
		c.alive()
	}, whole(9))
	b.offer("llm-1", engine.address())
	resp, _ := b.startStream(context.Background(), 3)
	defer resp.Body.Close()
	b.source.update(func(v *session.View) {
		v.Assignments = map[session.ShardKey]*api.Assignment{
			{Team: "farm", Service: "llm", Region: "home"}: {OwnerSession: 1, Epoch: 7},
		}
	})
	var first *api.ReportRequest
	eventually(t, "first report", func() bool {
		b.owner.mu.Lock()
		defer b.owner.mu.Unlock()
		for _, r := range b.owner.reports {
			if r.GetFirstForEpoch() == 7 {
				first = r
			}
		}
		return first != nil
	})
	assert.Equal(t, len(first.GetPermits()), 1)
	p := first.GetPermits()[0]
	assert.Equal(t, p.GetPermitId(), "p1.1")
	assert.Equal(t, p.GetRequest().GetModel(), "m")
	assert.Equal(t, p.GetPreemptions(), uint32(1))
	assert.Equal(t, p.GetOutputTokens(), uint32(3))
}

// Guards P8: a planned stop is announced, refuses nothing meanwhile, hands the
// shards over and cuts no stream.
func TestPlannedStopCutsNothing(t *testing.T) {
	b := newBed(t)
	release := make(chan struct{})
	engine := newEngine(t, func(c *engineConn) {
		c.open()
		c.tokens(0, 2)
		c.aliveUntil(release)
		c.tokens(2, 6)
		c.finish(6)
	})
	b.offer("llm-1", engine.address())
	resp, text := b.startStream(context.Background(), 2)
	b.stop()
	eventually(t, "draining", b.source.draining.Load)
	a := b.call("GET", "/v1/addresses", "", "")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Assert(t, !strings.Contains(a.body, strings.TrimPrefix(b.base, "http://")))
	eventually(t, "hand-over", func() bool {
		events := b.env.Timeline.Recent()
		return len(events) > 0 && events[len(events)-1].Kind == "handed_over"
	})
	select {
	case err := <-b.ended:
		b.ended <- err // for the cleanup
		t.Fatal("the process ended while a stream was running")
	default:
	}
	close(release)
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	resp.Body.Close()
	tokensOf(t, text+string(rest), 0, 6)
	err = <-b.ended
	b.ended <- err // for the cleanup
	assert.NilError(t, err)
}
