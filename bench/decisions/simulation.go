package main

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/endivetrack/endivetrack/bench/workload"
)

// Timing of the simulation.
const (
	warmUp           = 40 * time.Second // not measured
	runTime          = 240 * time.Second
	reportInterval   = time.Second
	announceInterval = 500 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	// coldAt is when every tenth target silently turns cold.
	coldAt    = 120 * time.Second
	coldEvery = 10
	// stallGap is the time between tokens above which a stream stalls.
	stallGap = 4 * targetGap
)

// Result is what one run measured after the warm-up.
type Result struct {
	TBT99       float64 // ms
	Preemptions float64 // per 1000 output tokens
	Stall       float64 // ms over stallGap, per 1000 output tokens
	Goodput     float64 // tokens/s of requests that finished with a mean gap within the target
	Throughput  float64 // tokens/s
	Idle        float64 // share of target time with an empty batch while work waits
	Unused      float64 // share of memory and step time unused while work waits
	Dropped     float64 // share of requests not run in time
	FirstP95    float64 // s to the first token
	ShortP95    float64 // s to the first token of short classes
	ColdExcess  float64 // sequences beyond what cold engines bear, after the warm-up
}

type simulation struct {
	profile  workload.Profile
	arrivals []workload.Arrival
	short    map[string]bool
	policy   policy
	engines  []*engine
	running  map[*job]int // dispatched, by target
	jobs     map[int]*job
	now      time.Duration

	gaps, first, firstShort   *hdrhistogram.Histogram
	tokens, good, preemptions int
	coldExcess                int
	stall                     time.Duration
	dropped, arrived          int
	idle, unused, observed    float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func simulate(p workload.Profile, m EngineModel, seed uint64, rate float64, pol policy) Result {
	s := &simulation{
		profile: p, arrivals: workload.Generate(p, seed, rate, runTime), short: map[string]bool{}, policy: pol,
		running: map[*job]int{}, jobs: map[int]*job{}, gaps: newHistogram(), first: newHistogram(), firstShort: newHistogram(),
	}
	for _, c := range p.Classes {
		s.short[c.Name] = c.Short
	}
	for range p.Targets {
		s.engines = append(s.engines, &engine{model: m})
	}
	s.run()
	return s.result()
}

// run advances to the next event: a step's end, an arrival or a tick.
func (s *simulation) run() {
	next := 0
	var tick, report, announce, cold time.Duration
	cold = coldAt
	for s.now < runTime {
		if s.now >= cold {
			for i := 0; i < len(s.engines); i += coldEvery {
				s.engines[i].turnCold()
			}
			cold = runTime
		}
		if s.now >= announce {
			for i, e := range s.engines {
				s.policy.announce(s.now, i, e)
			}
			announce += announceInterval
		}
		if s.now >= report {
			s.policy.report(s.now, s.running)
			report += reportInterval
		}
		for next < len(s.arrivals) && s.arrivals[next].At <= s.now {
			s.arrive(next)
			next++
		}
		changed := s.endSteps()
		if s.now >= tick || changed {
			s.schedule()
		}
		if s.now >= tick {
			s.dropLate()
			s.observeIdle()
			tick += tickInterval
		}
		s.beginSteps()
		following := tick
		if next < len(s.arrivals) {
			following = min(following, s.arrivals[next].At)
		}
		for _, e := range s.engines {
			if e.stepEnds > 0 {
				following = min(following, e.stepEnds)
			}
		}
		s.now = max(following, s.now+1)
	}
}

func (s *simulation) measured() bool { return s.now >= warmUp }

func (s *simulation) arrive(i int) {
	a := s.arrivals[i]
	s.jobs[i] = &job{id: i, prompt: a.PromptTokens, output: a.OutputTokens, arrived: s.now}
	s.policy.arrive(s.now, i, a)
	if s.measured() {
		s.arrived++
	}
	s.schedule()
}

func (s *simulation) schedule() {
	dropped := s.policy.schedule(s.now, func(id, target int) {
		j := s.jobs[id]
		s.running[j] = target
		s.engines[target].waiting = append(s.engines[target].waiting, j)
	})
	for _, id := range dropped {
		s.drop(id)
	}
}

func (s *simulation) drop(id int) {
	delete(s.jobs, id)
	if s.measured() {
		s.dropped++
	}
}

// dropLate cancels requests that wait in an engine for longer than the queue
// timeout, as the callers of a baseline without a queue would.
func (s *simulation) dropLate() {
	for i, e := range s.engines {
		for _, j := range e.dropLate(s.now - queueTimeout) {
			s.leave(j, i)
			s.drop(j.id)
		}
	}
}

func (s *simulation) leave(j *job, target int) {
	delete(s.running, j)
	s.policy.finished(s.now, target, j)
}

func (s *simulation) endSteps() (changed bool) {
	for i, e := range s.engines {
		if e.stepEnds == 0 || e.stepEnds > s.now {
			continue
		}
		e.stepEnds = 0
		before := slices.Clone(e.running)
		done := e.end(s.now, s.token)
		for _, j := range before {
			if j.produced == 1 {
				s.firstToken(j)
			}
		}
		for _, j := range done {
			s.finish(j, i)
			changed = true
		}
	}
	return changed
}

func (s *simulation) firstToken(j *job) {
	s.policy.started(j)
	if !s.measured() {
		return
	}
	wait := (s.now - j.arrived).Microseconds()
	_ = s.first.RecordValue(wait)
	if s.short[s.arrivals[j.id].Class] {
		_ = s.firstShort.RecordValue(wait)
	}
}

func (s *simulation) token(_ *job, gap time.Duration) {
	if s.measured() {
		_ = s.gaps.RecordValue(gap.Microseconds())
		s.tokens++
		s.stall += max(0, gap-stallGap)
	}
}

func (s *simulation) finish(j *job, target int) {
	s.leave(j, target)
	delete(s.jobs, j.id)
	if s.measured() && j.gaps.mean() <= targetGap {
		s.good += j.output
	}
}

func (s *simulation) beginSteps() {
	for _, e := range s.engines {
		if e.stepEnds > 0 {
			continue
		}
		preemptions, excess := e.preemptions, e.coldExcess
		if d := e.begin(); d > 0 {
			e.stepEnds = s.now + d
		}
		if s.measured() {
			s.preemptions += e.preemptions - preemptions
			s.coldExcess += e.coldExcess - excess
		}
	}
}

// observeIdle samples how much of the engines is unused while work waits in
// the policy's queue or at an engine.
func (s *simulation) observeIdle() {
	if !s.measured() {
		return
	}
	waiting := s.policy.waiting()
	for _, e := range s.engines {
		waiting += len(e.waiting)
	}
	for _, e := range s.engines {
		s.observed++
		if waiting == 0 {
			continue
		}
		if len(e.running) == 0 {
			s.idle++
		}
		used := max(float64(e.resident)/float64(e.model.Memory), float64(e.model.step(len(e.running), e.resident))/float64(targetGap),
			float64(len(e.running))/float64(e.model.MaxRunning))
		s.unused += max(0, 1-used)
	}
}

func (s *simulation) result() Result {
	seconds := (runTime - warmUp).Seconds()
	kilo := max(1, float64(s.tokens)) / 1000
	return Result{
		TBT99:       float64(s.gaps.ValueAtQuantile(99)) / 1000,
		Preemptions: float64(s.preemptions) / kilo,
		Stall:       s.stall.Seconds() * 1000 / kilo,
		Goodput:     float64(s.good) / seconds,
		Throughput:  float64(s.tokens) / seconds,
		Idle:        s.idle / max(1, s.observed),
		Unused:      s.unused / max(1, s.observed),
		Dropped:     float64(s.dropped) / max(1, float64(s.arrived)),
		FirstP95:    float64(s.first.ValueAtQuantile(95)) / 1e6,
		ShortP95:    float64(s.firstShort.ValueAtQuantile(95)) / 1e6,
		ColdExcess:  float64(s.coldExcess),
	}
}

func sortedJobs(m map[*job]int) []*job {
	return slices.SortedFunc(maps.Keys(m), func(a, b *job) int { return cmp.Compare(a.id, b.id) })
}
