package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/standin/expected"
)

// kiloToken is the unit of StepPerKiloToken.
const kiloToken = 1000

// failPerStep scales the share of sequences that fail in each step of a cold
// engine that has more than it bears.
const failPerStep = 0.01

// sequence is one generation in the batch.
type sequence struct {
	id       string
	priority int
	arrival  uint64
	prompt   int // tokens
	hashes   []uint64
	plan     expected.Plan

	emitted     int // tokens generated so far; kept over preemptions
	uncomputed  int // tokens to compute before the next one can be generated
	preemptions int
	preempted   bool
	coldStart   bool // admitted to the batch while the engine was cold
}

// resident is the memory that the sequence holds while it runs, in tokens.
func (s *sequence) resident() int { return s.prompt + s.emitted }

// step is the outcome of one batch step.
type step struct {
	duration  time.Duration
	emitted   []*sequence
	preempted []*sequence
	finished  []*sequence
	failed    []*sequence
	overload  bool // the engine was cold and had more than it bears
	added     []uint64
	evicted   []uint64
}

// batch decides what runs in each step. It has no clock and no locks: the same
// calls give the same steps.
type batch struct {
	config   Config
	rng      *rand.Rand
	cache    *prefixCache
	running  []*sequence // in order of admission
	waiting  []*sequence // by priority, then arrival
	resident int
	arrivals uint64

	cold       bool
	coldSince  time.Duration
	coldServed int
	nextCold   time.Duration // when a warm engine turns cold next; 0 never
	slowdown   float64       // fault: factor on every step
	failShare  float64       // fault: share of sequences that fail per step
}

func newBatch(c Config) *batch {
	b := &batch{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5eed)), cache: newPrefixCache(c.CacheBlocks), slowdown: 1}
	if !c.WarmStart && (c.ColdFor > 0 || c.ColdTokens > 0) {
		b.turnCold(0)
	}
	return b
}

func (b *batch) turnCold(now time.Duration) { b.cold, b.coldSince, b.coldServed = true, now, 0 }

// full reports whether another sequence would be refused.
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
	at, _ := slices.BinarySearchFunc(b.waiting, s, order)
	b.waiting = slices.Insert(b.waiting, at, s)
}

// order puts higher priority first, then older arrivals.
func order(a, b *sequence) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrival, b.arrival))
}

// remove takes a sequence out of the batch or the queue.
func (b *batch) remove(s *sequence) {
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.resident -= s.resident()
	}
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// step admits what fits, computes one token of every ready sequence and returns
// how long that takes.
func (b *batch) step() step {
	var out step
	b.admit(&out)
	computed := b.prefill()
	b.decode(&out)
	out.duration = b.duration(computed, &out)
	b.fail(&out)
	if b.cold {
		b.coldServed += len(out.emitted)
	}
	return out
}

// updateCold ends the cold start when it is over and starts the next one. Call
// it before each step.
func (b *batch) updateCold(now time.Duration) {
	c := b.config
	if b.cold {
		served := c.ColdTokens > 0 && b.coldServed >= c.ColdTokens
		waited := c.ColdFor > 0 && now-b.coldSince >= c.ColdFor
		if served || waited {
			b.cold, b.nextCold = false, 0
		}
		return
	}
	if c.MeanWarm <= 0 {
		return
	}
	if b.nextCold == 0 {
		b.nextCold = now + time.Duration(b.rng.ExpFloat64()*float64(c.MeanWarm))
	}
	if now >= b.nextCold {
		b.turnCold(now)
	}
}

func (b *batch) admit(out *step) {
	for len(b.waiting) > 0 && len(b.running) < b.config.MaxRunning {
		s := b.waiting[0]
		if len(b.running) > 0 && b.resident+s.resident()+1 > b.config.MemoryTokens {
			return
		}
		b.waiting = b.waiting[1:]
		cached := b.cache.matched(s.hashes) * expected.BlockTokens
		// The last token is always computed: its result is the next token.
		s.uncomputed = max(1, s.resident()-cached)
		s.preempted = false
		s.coldStart = b.cold
		added, evicted := b.cache.add(s.hashes)
		out.added, out.evicted = append(out.added, added...), append(out.evicted, evicted...)
		b.running = append(b.running, s)
		b.resident += s.resident()
	}
}

// prefill spends the step's chunk of prompt tokens, oldest sequence first.
func (b *batch) prefill() int {
	left := b.config.PrefillChunk
	for _, s := range b.running {
		n := min(left, s.uncomputed)
		s.uncomputed -= n
		left -= n
	}
	return b.config.PrefillChunk - left
}

func (b *batch) decode(out *step) {
	for _, s := range slices.Clone(b.running) {
		if s.preempted || s.uncomputed > 0 {
			continue
		}
		if !b.makeRoom(s, out) {
			continue
		}
		s.emitted++
		b.resident++
		out.emitted = append(out.emitted, s)
		if s.emitted >= s.plan.Length {
			b.remove(s)
			out.finished = append(out.finished, s)
		}
	}
}

// makeRoom preempts sequences until one more token fits. It reports whether s
// itself still runs.
func (b *batch) makeRoom(s *sequence, out *step) bool {
	for b.resident+1 > b.config.MemoryTokens {
		victim := slices.MaxFunc(b.running, order)
		b.remove(victim)
		if len(b.running) == 0 {
			// Alone and larger than the whole memory: it can never finish.
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

func (b *batch) duration(computed int, out *step) time.Duration {
	c, n := b.config, len(b.running)+len(out.finished)
	d := float64(c.StepBase) + float64(c.StepPerSequence)*float64(n) +
		float64(c.StepPerKiloToken)*float64(b.resident)/kiloToken + float64(c.PrefillPerToken)*float64(computed)
	if b.cold {
		d *= max(1, c.ColdSlowdown)
		if over := b.coldLoad(); over > 1 {
			d *= math.Pow(over, 2)
			out.overload = true
		}
	}
	return time.Duration(d * b.slowdown)
}

// coldLoad is the load of a cold engine as a multiple of what it bears. What ran
// before it turned cold does not count: no caller could have held that back.
func (b *batch) coldLoad() float64 {
	n := 0
	for _, s := range b.running {
		if s.coldStart {
			n++
		}
	}
	return float64(n) / float64(max(1, b.config.ColdBearable))
}

// fail takes out the share of sequences that an overloaded cold engine, or an
// injected fault, loses in this step.
func (b *batch) fail(out *step) {
	share := b.failShare
	if out.overload {
		share += failPerStep * b.coldLoad()
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
