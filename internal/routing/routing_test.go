package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
)

var now = time.Unix(1000, 0)

func eligibleCandidate(name string) *Candidate {
	return &Candidate{Name: name, FailureDomain: "fd", Models: []string{"m"}, LastAnnounced: now, InService: true, Limit: 8, MemoryTokens: 1000, PeakTokens: 100}
}

// Guards against work for a target that must not receive any. Mutations that this
// test detects: remove any one filter from Default, or any one condition of a
// filter.
func TestFilters(t *testing.T) {
	r := &Request{Model: "m", Exclude: []string{"failed"}, Now: now}
	router := Default()
	assert.Assert(t, router.Keep(r, eligibleCandidate("t")))
	for name, disqualify := range map[string]func(*Candidate){
		"model":    func(c *Candidate) { c.Models = []string{"other"} },
		"domain":   func(c *Candidate) { c.InService = false },
		"leaving":  func(c *Candidate) { c.Leaving = true },
		"drained":  func(c *Candidate) { c.Drained = true },
		"silent":   func(c *Candidate) { c.LastAnnounced = now.Add(-TargetLease - 1) },
		"excluded": func(c *Candidate) { c.Name = "failed" },
	} {
		c := eligibleCandidate("t")
		disqualify(c)
		assert.Assert(t, !router.Keep(r, c), name)
	}
	plain := eligibleCandidate("t")
	plain.Models = nil
	assert.Assert(t, router.Keep(&Request{Now: now}, plain))
}

// Guards against grants beyond the limit or the memory, and against a long prompt
// that even an idle target refuses. Mutation that this test detects: remove any
// one condition of HasCapacity.
func TestHasCapacity(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		peak     float64
		keep     bool
	}{{0, 100, true}, {7, 1000, true}, {8, 100, false}, {1, 1001, false}, {0, 5000, true}} {
		x := eligibleCandidate("t")
		x.InFlight, x.PeakTokens = c.inFlight, c.peak
		assert.Equal(t, HasCapacity{}.Keep(nil, x), c.keep, "%+v", c)
	}
}

// Guards against scores that prefer the worse target. Mutation that this test
// detects: remove or negate any one scorer except PrefixAffinity.
func TestScores(t *testing.T) {
	router := Default()
	pick := func(modify func(*Candidate)) string {
		a, b := eligibleCandidate("a"), eligibleCandidate("b")
		a.InFlight, b.InFlight = 4, 4
		modify(a)
		return router.Pick(&Request{Model: "m", Now: now}, []*Candidate{a, b}).Name
	}
	assert.Equal(t, pick(func(*Candidate) {}), "a")
	assert.Equal(t, pick(func(c *Candidate) { c.PeakTokens = 900 }), "b")
	assert.Equal(t, pick(func(c *Candidate) { c.InFlight = 7 }), "b")
	assert.Equal(t, pick(func(c *Candidate) { c.DomainLoad = 1 }), "b")
	assert.Assert(t, router.Pick(&Request{}, nil) == nil)
}

// Guards against a prefix affinity without effect, and against one that fills a
// single target: at a weight of 0.5 it outweighed four sequences, and the p99 of
// the time between tokens was 1.46 times that of the best baseline. It must decide
// between equal loads and never outweigh one sequence. Mutations that this test
// detects: remove the scorer; a weight of 0.5; PrefixAffinity ignores the free
// share.
func TestPrefixAffinityBreaksTies(t *testing.T) {
	router := Default()
	pick := func(inFlight int, modify func(a *Candidate)) string {
		a, b := eligibleCandidate("a"), eligibleCandidate("b")
		a.InFlight, b.InFlight = inFlight, inFlight
		a.CachedShare = 1
		modify(a)
		return router.Pick(&Request{Model: "m", Now: now}, []*Candidate{b, a}).Name
	}
	assert.Equal(t, pick(4, func(*Candidate) {}), "a")
	assert.Equal(t, pick(4, func(a *Candidate) { a.PeakTokens += 0.05 * a.MemoryTokens }), "a")
	assert.Equal(t, pick(4, func(a *Candidate) { a.InFlight++ }), "b")
	assert.Equal(t, pick(4, func(a *Candidate) { a.InFlight = 7 }), "b")
	// With one of eight slots free, the affinity counts half.
	assert.Equal(t, pick(7, func(a *Candidate) { a.PeakTokens += 0.07 * a.MemoryTokens }), "b")
}

// Guards against a record that keeps prefixes whose eviction was reported, and
// against late or repeated events that overwrite newer information. Mutations
// that this test detects: ApplyEvent ignores evictions, maxEventDelay, gaps or
// the sequence; the record is not bounded.
func TestPrefixRecord(t *testing.T) {
	p := NewPrefixRecord()
	p.RecordSent([]uint64{1, 2, 3}, now)
	assert.Equal(t, p.CachedPromptShare([]uint64{1, 2, 3}), 1.0)
	assert.Equal(t, p.CachedPromptShare([]uint64{1, 2, 9, 9}), 0.5)
	assert.Equal(t, p.CachedPromptShare([]uint64{9}), 0.0)
	evict := func(sequence, hash uint64, at time.Time) {
		p.ApplyEvent(&api.CacheEvent{Sequence: sequence, Evicted: true, PrefixHashes: []uint64{hash}}, at)
	}
	evict(1, 3, now.Add(time.Second)) // the eviction may be older than the last use of the prefix, so it is ignored
	assert.Equal(t, p.CachedPromptShare([]uint64{1, 2, 3}), 1.0)
	later := now.Add(time.Minute)
	evict(1, 2, later) // an event with this sequence number was seen already
	evict(2, 3, later)
	assert.Equal(t, p.CachedPromptShare([]uint64{1, 2, 3}), 2.0/3)
	evict(5, 99, later) // the events with sequence numbers 3 and 4 were missed
	assert.Equal(t, p.CachedPromptShare([]uint64{1, 2, 3}), 1.0/3)
	for h := range uint64(2 * maxPrefixes) {
		p.RecordSent([]uint64{100 + h}, later)
	}
	assert.Equal(t, len(p.lastUse), maxPrefixes)
}
