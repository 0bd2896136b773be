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

// policy decides where and when requests run. The simulation notifies it when a
// request arrives, gets its first token or ends. At regular intervals it calls
// reportProgress with all running requests and announceEngine with the state of each
// engine. queueLength returns the number of requests in the policy's queue.
type policy interface {
	requestArrived(now time.Duration, id int, a workload.Arrival)
	// schedule calls dispatch for each request that may run and returns the ids of dropped ones.
	schedule(now time.Duration, dispatch func(id, target int)) (dropped []int)
	firstToken(j *job)
	requestFinished(now time.Duration, target int, j *job)
	reportProgress(now time.Duration, running map[*job]int)
	announceEngine(now time.Duration, target int, e *engine)
	queueLength() int
}

// queuedBaseline runs a baseline policy with a first-in, first-out queue.
type queuedBaseline struct {
	policy  baseline.Policy
	rng     *rand.Rand
	targets []baseline.Target
	queue   []queuedRequest
}

type queuedRequest struct {
	id      int
	arrived time.Duration
}

func newQueuedBaseline(p baseline.Policy, targets int, seed uint64) *queuedBaseline {
	return &queuedBaseline{policy: p, rng: rand.New(rand.NewPCG(seed, 2)), targets: make([]baseline.Target, targets)}
}

func (s *queuedBaseline) requestArrived(now time.Duration, id int, _ workload.Arrival) {
	s.queue = append(s.queue, queuedRequest{id, now})
}

func (s *queuedBaseline) schedule(now time.Duration, dispatch func(id, target int)) (dropped []int) {
	for len(s.queue) > 0 {
		if s.queue[0].arrived < now-queueTimeout {
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

func (s *queuedBaseline) firstToken(*job) {}
func (s *queuedBaseline) requestFinished(_ time.Duration, target int, _ *job) {
	s.targets[target].Outstanding--
}
func (s *queuedBaseline) reportProgress(time.Duration, map[*job]int) {}
func (s *queuedBaseline) announceEngine(_ time.Duration, t int, e *engine) {
	s.targets[t].Reported = len(e.running) + len(e.waiting)
}
func (s *queuedBaseline) queueLength() int { return len(s.queue) }

// distributedBaseline runs one copy of a baseline per entry instance. Each copy
// counts only the requests that it sent itself, as instances that share no shard
// owner would. All copies get the load that targets report.
type distributedBaseline struct {
	instances  []*queuedBaseline
	rng        *rand.Rand
	instanceOf map[int]int // index in instances of the copy that handles the request, by request id
}

func newDistributedBaseline(instances, targets int, seed uint64, newPolicy func() baseline.Policy) *distributedBaseline {
	s := &distributedBaseline{rng: rand.New(rand.NewPCG(seed, 3)), instanceOf: map[int]int{}}
	for i := range instances {
		s.instances = append(s.instances, newQueuedBaseline(newPolicy(), targets, seed+uint64(i)<<32))
	}
	return s
}

func (s *distributedBaseline) requestArrived(now time.Duration, id int, a workload.Arrival) {
	i := s.rng.IntN(len(s.instances))
	s.instanceOf[id] = i
	s.instances[i].requestArrived(now, id, a)
}

func (s *distributedBaseline) schedule(now time.Duration, dispatch func(id, target int)) (dropped []int) {
	for _, p := range s.instances {
		dropped = append(dropped, p.schedule(now, dispatch)...)
	}
	return dropped
}

func (s *distributedBaseline) requestFinished(now time.Duration, target int, j *job) {
	s.instances[s.instanceOf[j.id]].requestFinished(now, target, j)
	delete(s.instanceOf, j.id)
}

func (s *distributedBaseline) announceEngine(now time.Duration, target int, e *engine) {
	for _, p := range s.instances {
		p.announceEngine(now, target, e)
	}
}

func (s *distributedBaseline) queueLength() (n int) {
	for _, p := range s.instances {
		n += p.queueLength()
	}
	return n
}

func (s *distributedBaseline) firstToken(*job)                            {}
func (s *distributedBaseline) reportProgress(time.Duration, map[*job]int) {}

// shardPolicy runs the system's own decisions: those of scheduler.Shard, the state
// machine of a shard owner. firstTokenDelays holds the time from the dispatch of a
// request to its first token; until that token, it holds the negated dispatch time.
type shardPolicy struct {
	shard            *scheduler.Shard
	model            string
	targetNames      []string
	targetIndexes    map[string]int
	tickets          map[scheduler.Ticket]int
	permits          map[int]string // permit id of each dispatched request, by request id
	firstTokenDelays map[int]time.Duration
	classes          map[int]*api.RequestClass
	refused          []int // requests that Enqueue refused since the last call of schedule
}

// simulationStart is the wall time at which simulations start; any fixed time
// does.
var simulationStart = time.Unix(1_000_000, 0)

const (
	holderSession = 1
	queueTimeout  = 10 * time.Second
	targetGap     = 31 * time.Millisecond
)

func newShardPolicy(p workload.Profile) *shardPolicy {
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
	o := &shardPolicy{
		shard: scheduler.New(1, team, p.Service, simulationStart), model: p.Classes[0].Model,
		targetIndexes: map[string]int{}, tickets: map[scheduler.Ticket]int{}, permits: map[int]string{},
		firstTokenDelays: map[int]time.Duration{}, classes: map[int]*api.RequestClass{},
	}
	for i := range p.Targets {
		name := fmt.Sprintf("e%02d", i)
		o.targetNames = append(o.targetNames, name)
		o.targetIndexes[name] = i
	}
	return o
}

func (o *shardPolicy) requestArrived(now time.Duration, id int, a workload.Arrival) {
	class := &api.RequestClass{Account: a.Account, Model: a.Model, Class: a.Class, PromptTokens: uint32(a.PromptTokens), MaxTokens: uint32(a.MaxTokens)}
	wallTime := simulationStart.Add(now)
	ticket, outcome := o.shard.Enqueue(scheduler.Request{Holder: holderSession, Class: class, Arrived: wallTime, Until: wallTime.Add(queueTimeout)}, wallTime)
	if outcome != api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED {
		o.refused = append(o.refused, id)
		return
	}
	o.tickets[ticket] = id
	o.classes[id] = class
}

func (o *shardPolicy) schedule(now time.Duration, dispatch func(id, target int)) (dropped []int) {
	dropped, o.refused = o.refused, nil
	wallTime := simulationStart.Add(now)
	o.shard.Tick(wallTime)
	for _, d := range o.shard.Schedule(wallTime) {
		id := o.tickets[d.Ticket]
		delete(o.tickets, d.Ticket)
		if d.Permit == nil {
			dropped = append(dropped, id)
			continue
		}
		o.permits[id] = d.Permit.GetId()
		o.firstTokenDelays[id] = -now
		dispatch(id, o.targetIndexes[d.Permit.GetTarget()])
	}
	return dropped
}

func (o *shardPolicy) firstToken(j *job) { o.firstTokenDelays[j.id] += j.lastToken }

// progressReport returns the progress report of a request and resets the times
// between tokens collected since its last report.
func (o *shardPolicy) progressReport(j *job, target int) *api.Progress {
	p := &api.Progress{
		PermitId: o.permits[j.id], Target: o.targetNames[target], OutputTokens: uint32(j.produced),
		MeanGapUs: uint32(j.gapsSinceReport.mean().Microseconds()), MaxGapUs: uint32(j.gapsSinceReport.max.Microseconds()), Preemptions: uint32(j.preemptions),
	}
	if j.started {
		p.FirstTokenMs = uint32(max(1, o.firstTokenDelays[j.id].Milliseconds()))
	}
	j.gapsSinceReport = gapStats{}
	return p
}

func (o *shardPolicy) requestFinished(now time.Duration, target int, j *job) {
	reason := api.ReleaseReason_RELEASE_REASON_FINISHED
	if j.produced < j.output {
		reason = api.ReleaseReason_RELEASE_REASON_CANCELLED
	}
	o.shard.Release(holderSession, reason, o.progressReport(j, target), simulationStart.Add(now))
	delete(o.permits, j.id)
	delete(o.firstTokenDelays, j.id)
	delete(o.classes, j.id)
}

func (o *shardPolicy) reportProgress(now time.Duration, running map[*job]int) {
	var list []*api.Progress
	for _, j := range sortedJobs(running) {
		list = append(list, o.progressReport(j, running[j]))
	}
	o.shard.Report(holderSession, list, simulationStart.Add(now))
}

func (o *shardPolicy) announceEngine(now time.Duration, target int, e *engine) {
	o.shard.Announce(&api.Announcement{
		Target: o.targetNames[target], Incarnation: "1", Address: "127.0.0.1:1", FailureDomain: fmt.Sprintf("fd%d", target%2),
		Models: []string{o.model}, MaxRunning: uint32(e.model.MaxRunning), MemoryTokens: uint32(e.model.Memory),
		ReportedRunning: uint32(len(e.running)), ReportedTokens: uint32(e.resident), PreemptionsTotal: uint32(e.preemptions),
	}, simulationStart.Add(now))
}

func (o *shardPolicy) queueLength() int { return o.shard.QueueLength() }
