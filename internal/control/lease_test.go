package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/control"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

// entry is an entry instance with a clock of its own rate, which can be frozen
// and whose calls can be delayed.
type entry struct {
	*session.Session
	name  string
	start time.Time
	rate  float64

	mu          sync.Mutex
	frozenUntil time.Time
	delay       time.Duration // of each answer
}

// now is the entry's clock, whose rate differs from the leader's by 1.1 at most.
func (e *entry) now() time.Time {
	return e.start.Add(time.Duration(float64(time.Since(e.start)) * e.rate))
}

func (e *entry) freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
}

// pass lets a call go on when the process is not frozen any more.
func (e *entry) pass() {
	e.mu.Lock()
	until, delay := e.frozenUntil, e.delay
	e.mu.Unlock()
	time.Sleep(max(time.Until(until), delay))
}

func (e *entry) believes(k session.ShardKey) bool {
	id := e.SessionID()
	a := e.View().Assignments[k]
	return e.Fresh() && a != nil && a.GetOwnerSession() == id
}

// slowCalls passes renewals through the entry's freezes and delays. Both the
// request and the answer can be held up.
type slowCalls struct {
	api.ControlCommand
	e *entry
}

func (c slowCalls) Renew(ctx context.Context, r *api.RenewRequest) (*api.RenewResponse, error) {
	c.e.pass()
	resp, err := c.ControlCommand.Renew(ctx, r)
	c.e.pass()
	return resp, err
}

func (g *group) startEntry(ctx context.Context, name, failureDomain string, rate float64) *entry {
	e := &entry{name: name, start: time.Now(), rate: rate}
	e.Session = session.New(session.Config{
		Instance: instance(name, failureDomain), ControlAddresses: g.addresses(), Now: e.now,
		Connect: func(a string) api.ControlCommand { return slowCalls{g.connect(a), e} },
	})
	go e.Run(ctx)
	return e
}

// apply changes the settings at whichever instance leads, retrying.
func (g *group) apply(ctx context.Context, expected uint64, id string, text []byte) (uint64, error) {
	var last error
	for range 100 {
		for _, s := range g.servers {
			r, err := s.ApplySettings(ctx, &api.ApplySettingsRequest{Team: team, ExpectedRevision: expected, ChangeId: id, Toml: text, OperatorKey: operatorKey})
			if err == nil {
				return r.GetVersion(), nil
			}
			last = resultcode.FromTwirp(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, last
}

// event is one step of a drawn schedule of failures.
type event struct {
	after  time.Duration
	kind   int
	victim int
	length time.Duration
}

const (
	eventFreeze = iota // an entry instance
	eventDelay         // of an entry instance's answers
	eventNewLeader
	eventCutLeader
	eventDomainOut // a failure domain goes out of service or comes back
	eventReplace   // an entry instance starts again under its name
	eventSettings
	eventKinds
)

func drawSchedule(t *rapid.T) (rates []float64, events []event) {
	for i := range 3 {
		rates = append(rates, rapid.Float64Range(1/1.1, 1.1).Draw(t, fmt.Sprint("rate ", i)))
	}
	ms := func(choices ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(choices).Draw(t, "ms")) * time.Millisecond
	}
	for range rapid.IntRange(4, 14).Draw(t, "events") {
		events = append(events, event{
			after:  ms(0, 0, 20, 100, 400, 900, 2100, 3000),
			kind:   rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
			victim: rapid.IntRange(0, 2).Draw(t, "victim"),
			length: ms(50, 300, 1000, 1900, 2200, 2600, 6000),
		})
	}
	return rates, events
}

// checker looks at all entry instances that ever ran. Other goroutines go on
// while it looks, so what it finds counts only if the first fact still holds
// after the second was read.
type checker struct {
	g *group

	mu      sync.Mutex
	entries []*entry
	found   string
}

func (c *checker) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := map[session.ShardKey]*entry{}
	for _, e := range c.entries {
		c.checkSession(e)
		for k := range e.View().Assignments {
			if !e.believes(k) {
				continue
			}
			if other := owners[k]; other != nil && other.believes(k) {
				c.found = fmt.Sprintf("shard %v has two owners: %s and %s", k, other.name, e.name)
			}
			owners[k] = e
		}
	}
}

func (c *checker) checkSession(e *entry) {
	id := e.SessionID()
	if !e.Fresh() || c.g.sessions()[id] {
		return
	}
	if e.Fresh() && e.SessionID() == id {
		c.found = fmt.Sprintf("%s: lease is fresh after its session %d has ended", e.name, id)
	}
}

// run carries out the schedule and returns the first violation.
func (c *checker) run(ctx context.Context, events []event) string {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			c.check()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	inService, revision := true, uint64(1)
	for i, ev := range events {
		time.Sleep(ev.after)
		switch ev.kind {
		case eventFreeze:
			c.entries[ev.victim].freeze(ev.length)
		case eventDelay:
			c.entries[ev.victim].mu.Lock()
			c.entries[ev.victim].delay = ev.length / 10
			c.entries[ev.victim].mu.Unlock()
		case eventNewLeader:
			c.g.elect(ev.victim)
		case eventCutLeader:
			c.g.cutLeader(time.Duration(ev.victim)*200*time.Millisecond, ev.length)
		case eventDomainOut, eventSettings:
			if ev.kind == eventDomainOut {
				inService = !inService
			}
			if _, err := c.g.apply(ctx, revision, fmt.Sprint("event-", i), domainText(inService, 2+i%3)); err == nil {
				revision++
			}
		case eventReplace:
			old := c.entries[ev.victim]
			fresh := c.g.startEntry(ctx, old.name, "dakar-a", old.rate)
			c.mu.Lock()
			c.entries = append(c.entries, fresh)
			c.mu.Unlock()
		}
	}
	time.Sleep(5 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.found
}

// Guards against a shard with two owners that both hold a fresh lease, and
// against a session that the group ends while its instance may still dispatch,
// under frozen processes, delayed answers, clocks of different rates, leader
// changes, cut-off leaders and replaced processes. Caught mutations: released
// returns true; leases count from the answer's arrival; a replaced session's
// shards are free at once; a new leader ends sessions at once.
func TestShardNeverHasTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rates, events := drawSchedule(rt)
		var found string
		bubble(t, func(ctx context.Context, t *testing.T) {
			g := startGroup(ctx, 3)
			if _, err := g.apply(ctx, 0, "first", domainText(true, 4)); err != nil {
				t.Error(err)
			}
			c := &checker{g: g}
			for i, rate := range rates {
				c.entries = append(c.entries, g.startEntry(ctx, fmt.Sprint("entry-", i), []string{"dakar-a", "dakar-b", "dakar-a"}[i], rate))
			}
			found = c.run(ctx, events)
			if n := g.counter("invariant_violations"); n > 0 && found == "" {
				found = fmt.Sprint(n, " invariant violations counted")
			}
		})
		if found != "" {
			rt.Fatal(found)
		}
	})
}

// Guards against leases that lapse because the leader changed, and against a
// new leader that ends sessions of the former one too early: the lease must
// last through an election of 1 s. Caught mutation: leases are not kept for
// takeOverGrace + sessionExpiry after a take-over (expires = now).
func TestLeasesLastThroughLeaderChange(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		e := g.startEntry(ctx, "entry-1", "dakar-a", 1)
		time.Sleep(time.Second)
		id := e.SessionID()
		for i := range 3 {
			leader := g.log.Leader()
			g.log.Cut(leader)
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				assert.Assert(t, e.Fresh(), "change %d", i)
			}
			g.log.Elect(g.nodes[(i+1)%3])
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				assert.Assert(t, e.Fresh(), "after change %d", i)
			}
			g.log.Heal(leader)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, e.SessionID(), id)
	})
}

// Guards against a leader that answers renewals although it may have been
// replaced: an old revision would be put in force. Caught mutation: leading
// without the bound on QuorumContact.
func TestCutOffLeaderNeverAnswersRenew(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		e := g.startEntry(ctx, "entry-1", "dakar-a", 1)
		time.Sleep(time.Second)
		old := g.servers[0]
		g.log.Cut(g.nodes[0])
		time.Sleep(510 * time.Millisecond)
		for range 20 {
			_, err := old.Renew(ctx, &api.RenewRequest{SessionId: e.SessionID(), WaitMs: 100})
			assert.Equal(t, resultcode.From(resultcode.FromTwirp(err)).Code, resultcode.NotLeader)
		}
		_, err := old.InForce(ctx, &api.InForceRequest{})
		assert.Assert(t, err != nil, "a cut-off leader does not know all sessions")
		_, err = old.ReadSettings(ctx, &api.ReadSettingsRequest{Team: team, OperatorKey: operatorKey})
		assert.Assert(t, err != nil)
	})
}

// Guards against an instance that dispatches on its old state after it was
// frozen or cut off, and against "in force" before that is so. Caught mutations:
// Fresh without the comparison; inForceNow without the acknowledgements.
func TestChangeIsInForceOnceFrozenLeaseEnds(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		a := g.startEntry(ctx, "entry-a", "dakar-a", 1)
		b := g.startEntry(ctx, "entry-b", "dakar-b", 1.1)
		time.Sleep(time.Second)
		b.freeze(10 * time.Second)
		version, err := g.apply(ctx, 0, "first", settingsText(""))
		assert.NilError(t, err)
		start := time.Now()
		for everywhere := false; !everywhere; {
			r, err := g.servers[0].InForce(ctx, &api.InForceRequest{Version: version, WaitMs: 100})
			assert.NilError(t, err)
			if everywhere = r.GetEverywhere(); everywhere {
				assert.Equal(t, a.View().Teams[team].Revision, uint64(1))
				assert.Assert(t, !b.Fresh(), "in force while the frozen instance may dispatch")
			}
		}
		assert.Assert(t, time.Since(start) < 3*time.Second, "took %v", time.Since(start))
		time.Sleep(12 * time.Second)
		assert.Assert(t, b.Fresh(), "the instance returns with a new session")
		assert.Equal(t, b.View().Teams[team].Revision, uint64(1))
	})
}

// openDirectly opens a session without an entry instance's renewal loop.
func openDirectly(ctx context.Context, t *testing.T, g *group) uint64 {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	r, err := g.servers[0].OpenSession(ctx, &api.OpenSessionRequest{Instance: instance("entry-1", "dakar-a")})
	assert.NilError(t, err)
	return r.GetSessionId()
}

// outlastsLease checks that the group ends the session, and not before the lease
// of a renewal sent at the given time has ended on the slowest clock.
func outlastsLease(t *testing.T, g *group, id uint64, sent time.Time) {
	t.Helper()
	leaseEnd := sent.Add(control.LeaseDuration * 11 / 10)
	for g.sessions()[id] {
		assert.Assert(t, time.Since(leaseEnd) < time.Second, "the session is never ended")
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !time.Now().Before(leaseEnd), "ended %v before the lease on the slowest clock", time.Until(leaseEnd))
}

// Guards against a session that ends before the lease on the slowest clock: the
// last answer was built the moment its request was sent. Caught mutation:
// sessionExpiry = LeaseDuration.
func TestExpiryOutlastsTheSlowestClock(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		id := openDirectly(ctx, t, g)
		time.Sleep(time.Second)
		sent := time.Now()
		_, err := g.servers[0].Renew(ctx, &api.RenewRequest{SessionId: id})
		assert.NilError(t, err)
		outlastsLease(t, g, id, sent)
	})
}

// Guards against a new leader that does not wait for what the former one
// answered after the election. Caught mutation: takeOverGrace = 0.
func TestNewLeaderWaitsForFormerLeadersAnswers(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		id := openDirectly(ctx, t, g)
		g.log.Cut(g.nodes[0])
		g.elect(1)
		start, sent := time.Now(), time.Now()
		for {
			now := time.Now()
			if _, err := g.servers[0].Renew(ctx, &api.RenewRequest{SessionId: id}); err != nil {
				break
			}
			sent = now
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, sent.Sub(start) > 400*time.Millisecond, "the former leader answered for %v only", sent.Sub(start))
		outlastsLease(t, g, id, sent)
	})
}

// Guards against a new leader that answers before it knows all that the former
// one committed. Caught mutation: a term begins without its read barrier.
func TestNewLeaderKnowsAllThatWasCommitted(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		id := openDirectly(ctx, t, g)
		for i := range 5 {
			version, err := g.apply(ctx, uint64(i), fmt.Sprint("change-", i), settingsText(""))
			assert.NilError(t, err)
			leader := (i + 1) % 3
			g.log.Elect(g.nodes[leader])
			for {
				time.Sleep(time.Millisecond)
				resp, err := g.servers[leader].Renew(ctx, &api.RenewRequest{SessionId: id})
				if err == nil {
					assert.Assert(t, resp.GetVersion() >= version, "version %d after %d", resp.GetVersion(), version)
					break
				}
			}
		}
	})
}

// Guards against a lease that lapses because control instances hang without
// answering: two of three may. Caught mutation: no parallel call when an
// answer is late.
func TestLeaseSurvivesSilentControlInstances(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		silent := map[string]bool{}
		var mu sync.Mutex
		metrics := tally.NewTestScope("", nil)
		s := session.New(session.Config{
			Instance: instance("entry-1", "dakar-a"), ControlAddresses: g.addresses(), Now: time.Now, Metrics: metrics,
			Connect: func(a string) api.ControlCommand {
				return lossyCalls{g.connect(a), func() bool {
					mu.Lock()
					defer mu.Unlock()
					return silent[a]
				}}
			},
		})
		go s.Run(ctx)
		time.Sleep(time.Second)
		for round := range 6 {
			mu.Lock()
			clear(silent)
			silent[address(round%3)], silent[address((round+1)%3)] = true, true
			mu.Unlock()
			g.log.Elect(g.nodes[(round+2)%3])
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				assert.Assert(t, s.Fresh(), "round %d", round)
			}
		}
	})
}

// lossyCalls loses the answers that come while its control instance is silent.
type lossyCalls struct {
	api.ControlCommand
	silent func() bool
}

func (c lossyCalls) Renew(ctx context.Context, r *api.RenewRequest) (*api.RenewResponse, error) {
	resp, err := c.ControlCommand.Renew(ctx, r)
	if c.silent() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return resp, err
}
