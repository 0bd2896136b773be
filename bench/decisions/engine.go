package main

import "time"

// EngineModel describes an inference engine that runs its sequences in one batch.
// Each step produces one token of every sequence.
type EngineModel struct {
	Base        time.Duration // fixed part of the duration of a step
	PerSequence time.Duration
	PerToken    time.Duration // additional duration of a step per token in memory
	PerPrefill  time.Duration // additional duration of a step per token of a sequence that joins the batch
	Memory      int           // number of tokens that fit in memory
	MaxRunning  int
	// A cold engine's steps take ColdFactor times as long at first; the factor
	// falls linearly to 1 over ColdSteps steps.
	ColdFactor float64
	ColdSteps  int
	// ColdConcurrency is how many sequences that started on a cold engine should
	// run at once; the simulation counts those that start beyond it.
	ColdConcurrency int
}

// defaultModel describes an engine whose memory is full at about the concurrency
// at which a step takes targetGap, the time between tokens that policies aim at.
var defaultModel = EngineModel{
	Base: 8 * time.Millisecond, PerSequence: 350 * time.Microsecond, PerToken: 700 * time.Nanosecond,
	PerPrefill: 20 * time.Microsecond, Memory: 16000, MaxRunning: 32, ColdFactor: 4, ColdSteps: 200, ColdConcurrency: 4,
}

func (m EngineModel) stepTime(sequences, resident int) time.Duration {
	return m.Base + time.Duration(sequences)*m.PerSequence + time.Duration(resident)*m.PerToken
}

// job is one request in the simulation.
type job struct {
	id        int
	prompt    int
	output    int
	produced  int
	arrived   time.Duration
	lastToken time.Duration
	started   bool // whether the request has got its first token

	coldStart       bool // whether the request joined the batch while the engine was cold
	preemptions     int
	gaps            gapStats // times between all tokens of the request
	gapsSinceReport gapStats // times between tokens since the request's last progress report
}

// gapStats summarizes the times between the tokens of a job.
type gapStats struct {
	sum time.Duration
	max time.Duration
	n   int
}

func (g *gapStats) add(d time.Duration) {
	g.sum += d
	g.max = max(g.max, d)
	g.n++
}

func (g gapStats) mean() time.Duration { return g.sum / time.Duration(max(1, g.n)) }

// engine is one simulated inference engine. Its running sequences are ordered by
// start; the newest is preempted first and recomputed when it fits again.
type engine struct {
	model    EngineModel
	running  []*job
	waiting  []*job
	resident int
	steps    int // number of steps since the engine turned cold

	stepEnds    time.Duration // end of the current step; 0 while the engine is idle
	preemptions int
	coldExcess  int // number of sequences beyond ColdConcurrency that were started while the engine was cold
}

// beginStep admits waiting sequences, preempts the newest ones if the batch would
// outgrow the memory, and returns the duration of the step, or 0 if nothing runs.
func (e *engine) beginStep() time.Duration {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxRunning {
		j := e.waiting[0]
		need := j.prompt + j.produced
		if e.resident+need+len(e.running)+1 > e.model.Memory && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		if j.coldStart = e.isCold(); j.coldStart && e.coldStarts() >= e.model.ColdConcurrency {
			e.coldExcess++
		}
		e.running = append(e.running, j)
		e.resident += need
		prefill += need
	}
	for e.resident+len(e.running) > e.model.Memory && len(e.running) > 1 {
		e.preemptNewest()
	}
	if len(e.running) == 0 {
		return 0
	}
	d := e.model.stepTime(len(e.running), e.resident) + time.Duration(prefill)*e.model.PerPrefill
	if e.isCold() {
		d = time.Duration(float64(d) * (1 + (e.model.ColdFactor-1)*(1-float64(e.steps)/float64(e.model.ColdSteps))))
	}
	e.steps++
	return d
}

// turnCold makes the engine cold without warning. Sequences that already run do
// not count as cold starts, since no policy could have held them back.
func (e *engine) turnCold() {
	e.steps = 0
	for _, j := range e.running {
		j.coldStart = false
	}
}

func (e *engine) isCold() bool { return e.steps < e.model.ColdSteps }

// coldStarts returns how many running sequences started since the engine turned
// cold.
func (e *engine) coldStarts() (n int) {
	for _, j := range e.running {
		if j.coldStart {
			n++
		}
	}
	return n
}

func (e *engine) preemptNewest() {
	last := len(e.running) - 1
	j := e.running[last]
	e.running = e.running[:last]
	e.resident -= j.prompt + j.produced
	j.preemptions++
	e.preemptions++
	e.waiting = append([]*job{j}, e.waiting...)
}

// endStep adds one token to every running sequence and returns the finished ones.
// It calls onGap with the time since the previous token, except for first tokens.
func (e *engine) endStep(now time.Duration, onGap func(j *job, gap time.Duration)) (finished []*job) {
	remaining := e.running[:0]
	for _, j := range e.running {
		j.produced++
		e.resident++
		if j.started {
			gap := now - j.lastToken
			j.gaps.add(gap)
			j.gapsSinceReport.add(gap)
			onGap(j, gap)
		}
		j.started, j.lastToken = true, now
		if j.produced < j.output {
			remaining = append(remaining, j)
			continue
		}
		e.resident -= j.prompt + j.produced
		finished = append(finished, j)
	}
	e.running = remaining
	return finished
}

// dropExpired removes and returns the sequences that arrived before the given
// time and still wait for their first token.
func (e *engine) dropExpired(before time.Duration) (dropped []*job) {
	remaining := e.waiting[:0]
	for _, j := range e.waiting {
		if !j.started && j.arrived < before {
			dropped = append(dropped, j)
		} else {
			remaining = append(remaining, j)
		}
	}
	e.waiting = remaining
	return dropped
}
