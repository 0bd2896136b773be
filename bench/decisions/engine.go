package main

import "time"

// EngineModel is the batch model of an inference engine.
type EngineModel struct {
	Base        time.Duration // of one step
	PerSequence time.Duration
	PerToken    time.Duration // per resident token
	PerPrefill  time.Duration // per prompt token of a sequence that joins the batch
	Memory      int           // tokens
	MaxRunning  int
	// Cold engines take ColdFactor times as long per step at first, falling
	// to 1 over ColdSteps steps.
	ColdFactor float64
	ColdSteps  int
	// ColdBearable is how many sequences that started while the engine is
	// cold it bears; the simulation counts those beyond it.
	ColdBearable int
}

// defaultModel is an engine whose memory is full at about the concurrency at
// which its step takes the time between tokens that the policies aim at.
var defaultModel = EngineModel{
	Base: 8 * time.Millisecond, PerSequence: 350 * time.Microsecond, PerToken: 700 * time.Nanosecond,
	PerPrefill: 20 * time.Microsecond, Memory: 16000, MaxRunning: 32, ColdFactor: 4, ColdSteps: 200, ColdBearable: 4,
}

func (m EngineModel) step(sequences, resident int) time.Duration {
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
	started   bool // produced its first token

	coldStart   bool // joined the batch of a cold engine
	preemptions int
	gaps        gapStats // all
	window      gapStats // since the last report
}

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

// engine is one simulated engine. Its running sequences are in the order of
// their start; the newest is preempted first and recomputed when it fits again.
type engine struct {
	model    EngineModel
	running  []*job
	waiting  []*job
	resident int
	steps    int // since the last cold start

	stepEnds    time.Duration // 0 while idle
	preemptions int
	coldExcess  int // sequences started beyond what the cold engine bears
}

// begin admits waiting sequences and returns the duration of the next step; 0
// when there is nothing to run.
func (e *engine) begin() time.Duration {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxRunning {
		j := e.waiting[0]
		need := j.prompt + j.produced
		if e.resident+need+len(e.running)+1 > e.model.Memory && len(e.running) > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		if j.coldStart = e.cold(); j.coldStart && e.coldLoad() >= e.model.ColdBearable {
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
	d := e.model.step(len(e.running), e.resident) + time.Duration(prefill)*e.model.PerPrefill
	if e.cold() {
		d = time.Duration(float64(d) * (1 + (e.model.ColdFactor-1)*(1-float64(e.steps)/float64(e.model.ColdSteps))))
	}
	e.steps++
	return d
}

// turnCold makes the engine cold without warning. What runs already counts as
// started warm: no policy could have held it back.
func (e *engine) turnCold() {
	e.steps = 0
	for _, j := range e.running {
		j.coldStart = false
	}
}

func (e *engine) cold() bool { return e.steps < e.model.ColdSteps }

// coldLoad counts the running sequences that started since the engine is cold.
func (e *engine) coldLoad() (n int) {
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

// end gives every running sequence one token and returns the finished ones.
func (e *engine) end(now time.Duration, token func(j *job, gap time.Duration)) (finished []*job) {
	rest := e.running[:0]
	for _, j := range e.running {
		j.produced++
		e.resident++
		if j.started {
			gap := now - j.lastToken
			j.gaps.add(gap)
			j.window.add(gap)
			token(j, gap)
		}
		j.started, j.lastToken = true, now
		if j.produced < j.output {
			rest = append(rest, j)
			continue
		}
		e.resident -= j.prompt + j.produced
		finished = append(finished, j)
	}
	e.running = rest
	return finished
}

// dropLate removes sequences that wait for their first token since before the
// given time.
func (e *engine) dropLate(before time.Duration) (dropped []*job) {
	rest := e.waiting[:0]
	for _, j := range e.waiting {
		if !j.started && j.arrived < before {
			dropped = append(dropped, j)
		} else {
			rest = append(rest, j)
		}
	}
	e.waiting = rest
	return dropped
}
