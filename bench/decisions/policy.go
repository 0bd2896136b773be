package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/bench/baseline"
	"github.com/endivetrack/endivetrack/bench/workload"
	"github.com/endivetrack/endivetrack/internal/scheduler"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// policy decides where and when requests run. dispatch is called for each
// decision.
type policy interface {
	arrive(now time.Duration, id int, a workload.Arrival)
	// schedule dispatches what may run and returns the requests it dropped.
	schedule(now time.Duration, dispatch func(id, target int)) (dropped []int)
	started(j *job)
	finished(now time.Duration, target int, j *job)
	report(now time.Duration, running map[*job]int)
	announce(now time.Duration, target int, e *engine)
	waiting() int
}

// simple runs a baseline with one first-come queue.
type simple struct {
	policy  baseline.Policy
	rng     *rand.Rand
	targets []baseline.Target
	queue   []queued
}

type queued struct {
	id int
	at time.Duration
}

func newSimple(p baseline.Policy, targets int, seed uint64) *simple {
	return &simple{policy: p, rng: rand.New(rand.NewPCG(seed, 2)), targets: make([]baseline.Target, targets)}
}

func (s *simple) arrive(now time.Duration, id int, _ workload.Arrival) {
	s.queue = append(s.queue, queued{id, now})
}

func (s *simple) schedule(now time.Duration, dispatch func(id, target int)) (dropped []int) {
	for len(s.queue) > 0 {
		if s.queue[0].at < now-queueTimeout {
			dropped = append(dropped, s.queue[0].id)
			s.queue = s.queue[1:]
			continue
		}
		target := s.policy.Pick(s.targets, s.rng)
		if target < 0 {
			break
		}
		s.targets[target].Outstanding++
		dispatch(s.queue[0].id, target)
		s.queue = s.queue[1:]
	}
	return dropped
}

func (s *simple) started(*job)                                 {}
func (s *simple) finished(_ time.Duration, target int, _ *job) { s.targets[target].Outstanding-- }
func (s *simple) report(time.Duration, map[*job]int)           {}
func (s *simple) announce(_ time.Duration, t int, e *engine) {
	s.targets[t].Reported = len(e.running) + len(e.waiting)
}
func (s *simple) waiting() int { return len(s.queue) }

// spread runs one baseline per entry instance: each knows only what it sent
// itself, as instances do that share no owner. Reported load is known to all.
type spread struct {
	parts []*simple
	rng   *rand.Rand
	part  map[int]int // by request
}

func newSpread(instances, targets int, seed uint64, make func() baseline.Policy) *spread {
	s := &spread{rng: rand.New(rand.NewPCG(seed, 3)), part: map[int]int{}}
	for i := range instances {
		s.parts = append(s.parts, newSimple(make(), targets, seed+uint64(i)<<32))
	}
	return s
}

func (s *spread) arrive(now time.Duration, id int, a workload.Arrival) {
	i := s.rng.IntN(len(s.parts))
	s.part[id] = i
	s.parts[i].arrive(now, id, a)
}

func (s *spread) schedule(now time.Duration, dispatch func(id, target int)) (dropped []int) {
	for _, p := range s.parts {
		dropped = append(dropped, p.schedule(now, dispatch)...)
	}
	return dropped
}

func (s *spread) finished(now time.Duration, target int, j *job) {
	s.parts[s.part[j.id]].finished(now, target, j)
	delete(s.part, j.id)
}

func (s *spread) announce(now time.Duration, target int, e *engine) {
	for _, p := range s.parts {
		p.announce(now, target, e)
	}
}

func (s *spread) waiting() (n int) {
	for _, p := range s.parts {
		n += p.waiting()
	}
	return n
}

func (s *spread) started(*job)                       {}
func (s *spread) report(time.Duration, map[*job]int) {}

// ours runs the system's own decisions through the owner's state machine.
type ours struct {
	shard   *scheduler.Shard
	model   string
	names   []string
	index   map[string]int
	tickets map[scheduler.Ticket]int
	permits map[int]string // by request
	first   map[int]time.Duration
	class   map[int]*api.RequestClass
}

// epochStart is the wall time of the simulation's start; any fixed time does.
var epochStart = time.Unix(1_000_000, 0)

const (
	holder       = 1
	queueTimeout = 10 * time.Second
	targetGap    = 31 * time.Millisecond
)

func newOurs(p workload.Profile) *ours {
	team := &settings.Team{
		Team:           p.Team,
		FailureDomains: map[string]settings.FailureDomain{"fd0": {Region: "r"}, "fd1": {Region: "r"}},
		Services:       map[string]settings.Service{p.Service: {Kind: settings.KindEngine, Models: []string{p.Classes[0].Model}, Shards: 1}},
		Classes:        map[string]settings.Class{},
		Accounts:       map[string]settings.ClientAccount{},
		Policy:         settings.Policy{TargetGapMS: float64(targetGap) / float64(time.Millisecond), QueueLimit: 4096},
	}
	for _, c := range p.Classes {
		team.Classes[c.Name] = settings.Class{Priority: 5, QueueTimeoutMS: int(queueTimeout.Milliseconds()), MaxTokens: c.MaxTokens, Short: c.Short}
	}
	o := &ours{
		shard: scheduler.New(1, team, p.Service, epochStart), model: p.Classes[0].Model,
		index: map[string]int{}, tickets: map[scheduler.Ticket]int{}, permits: map[int]string{},
		first: map[int]time.Duration{}, class: map[int]*api.RequestClass{},
	}
	for i := range p.Targets {
		name := fmt.Sprintf("e%02d", i)
		o.names = append(o.names, name)
		o.index[name] = i
	}
	return o
}

func (o *ours) arrive(now time.Duration, id int, a workload.Arrival) {
	class := &api.RequestClass{Account: a.Account, Model: a.Model, Class: a.Class, PromptTokens: uint32(a.PromptTokens), MaxTokens: uint32(a.MaxTokens)}
	at := epochStart.Add(now)
	ticket, outcome := o.shard.Enqueue(scheduler.Request{Holder: holder, Class: class, Arrived: at, Until: at.Add(queueTimeout)}, at)
	if outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED {
		o.tickets[ticket] = id
		o.class[id] = class
	}
}

func (o *ours) schedule(now time.Duration, dispatch func(id, target int)) (dropped []int) {
	at := epochStart.Add(now)
	o.shard.Tick(at)
	for _, d := range o.shard.Schedule(at) {
		id := o.tickets[d.Ticket]
		delete(o.tickets, d.Ticket)
		if d.Permit == nil {
			dropped = append(dropped, id)
			continue
		}
		o.permits[id] = d.Permit.GetId()
		o.first[id] = -now
		dispatch(id, o.index[d.Permit.GetTarget()])
	}
	return dropped
}

func (o *ours) started(j *job) { o.first[j.id] += j.lastToken }

func (o *ours) progress(j *job, target int) *api.Progress {
	p := &api.Progress{
		PermitId: o.permits[j.id], Target: o.names[target], OutputTokens: uint32(j.produced),
		MeanGapUs: uint32(j.window.mean().Microseconds()), MaxGapUs: uint32(j.window.max.Microseconds()), Preemptions: uint32(j.preemptions),
	}
	if j.started {
		p.FirstTokenMs = uint32(max(1, o.first[j.id].Milliseconds()))
	}
	j.window = gapStats{}
	return p
}

func (o *ours) finished(now time.Duration, target int, j *job) {
	reason := api.ReleaseReason_RELEASE_REASON_FINISHED
	if j.produced < j.output {
		reason = api.ReleaseReason_RELEASE_REASON_CANCELLED
	}
	o.shard.Release(holder, reason, o.progress(j, target), epochStart.Add(now))
	delete(o.permits, j.id)
	delete(o.first, j.id)
	delete(o.class, j.id)
}

func (o *ours) report(now time.Duration, running map[*job]int) {
	var list []*api.Progress
	for _, j := range sortedJobs(running) {
		list = append(list, o.progress(j, running[j]))
	}
	o.shard.Report(holder, list, epochStart.Add(now))
}

func (o *ours) announce(now time.Duration, target int, e *engine) {
	o.shard.Announce(&api.Announcement{
		Target: o.names[target], Incarnation: "1", Address: "127.0.0.1:1", FailureDomain: fmt.Sprintf("fd%d", target%2),
		Models: []string{o.model}, MaxRunning: uint32(e.model.MaxRunning), MemoryTokens: uint32(e.model.Memory),
		ReportedRunning: uint32(len(e.running)), ReportedTokens: uint32(e.resident), PreemptionsTotal: uint32(e.preemptions),
	}, epochStart.Add(now))
}

func (o *ours) waiting() int { return o.shard.QueueLength() }
