package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/routing"
	"github.com/endivetrack/endivetrack/internal/settings"
)

var start = time.Unix(1000, 0)

func team(inService bool) *settings.Team {
	return &settings.Team{
		FailureDomains: map[string]settings.FailureDomain{"fd0": {Region: "r"}, "fd1": {Region: "r", InService: &inService}},
		Services: map[string]settings.Service{
			"llm":  {Kind: settings.KindEngine, Models: []string{"m0", "m1"}, Shards: 1},
			"desk": {Kind: settings.KindPlain, MaxInFlight: 3, Shards: 1},
		},
		Classes: map[string]settings.Class{
			"long":  {Priority: 5, QueueTimeoutMS: 10_000, MaxTokens: 2000},
			"short": {Priority: 5, QueueTimeoutMS: 10_000, MaxTokens: 16, Short: true},
		},
		Policy: settings.Policy{TargetGapMS: 31, QueueLimit: 50},
	}
}

// model drives a shard with random calls and knows what the holders know.
type model struct {
	*Shard
	now   time.Time
	held  map[uint64]map[string]*api.Progress // by holder, as the holders believe
	asked map[Ticket]Request
	team  *settings.Team
}

func newModel(service string) *model {
	m := &model{now: start, held: map[uint64]map[string]*api.Progress{1: {}, 2: {}}, asked: map[Ticket]Request{}, team: team(true)}
	m.Shard = New(3, m.team, service, start)
	m.now = m.now.Add(reportFloorTime)
	return m
}

func (m *model) announce(i int, a *api.Announcement) {
	a.Target, a.Address, a.FailureDomain = fmt.Sprintf("e%d", i), "127.0.0.1:1", fmt.Sprintf("fd%d", i%2)
	a.Models = []string{"m0", "m1"}[:1+i%2]
	m.Announce(a, m.now)
}

func (m *model) acquire(r Request) Ticket {
	ticket, outcome := m.Enqueue(r, m.now)
	if outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED {
		m.asked[ticket] = r
	}
	return ticket
}

// schedule runs the grant loop and checks each grant. lost answers do not
// reach the holder.
func (m *model) schedule(t assert.TestingT, lost bool) (granted int) {
	for _, d := range m.Schedule(m.now) {
		r := m.asked[d.Ticket]
		delete(m.asked, d.Ticket)
		if d.Permit == nil {
			continue
		}
		granted++
		target := m.targets[d.Permit.GetTarget()]
		assert.Assert(t, m.now.Sub(target.seen) <= routing.TargetLease && !target.announcement.GetLeaving(), "target %s is not alive", target.name)
		assert.Assert(t, m.team.FailureDomainInService(target.announcement.GetFailureDomain()))
		for _, e := range r.Exclude {
			assert.Assert(t, e != target.name)
		}
		assert.Assert(t, len(target.permits) <= m.limit(target, m.now), "%s: %d permits, limit %d", target.name, len(target.permits), m.limit(target, m.now))
		if !lost {
			m.held[r.Holder][d.Permit.GetId()] = &api.Progress{PermitId: d.Permit.GetId(), Target: target.name, Request: r.Class}
		}
	}
	return granted
}

func (m *model) report(holder uint64) {
	var list []*api.Progress
	for _, p := range m.held[holder] {
		list = append(list, p)
	}
	m.Report(holder, list, m.now)
}

// checkWorkConserving fails when a waiting request fits on a target that is
// not kept free for another one.
func (m *model) checkWorkConserving(t assert.TestingT) {
	p := &pass{s: m.Shard, now: m.now}
	for it := range m.queue.All() {
		fitting, _ := p.candidates(it.Value, nil)
		assert.Assert(t, len(fitting) == 0, "a request waits although %d targets fit", len(fitting))
	}
}

func (m *model) checkCounts(t assert.TestingT) {
	n := 0
	for _, target := range m.targets {
		shorts := 0
		for _, p := range target.permits {
			assert.Assert(t, m.permits[p.id] == p)
			if p.short {
				shorts++
			}
		}
		assert.Equal(t, shorts, target.shorts)
		n += len(target.permits)
	}
	assert.Equal(t, n, len(m.permits))
	assert.Equal(t, len(m.tickets), m.queue.Len())
}

// Guards, over random calls, against: permits beyond a limit, grants to
// targets that must not get work (P3, P7), targets that idle while work waits,
// and counts that drift. At the end the holders go, and nothing may be left.
// Mutations: candidates and HasCapacity both ignore the limit; Alive ignores the lease; free does
// not clear the retried failures; remove does not delete from the target;
// KeepHolders or the count of missed reports removed.
func TestShardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]string{"llm", "desk"}).Draw(t, "service"))
		holder := rapid.SampledFrom([]uint64{1, 2})
		for range rapid.IntRange(1, 120).Draw(t, "calls") {
			switch rapid.IntRange(0, 9).Draw(t, "call") {
			case 0, 1:
				m.announce(rapid.IntRange(0, 3).Draw(t, "target"), &api.Announcement{
					Incarnation: rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "incarnation"),
					Leaving:     rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					MaxRunning:  uint32(rapid.IntRange(0, 12).Draw(t, "max")), MemoryTokens: uint32(rapid.IntRange(0, 8000).Draw(t, "memory")),
				})
			case 2, 3, 4, 5:
				class := rapid.SampledFrom([]string{"long", "short"}).Draw(t, "class")
				r := Request{Holder: holder.Draw(t, "holder"), Arrived: m.now, Until: m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond),
					Class: &api.RequestClass{Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Model: rapid.SampledFrom([]string{"m0", "m1"}).Draw(t, "model"),
						Class: class, PromptTokens: uint32(rapid.IntRange(0, 3000).Draw(t, "prompt")), MaxTokens: 2000}}
				if rapid.IntRange(0, 5).Draw(t, "exclude") == 0 {
					r.Exclude = []string{"e1"}
				}
				m.acquire(r)
			case 6:
				h := holder.Draw(t, "holder")
				for id, p := range m.held[h] {
					delete(m.held[h], id)
					m.Release(h, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
					break
				}
			case 7:
				m.report(holder.Draw(t, "holder"))
			case 8:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "advance")) * time.Millisecond)
				m.Tick(m.now)
			case 9:
				m.team = team(rapid.Bool().Draw(t, "in service"))
				name := "llm"
				if m.plain() {
					name = "desk"
				}
				m.Configure(m.team, name)
			}
			m.schedule(t, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			m.checkCounts(t)
			// Failed attempts are remembered for memoTTL at most.
			m.now = m.now.Add(memoTTL)
			m.schedule(t, false)
			m.checkWorkConserving(t)
		}
		m.now = m.now.Add(time.Second)
		m.held = map[uint64]map[string]*api.Progress{1: {}, 2: {}}
		for range missedReports {
			m.report(1)
		}
		m.KeepHolders(map[uint64]bool{1: true}, m.now)
		assert.Equal(t, len(m.permits), 0)
		m.checkCounts(t)
	})
}

// fill grants until the targets are full, with single-model long requests.
func (m *model) fill(t assert.TestingT, class string, prompt uint32) int {
	n := 0
	for {
		m.acquire(Request{Holder: 1, Arrived: m.now, Until: m.now, Class: &api.RequestClass{Account: "a", Model: "m0", Class: class, PromptTokens: prompt, MaxTokens: 2000}})
		if m.schedule(t, false) == 0 {
			return n
		}
		n++
	}
}

// warm lets the target prove itself until its ramp is over.
func (m *model) warm(t assert.TestingT, i int, a *api.Announcement) {
	for range 8 {
		m.announce(i, a)
		m.fill(t, "short", 1)
		m.now = m.now.Add(time.Second)
		for _, p := range m.held[1] {
			p.OutputTokens, p.MeanGapUs, p.FirstTokenMs = p.OutputTokens+1, 10_000, 50
		}
		m.report(1)
		m.Tick(m.now)
	}
	for id, p := range m.held[1] {
		m.Release(1, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
		delete(m.held[1], id)
	}
	m.announce(i, a)
}

// Guards against short checks that wait behind long requests: some slots are
// kept while short requests arrive. Mutation: candidate keeps no share.
func TestShortClassHasItsShare(t *testing.T) {
	m := newModel("llm")
	m.warm(t, 0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
	long := m.fill(t, "long", 10)
	assert.Equal(t, long, 14)
	assert.Equal(t, m.fill(t, "short", 10), 2)
}

// Guards against a limit learned warm that is trusted after the target was
// idle, has restarted or says it is cold (P2). Mutations: grant does not cool
// after an idle spell; Announce does not cool at a new incarnation.
func TestTargetIsColdAfterIdleOrRestart(t *testing.T) {
	for name, disturb := range map[string]func(m *model) *api.Announcement{
		"idle": func(m *model) *api.Announcement {
			m.now = m.now.Add(11 * time.Second)
			return &api.Announcement{Incarnation: "x", MaxRunning: 16}
		},
		"restart": func(*model) *api.Announcement { return &api.Announcement{Incarnation: "y", MaxRunning: 16} },
		"cold":    func(*model) *api.Announcement { return &api.Announcement{Incarnation: "x", Cold: true, MaxRunning: 16} },
	} {
		m := newModel("llm")
		m.warm(t, 0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
		m.announce(0, disturb(m))
		assert.Equal(t, m.fill(t, "short", 1), 2, name)
	}
}

// Guards against a request with a long prompt that smaller ones overtake for
// ever. Mutation: reserve does nothing.
func TestLongPromptIsNotOvertakenForever(t *testing.T) {
	m := newModel("llm")
	a := &api.Announcement{Incarnation: "x", MaxRunning: 16, MemoryTokens: 8000}
	m.warm(t, 0, a)
	assert.Assert(t, m.fill(t, "long", 100) > 1)
	big := m.acquire(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(time.Minute), Class: &api.RequestClass{Account: "a", Model: "m0", Class: "long", PromptTokens: 7900, MaxTokens: 50}})
	for step := 0; m.tickets[big] != nil; step++ {
		assert.Assert(t, step < 60, "the long prompt starves")
		m.now = m.now.Add(100 * time.Millisecond)
		m.announce(0, a)
		for id, p := range m.held[1] { // one request ends per step
			m.Release(1, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
			delete(m.held[1], id)
			break
		}
		m.fill(t, "long", 100)
	}
}

// Guards against a target that stays free after the request that it was kept
// for has gone. Mutation: forget keeps the memo.
func TestReservationEndsWithItsRequest(t *testing.T) {
	m := newModel("llm")
	a := &api.Announcement{Incarnation: "x", MaxRunning: 16, MemoryTokens: 8000}
	m.warm(t, 0, a)
	long := func(prompt uint32, wait time.Duration) Ticket {
		return m.acquire(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(wait), Class: &api.RequestClass{Account: "a", Model: "m0", Class: "long", PromptTokens: prompt, MaxTokens: 50}})
	}
	long(10, 0)
	assert.Equal(t, m.schedule(t, false), 1)
	long(7900, 1500*time.Millisecond)
	m.now = m.now.Add(1200 * time.Millisecond)
	assert.Equal(t, m.schedule(t, false), 0)
	long(10, time.Minute)
	assert.Equal(t, m.schedule(t, false), 0)
	m.now = m.now.Add(300 * time.Millisecond)
	assert.Equal(t, m.schedule(t, false), 1)
}

// Guards against a new owner that fills targets before the holders have
// reported. Mutations: limit ignores the take-over; inFlight ignores the
// reported load.
func TestTakeOverIsCareful(t *testing.T) {
	m := newModel("llm")
	m.now = start
	m.announce(0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
	assert.Equal(t, m.fill(t, "short", 1), 1)

	m = newModel("llm")
	m.now = start
	m.announce(0, &api.Announcement{Incarnation: "x", MaxRunning: 16, ReportedRunning: 12})
	assert.Equal(t, m.fill(t, "short", 1), 0)
	m.now = start.Add(takeOverTime)
	m.announce(0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
	assert.Equal(t, m.fill(t, "short", 1), 12)
}

// Guards against a wrong account of idle capacity: a full target counts as
// capacity while work waits, one that is kept free for a long prompt as idle.
// Mutations: integrateIdle does nothing; observeModel counts no idle share.
func TestIdleAccount(t *testing.T) {
	m := newModel("llm")
	a := &api.Announcement{Incarnation: "x", MaxRunning: 4, MemoryTokens: 8000}
	m.warm(t, 0, a)
	m.fill(t, "long", 100)
	before := m.Totals()
	m.acquire(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(time.Minute), Class: &api.RequestClass{Account: "a", Model: "m0", Class: "long", PromptTokens: 7900, MaxTokens: 50}})
	wait := func() Totals {
		m.now = m.now.Add(memoTTL)
		m.schedule(t, false)
		m.now = m.now.Add(time.Second)
		m.announce(0, a)
		m.schedule(t, false)
		return m.Totals()
	}
	after := wait()
	assert.Assert(t, after.CapacitySeconds-before.CapacitySeconds >= 1)
	assert.Equal(t, after.IdleSeconds, before.IdleSeconds)
	for id, p := range m.held[1] {
		if len(m.held[1]) > 1 {
			m.Release(1, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
			delete(m.held[1], id)
		}
	}
	wait() // keeps the target free for the long prompt
	m.acquire(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(time.Minute), Class: &api.RequestClass{Account: "b", Model: "m0", Class: "long", PromptTokens: 1, MaxTokens: 2}})
	assert.Assert(t, wait().IdleSeconds-after.IdleSeconds > 0.3)
}
