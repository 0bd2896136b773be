package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/standin/expected"
)

// kiloToken is the number of tokens that StepPerKiloToken refers to.
const kiloToken = 1000

// overloadFailShare times coldLoadFactor is the share of sequences that fail in
// each step of an overloaded cold engine.
const overloadFailShare = 0.01

// sequence is one generation in the batch.
type sequence struct {
	id           string
	priority     int
	arrival      uint64
	promptTokens int // number of tokens in the prompt
	prefixHashes []uint64
	plan         expected.Plan

	emitted      int // number of tokens generated so far; preemption does not reset it
	uncomputed   int // number of tokens to compute before the next one can be generated
	preemptions  int
	preempted    bool
	admittedCold bool // whether the sequence was admitted to the batch while the engine was cold
}

// residentTokens returns the memory that the sequence uses while it runs, in tokens.
func (s *sequence) residentTokens() int { return s.promptTokens + s.emitted }

// step is the result of one batch step.
type step struct {
	duration     time.Duration
	emitted      []*sequence
	preempted    []*sequence
	finished     []*sequence
	failed       []*sequence
	overload     bool // whether the engine was cold and coldLoadFactor exceeded 1
	cacheAdded   []uint64
	cacheEvicted []uint64
}

// batch schedules sequences step by step. It has no clock and no locks: the same
// seed and the same calls produce the same steps.
type batch struct {
	config         Config
	rng            *rand.Rand
	cache          *prefixCache
	running        []*sequence // sequences in the batch, in order of admission
	waiting        []*sequence // queued sequences, by priority, then arrival
	residentTokens int
	arrivals       uint64

	cold       bool
	coldSince  time.Duration
	coldTokens int
	nextColdAt time.Duration // time from the engine's start until it next turns cold; 0 if not scheduled
	slowdown   float64       // injected fault: factor on the duration of every step
	failShare  float64       // injected fault: share of sequences that fail in each step
}

func newBatch(c Config) *batch {
	b := &batch{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5eed)), cache: newPrefixCache(c.CacheBlocks), slowdown: 1}
	if !c.WarmStart && (c.ColdFor > 0 || c.ColdTokens > 0) {
		b.turnCold(0)
	}
	return b
}

func (b *batch) turnCold(now time.Duration) { b.cold, b.coldSince, b.coldTokens = true, now, 0 }

// full reports whether batch and queue have no room for another sequence.
func (b *batch) full() bool {
	return len(b.running)+len(b.waiting) >= b.config.MaxRunning+b.config.MaxWaiting
}

func (b *batch) idle() bool { return len(b.running)+len(b.waiting) == 0 }

// add queues a new sequence.
func (b *batch) add(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.enqueue(s)
}

func (b *batch) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s, byPriority)
	b.waiting = slices.Insert(b.waiting, at, s)
}

// byPriority sorts by higher priority, then by earlier arrival.
func byPriority(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
}

// remove deletes s from the batch or the queue.
func (b *batch) remove(s *sequence) {
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.residentTokens -= s.residentTokens()
	}
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// step computes one step of the batch: it admits waiting sequences that fit,
// computes prompt tokens and generates one token of every sequence whose prompt is
// computed. It returns the result of the step with its duration.
func (b *batch) step() step {
	var out step
	b.admitWaiting(&out)
	computed := b.prefill()
	b.decode(&out)
	out.duration = b.stepDuration(computed, &out)
	b.failSequences(&out)
	if b.cold {
		b.coldTokens += len(out.emitted)
	}
	return out
}

// updateColdState ends a cold period that is over, or starts one that is due. It must be
// called before each step. now is the time since the engine started.
func (b *batch) updateColdState(now time.Duration) {
	c := b.config
	if b.cold {
		served := c.ColdTokens > 0 && b.coldTokens >= c.ColdTokens
		elapsed := c.ColdFor > 0 && now-b.coldSince >= c.ColdFor
		if served || elapsed {
			b.cold, b.nextColdAt = false, 0
		}
		return
	}
	if c.MeanWarm <= 0 {
		return
	}
	if b.nextColdAt == 0 {
		b.nextColdAt = now + time.Duration(b.rng.ExpFloat64()*float64(c.MeanWarm))
	}
	if now >= b.nextColdAt {
		b.turnCold(now)
	}
}

// admitWaiting moves waiting sequences into the batch until the next one does not
// fit. A sequence that alone exceeds the engine's memory is admitted if the batch is
// empty.
func (b *batch) admitWaiting(out *step) {
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		s := b.waiting[0]
		if len(b.running) > 0 && b.residentTokens+s.residentTokens()+1 > b.config.MemoryTokens {
			return
		}
		b.waiting = b.waiting[1:]
		cached := b.cache.cachedPrefixes(s.prefixHashes) * expected.BlockTokens
		// The last token is computed even if it is cached, because computing it
		// yields the next token.
		s.uncomputed = max(1, s.residentTokens()-cached)
		s.preempted = false
		s.admittedCold = b.cold
		added, evicted := b.cache.add(s.prefixHashes)
		out.cacheAdded, out.cacheEvicted = append(out.cacheAdded, added...), append(out.cacheEvicted, evicted...)
		b.running = append(b.running, s)
		b.residentTokens += s.residentTokens()
	}
}

// prefill computes up to PrefillChunk prompt tokens, in the order in which the
// sequences were admitted, and returns how many it computed.
func (b *batch) prefill() int {
	remaining := b.config.PrefillChunk
	for _, s := range b.running {
		n := min(remaining, s.uncomputed)
		s.uncomputed -= n
		remaining -= n
	}
	return b.config.PrefillChunk - remaining
}

// decode generates one token of every sequence whose prompt is computed.
func (b *batch) decode(out *step) {
	for _, s := range slices.Clone(b.running) {
		if s.preempted || s.uncomputed > 0 {
			continue
		}
		if !b.makeRoom(s, out) {
			continue
		}
		s.emitted++
		b.residentTokens++
		out.emitted = append(out.emitted, s)
		if s.emitted >= s.plan.Length {
			b.remove(s)
			out.finished = append(out.finished, s)
		}
	}
}

// makeRoom preempts sequences until one more token fits in memory: the sequence of
// the lowest priority that arrived last goes first. A preempted sequence returns to
// the queue, and its tokens are computed again once it is admitted. makeRoom reports
// whether s is still running.
func (b *batch) makeRoom(s *sequence, out *step) bool {
	for b.residentTokens+1 > b.config.MemoryTokens {
		victim := slices.MaxFunc(b.running, byPriority)
		b.remove(victim)
		if len(b.running) == 0 {
			// The last sequence alone exceeds the memory, so it can never finish.
			out.failed = append(out.failed, victim)
			return false
		}
		victim.preempted = true
		victim.preemptions++
		b.enqueue(victim)
		out.preempted = append(out.preempted, victim)
		if victim == s {
			return false
		}
	}
	return true
}

// stepDuration returns how long the step takes. If the engine is cold and
// overloaded, it also sets out.overload.
func (b *batch) stepDuration(computed int, out *step) time.Duration {
	c, n := b.config, len(b.running)+len(out.finished)
	d := float64(c.StepBase) + float64(c.StepPerSequence)*float64(n) +
		float64(c.StepPerKiloToken)*float64(b.residentTokens)/kiloToken + float64(c.PrefillPerToken)*float64(computed)
	if b.cold {
		d *= max(1, c.ColdSlowdown)
		if load := b.coldLoadFactor(); load > 1 {
			d *= math.Pow(load, 2)
			out.overload = true
		}
	}
	return time.Duration(d * b.slowdown)
}

// coldLoadFactor returns the number of running sequences that were admitted while
// the engine was cold, as a multiple of ColdConcurrency. Sequences admitted before
// the engine turned cold do not count: no caller could have avoided them.
func (b *batch) coldLoadFactor() float64 {
	n := 0
	for _, s := range b.running {
		if s.admittedCold {
			n++
		}
	}
	return float64(n) / float64(max(1, b.config.ColdConcurrency))
}

// failSequences removes the sequences that fail in this step because of cold
// overload or an injected fault.
func (b *batch) failSequences(out *step) {
	share := b.failShare
	if out.overload {
		share += overloadFailShare * b.coldLoadFactor()
	}
	if share <= 0 {
		return
	}
	for _, s := range slices.Clone(b.running) {
		if b.rng.Float64() < share {
			b.remove(s)
			out.failed = append(out.failed, s)
		}
	}
}
