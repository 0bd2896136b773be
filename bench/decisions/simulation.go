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
	warmUp           = 40 * time.Second // length of the first part, which is excluded from the results
	runTime          = 240 * time.Second
	reportInterval   = time.Second
	announceInterval = 500 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
	// coldAt is when every coldEvery-th engine turns cold without warning.
	coldAt    = 120 * time.Second
	coldEvery = 10
	// stallGap is the time between tokens above which a stream counts as stalled.
	stallGap = 4 * targetGap
)

// Result holds the measurements of one simulation after its warm-up.
type Result struct {
	TBT99       float64 // p99 time between tokens in ms
	Preemptions float64 // preemptions per 1000 output tokens
	Stall       float64 // ms by which times between tokens exceed stallGap, per 1000 output tokens
	Goodput     float64 // output tokens/s of finished requests with a mean time between tokens of at most targetGap
	Throughput  float64 // output tokens/s of all requests
	Idle        float64 // share of engine time with an empty batch while requests wait
	Unused      float64 // share of an engine's scarcest resource (memory, step time, batch) unused while requests wait
	Dropped     float64 // share of requests dropped because they did not start within queueTimeout
	FirstP95    float64 // p95 time to the first token in s
	ShortP95    float64 // p95 time to the first token in s, for requests of classes with outputs of few tokens
	ColdExcess  float64 // number of sequences started on cold engines beyond ColdConcurrency
}

type simulation struct {
	profile      workload.Profile
	arrivals     []workload.Arrival
	shortClasses map[string]bool
	policy       policy
	engines      []*engine
	running      map[*job]int // index of the engine of each dispatched request
	jobs         map[int]*job
	now          time.Duration

	gaps, firstTokenWaits, shortFirstTokenWaits *hdrhistogram.Histogram
	tokens, goodTokens, preemptions             int
	coldExcess                                  int
	stallTime                                   time.Duration
	dropped, arrived                            int
	idleSamples, unusedSum, samples             float64
}

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

// simulate runs pol with random arrivals, drawn with seed, at a mean rate in
// requests per second.
func simulate(p workload.Profile, m EngineModel, seed uint64, rate float64, pol policy) Result {
	s := &simulation{
		profile: p, arrivals: workload.Generate(p, seed, rate, runTime), shortClasses: map[string]bool{}, policy: pol,
		running: map[*job]int{}, jobs: map[int]*job{}, gaps: newHistogram(), firstTokenWaits: newHistogram(), shortFirstTokenWaits: newHistogram(),
	}
	for _, c := range p.Classes {
		s.shortClasses[c.Name] = c.Short
	}
	for range p.Targets {
		s.engines = append(s.engines, &engine{model: m})
	}
	s.run()
	return s.result()
}

// run processes events (ends of steps, arrivals and ticks) in order of time until
// runTime.
func (s *simulation) run() {
	nextArrival := 0
	var nextTick, nextReport, nextAnnounce, nextCold time.Duration
	nextCold = coldAt
	for s.now < runTime {
		if s.now >= nextCold {
			for i := 0; i < len(s.engines); i += coldEvery {
				s.engines[i].turnCold()
			}
			nextCold = runTime
		}
		if s.now >= nextAnnounce {
			for i, e := range s.engines {
				s.policy.announceEngine(s.now, i, e)
			}
			nextAnnounce += announceInterval
		}
		if s.now >= nextReport {
			s.policy.reportProgress(s.now, s.running)
			nextReport += reportInterval
		}
		for nextArrival < len(s.arrivals) && s.arrivals[nextArrival].At <= s.now {
			s.processArrival(nextArrival)
			nextArrival++
		}
		changed := s.endSteps()
		if s.now >= nextTick || changed {
			s.schedule()
		}
		if s.now >= nextTick {
			s.dropExpired()
			s.observeIdle()
			nextTick += tickInterval
		}
		s.beginSteps()
		nextEvent := nextTick
		if nextArrival < len(s.arrivals) {
			nextEvent = min(nextEvent, s.arrivals[nextArrival].At)
		}
		for _, e := range s.engines {
			if e.stepEnds > 0 {
				nextEvent = min(nextEvent, e.stepEnds)
			}
		}
		s.now = max(nextEvent, s.now+1)
	}
}

// isWarmedUp reports whether the warm-up is over.
func (s *simulation) isWarmedUp() bool { return s.now >= warmUp }

func (s *simulation) processArrival(i int) {
	a := s.arrivals[i]
	s.jobs[i] = &job{id: i, prompt: a.PromptTokens, output: a.OutputTokens, arrived: s.now}
	s.policy.requestArrived(s.now, i, a)
	if s.isWarmedUp() {
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
		s.dropRequest(id)
	}
}

func (s *simulation) dropRequest(id int) {
	delete(s.jobs, id)
	if s.isWarmedUp() {
		s.dropped++
	}
}

// dropExpired cancels requests that have waited in an engine for longer than
// queueTimeout, as their callers would. Policies without a queue send requests to
// engines at once, so that they wait there.
func (s *simulation) dropExpired() {
	for i, e := range s.engines {
		for _, j := range e.dropExpired(s.now - queueTimeout) {
			s.removeRunning(j, i)
			s.dropRequest(j.id)
		}
	}
}

func (s *simulation) removeRunning(j *job, target int) {
	delete(s.running, j)
	s.policy.requestFinished(s.now, target, j)
}

func (s *simulation) endSteps() (changed bool) {
	for i, e := range s.engines {
		if e.stepEnds == 0 || e.stepEnds > s.now {
			continue
		}
		e.stepEnds = 0
		batch := slices.Clone(e.running)
		finished := e.endStep(s.now, s.recordGap)
		for _, j := range batch {
			if j.produced == 1 {
				s.recordFirstToken(j)
			}
		}
		for _, j := range finished {
			s.finishRequest(j, i)
			changed = true
		}
	}
	return changed
}

func (s *simulation) recordFirstToken(j *job) {
	s.policy.firstToken(j)
	if !s.isWarmedUp() {
		return
	}
	wait := (s.now - j.arrived).Microseconds()
	_ = s.firstTokenWaits.RecordValue(wait)
	if s.shortClasses[s.arrivals[j.id].Class] {
		_ = s.shortFirstTokenWaits.RecordValue(wait)
	}
}

func (s *simulation) recordGap(_ *job, gap time.Duration) {
	if s.isWarmedUp() {
		_ = s.gaps.RecordValue(gap.Microseconds())
		s.tokens++
		s.stallTime += max(0, gap-stallGap)
	}
}

func (s *simulation) finishRequest(j *job, target int) {
	s.removeRunning(j, target)
	delete(s.jobs, j.id)
	if s.isWarmedUp() && j.gaps.mean() <= targetGap {
		s.goodTokens += j.output
	}
}

func (s *simulation) beginSteps() {
	for _, e := range s.engines {
		if e.stepEnds > 0 {
			continue
		}
		preemptions, excess := e.preemptions, e.coldExcess
		if d := e.beginStep(); d > 0 {
			e.stepEnds = s.now + d
		}
		if s.isWarmedUp() {
			s.preemptions += e.preemptions - preemptions
			s.coldExcess += e.coldExcess - excess
		}
	}
}

// observeIdle samples how much of the engines' capacity is unused while requests
// wait in the policy's queue or in an engine.
func (s *simulation) observeIdle() {
	if !s.isWarmedUp() {
		return
	}
	waiting := s.policy.queueLength()
	for _, e := range s.engines {
		waiting += len(e.waiting)
	}
	for _, e := range s.engines {
		s.samples++
		if waiting == 0 {
			continue
		}
		if len(e.running) == 0 {
			s.idleSamples++
		}
		used := max(float64(e.resident)/float64(e.model.Memory), float64(e.model.stepTime(len(e.running), e.resident))/float64(targetGap),
			float64(len(e.running))/float64(e.model.MaxRunning))
		s.unusedSum += max(0, 1-used)
	}
}

func (s *simulation) result() Result {
	seconds := (runTime - warmUp).Seconds()
	kilo := max(1, float64(s.tokens)) / 1000
	return Result{
		TBT99:       float64(s.gaps.ValueAtQuantile(99)) / 1000,
		Preemptions: float64(s.preemptions) / kilo,
		Stall:       s.stallTime.Seconds() * 1000 / kilo,
		Goodput:     float64(s.goodTokens) / seconds,
		Throughput:  float64(s.tokens) / seconds,
		Idle:        s.idleSamples / max(1, s.samples),
		Unused:      s.unusedSum / max(1, s.samples),
		Dropped:     float64(s.dropped) / max(1, float64(s.arrived)),
		FirstP95:    float64(s.firstTokenWaits.ValueAtQuantile(95)) / 1e6,
		ShortP95:    float64(s.shortFirstTokenWaits.ValueAtQuantile(95)) / 1e6,
		ColdExcess:  float64(s.coldExcess),
	}
}

func sortedJobs(m map[*job]int) []*job {
	return slices.SortedFunc(maps.Keys(m), func(a, b *job) int { return cmp.Compare(a.id, b.id) })
}
