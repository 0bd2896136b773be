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

func testTeam(inService bool) *settings.Team {
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

// shardDriver drives a shard with random calls and tracks the permits that each
// holder believes it has.
type shardDriver struct {
	*Shard
	now             time.Time
	held            map[uint64]map[string]*api.Progress // progress reports by holder session and permit id
	pendingRequests map[Ticket]Request
	team            *settings.Team
}

func newShardDriver(service string) *shardDriver {
	m := &shardDriver{now: start, held: map[uint64]map[string]*api.Progress{1: {}, 2: {}}, pendingRequests: map[Ticket]Request{}, team: testTeam(true)}
	m.Shard = New(3, m.team, service, start)
	m.now = m.now.Add(reportFloorPeriod)
	return m
}

func (m *shardDriver) announce(i int, a *api.Announcement) {
	a.Target, a.Address, a.FailureDomain = fmt.Sprintf("e%d", i), "127.0.0.1:1", fmt.Sprintf("fd%d", i%2)
	a.Models = []string{"m0", "m1"}[:1+i%2]
	m.Announce(a, m.now)
}

func (m *shardDriver) enqueue(r Request) Ticket {
	ticket, outcome := m.Enqueue(r, m.now)
	if outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED {
		m.pendingRequests[ticket] = r
	}
	return ticket
}

// schedule runs the grant loop, checks each grant and returns how many there
// were. If responsesLost is set, the holders do not receive their permits.
func (m *shardDriver) schedule(t assert.TestingT, responsesLost bool) (granted int) {
	for _, d := range m.Schedule(m.now) {
		r := m.pendingRequests[d.Ticket]
		delete(m.pendingRequests, d.Ticket)
		if d.Permit == nil {
			continue
		}
		granted++
		target := m.targets[d.Permit.GetTarget()]
		assert.Assert(t, m.now.Sub(target.lastAnnounced) <= routing.TargetLease && !target.announcement.GetLeaving(), "target %s is not alive", target.name)
		assert.Assert(t, m.team.FailureDomainInService(target.announcement.GetFailureDomain()))
		for _, e := range r.Exclude {
			assert.Assert(t, e != target.name)
		}
		assert.Assert(t, len(target.permits) <= m.allowedRequests(target, m.now), "%s: %d permits, limit %d", target.name, len(target.permits), m.allowedRequests(target, m.now))
		if !responsesLost {
			m.held[r.Holder][d.Permit.GetId()] = &api.Progress{PermitId: d.Permit.GetId(), Target: target.name, Request: r.Class}
		}
	}
	return granted
}

// reportPermits sends the holder's full list of permits to the shard.
func (m *shardDriver) reportPermits(holder uint64) {
	var list []*api.Progress
	for _, p := range m.held[holder] {
		list = append(list, p)
	}
	m.Report(holder, list, m.now)
}

// checkWorkConserving fails if a waiting request fits on a target that is not
// reserved for another request.
func (m *shardDriver) checkWorkConserving(t assert.TestingT) {
	p := &grantPass{shard: m.Shard, now: m.now}
	for it := range m.queue.All() {
		fitting, _ := p.candidates(it.Value, nil)
		assert.Assert(t, len(fitting) == 0, "a request waits although %d targets fit", len(fitting))
	}
}

// checkCounts fails if the shard's and the targets' counts of permits, short
// permits or waiting requests disagree.
func (m *shardDriver) checkCounts(t assert.TestingT) {
	n := 0
	for _, target := range m.targets {
		shorts := 0
		for _, p := range target.permits {
			assert.Assert(t, m.permits[p.id] == p)
			if p.short {
				shorts++
			}
		}
		assert.Equal(t, shorts, target.shortPermits)
		n += len(target.permits)
	}
	assert.Equal(t, n, len(m.permits))
	assert.Equal(t, len(m.tickets), m.queue.Len())
}

// Guards, over random calls, against permits beyond a limit; grants to targets
// that are silent, leaving, excluded or in a failure domain out of service;
// targets that idle while a request that fits waits; and inconsistent counts.
// At the end one holder reports no permits, the other's session ends, and no
// permit may be left.
// Mutations that this test detects: candidates and HasCapacity both ignore the
// limit; Available ignores the lease; markFreed does not clear
// failureCache.onFreedTargets; removePermit does not delete from the target;
// ReclaimFromEndedSessions or the count of missed reports is removed.
func TestShardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShardDriver(rapid.SampledFrom([]string{"llm", "desk"}).Draw(t, "service"))
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
				m.enqueue(r)
			case 6:
				h := holder.Draw(t, "holder")
				for id, p := range m.held[h] {
					delete(m.held[h], id)
					m.Release(h, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
					break
				}
			case 7:
				m.reportPermits(holder.Draw(t, "holder"))
			case 8:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "advance")) * time.Millisecond)
				m.Tick(m.now)
			case 9:
				m.team = testTeam(rapid.Bool().Draw(t, "in service"))
				name := "llm"
				if m.isPlainService() {
					name = "desk"
				}
				m.Configure(m.team, name)
			}
			m.schedule(t, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			m.checkCounts(t)
			// Failed searches for a target are cached for failureCacheTTL at most.
			m.now = m.now.Add(failureCacheTTL)
			m.schedule(t, false)
			m.checkWorkConserving(t)
		}
		m.now = m.now.Add(time.Second)
		m.held = map[uint64]map[string]*api.Progress{1: {}, 2: {}}
		for range reclaimAfterMisses {
			m.reportPermits(1)
		}
		m.ReclaimFromEndedSessions(map[uint64]bool{1: true}, m.now)
		assert.Equal(t, len(m.permits), 0)
		m.checkCounts(t)
	})
}

// grantUntilFull enqueues requests of the class for model m0 until none is
// granted, and returns the number of grants.
func (m *shardDriver) grantUntilFull(t assert.TestingT, class string, prompt uint32) int {
	n := 0
	for {
		m.enqueue(Request{Holder: 1, Arrived: m.now, Until: m.now, Class: &api.RequestClass{Account: "a", Model: "m0", Class: class, PromptTokens: prompt, MaxTokens: 2000}})
		if m.schedule(t, false) == 0 {
			return n
		}
		n++
	}
}

// warmUp runs control intervals with reports of short times between tokens until
// the target's cold start ramp (the gradual raise of its limit) is over, and then
// releases all permits of holder 1.
func (m *shardDriver) warmUp(t assert.TestingT, i int, a *api.Announcement) {
	for range 8 {
		m.announce(i, a)
		m.grantUntilFull(t, "short", 1)
		m.now = m.now.Add(time.Second)
		for _, p := range m.held[1] {
			p.OutputTokens, p.MeanGapUs, p.FirstTokenMs = p.OutputTokens+1, 10_000, 50
		}
		m.reportPermits(1)
		m.Tick(m.now)
	}
	for id, p := range m.held[1] {
		m.Release(1, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
		delete(m.held[1], id)
	}
	m.announce(i, a)
}

// Guards against requests of a short class (with outputs of few tokens) that wait
// behind long ones: part of each limit is reserved while short requests arrive.
// Mutation that this test detects: candidate reserves no share.
func TestShortClassKeepsReservedShare(t *testing.T) {
	m := newShardDriver("llm")
	m.warmUp(t, 0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
	long := m.grantUntilFull(t, "long", 10)
	assert.Equal(t, long, 14)
	assert.Equal(t, m.grantUntilFull(t, "short", 10), 2)
}

// Guards against the use of a limit learned on a warm target after the target
// was idle, restarted or announced that it is cold. The limit must then restart
// from ColdLimit. Mutations that this test detects: grantPermit does not restart
// the ramp after MaxWarmIdle; Announce does not restart it at a new incarnation.
func TestTargetIsColdAfterIdleOrRestart(t *testing.T) {
	for name, disturb := range map[string]func(m *shardDriver) *api.Announcement{
		"idle": func(m *shardDriver) *api.Announcement {
			m.now = m.now.Add(11 * time.Second)
			return &api.Announcement{Incarnation: "x", MaxRunning: 16}
		},
		"restart": func(*shardDriver) *api.Announcement { return &api.Announcement{Incarnation: "y", MaxRunning: 16} },
		"cold": func(*shardDriver) *api.Announcement {
			return &api.Announcement{Incarnation: "x", Cold: true, MaxRunning: 16}
		},
	} {
		m := newShardDriver("llm")
		m.warmUp(t, 0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
		m.announce(0, disturb(m))
		assert.Equal(t, m.grantUntilFull(t, "short", 1), 2, name)
	}
}

// Guards against a request with a long prompt that never runs because smaller
// requests keep overtaking it. Mutation that this test detects: reserveTarget
// does nothing.
func TestLongPromptIsNotOvertakenForever(t *testing.T) {
	m := newShardDriver("llm")
	a := &api.Announcement{Incarnation: "x", MaxRunning: 16, MemoryTokens: 8000}
	m.warmUp(t, 0, a)
	assert.Assert(t, m.grantUntilFull(t, "long", 100) > 1)
	big := m.enqueue(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(time.Minute), Class: &api.RequestClass{Account: "a", Model: "m0", Class: "long", PromptTokens: 7900, MaxTokens: 50}})
	for step := 0; m.tickets[big] != nil; step++ {
		assert.Assert(t, step < 60, "the request with the long prompt was not granted")
		m.now = m.now.Add(100 * time.Millisecond)
		m.announce(0, a)
		for id, p := range m.held[1] { // one running request ends per step
			m.Release(1, api.ReleaseReason_RELEASE_REASON_FINISHED, p, m.now)
			delete(m.held[1], id)
			break
		}
		m.grantUntilFull(t, "long", 100)
	}
}

// Guards against a target that stays reserved after the request with the
// reservation has left the queue. Mutation that this test detects: discardRequest
// does not clear the failure cache.
func TestReservationEndsWithItsRequest(t *testing.T) {
	m := newShardDriver("llm")
	a := &api.Announcement{Incarnation: "x", MaxRunning: 16, MemoryTokens: 8000}
	m.warmUp(t, 0, a)
	long := func(prompt uint32, wait time.Duration) Ticket {
		return m.enqueue(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(wait), Class: &api.RequestClass{Account: "a", Model: "m0", Class: "long", PromptTokens: prompt, MaxTokens: 50}})
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

// Guards against a new owner that overfills targets because the holders have not
// yet reported their permits. Mutations that this test detects: allowedRequests
// ignores the takeover period; inFlight ignores the reported load.
func TestNewOwnerLimitsGrants(t *testing.T) {
	m := newShardDriver("llm")
	m.now = start
	m.announce(0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
	assert.Equal(t, m.grantUntilFull(t, "short", 1), 1)

	m = newShardDriver("llm")
	m.now = start
	m.announce(0, &api.Announcement{Incarnation: "x", MaxRunning: 16, ReportedRunning: 12})
	assert.Equal(t, m.grantUntilFull(t, "short", 1), 0)
	m.now = start.Add(takeoverPeriod)
	m.announce(0, &api.Announcement{Incarnation: "x", MaxRunning: 16})
	assert.Equal(t, m.grantUntilFull(t, "short", 1), 12)
}

// Guards against wrong totals of idle capacity: while requests wait, a full
// target counts as capacity but not as idle, and one reserved for a long prompt
// counts as idle. Mutations that this test detects: integrateIdle does nothing;
// sampleIdleCapacity adds no idle share.
func TestIdleCapacityTotals(t *testing.T) {
	m := newShardDriver("llm")
	a := &api.Announcement{Incarnation: "x", MaxRunning: 4, MemoryTokens: 8000}
	m.warmUp(t, 0, a)
	m.grantUntilFull(t, "long", 100)
	before := m.Totals()
	m.enqueue(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(time.Minute), Class: &api.RequestClass{Account: "a", Model: "m0", Class: "long", PromptTokens: 7900, MaxTokens: 50}})
	wait := func() Totals {
		m.now = m.now.Add(failureCacheTTL)
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
	wait() // this call reserves the target for the request with the long prompt
	m.enqueue(Request{Holder: 1, Arrived: m.now, Until: m.now.Add(time.Minute), Class: &api.RequestClass{Account: "b", Model: "m0", Class: "long", PromptTokens: 1, MaxTokens: 2}})
	assert.Assert(t, wait().IdleSeconds-after.IdleSeconds > 0.3)
}
