package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/standin/expected"
)

func warmConfig() Config {
	c := DefaultConfig()
	c.ColdFor, c.ColdTokens = 0, 0
	return c
}

func newSequence(id int, prompt string, maxTokens, priority int) *sequence {
	return &sequence{
		id: fmt.Sprint(id), priority: priority, promptTokens: expected.PromptTokens(prompt),
		prefixHashes: expected.PrefixHashes(prompt), plan: expected.Output(prompt, maxTokens),
	}
}

// Guards against a batch that exceeds its memory, drops a sequence, emits more
// tokens than planned, or loses tokens on preemption.
func TestBatchServesEverythingInBoundedMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := warmConfig()
		c.MemoryTokens = rapid.IntRange(500, 1500).Draw(t, "memory")
		c.MaxRunning = rapid.IntRange(1, 12).Draw(t, "max running")
		c.CacheBlocks = rapid.IntRange(0, 40).Draw(t, "cache")
		b := newBatch(c)
		want, got := map[string]int{}, map[string]int{}
		for i := range rapid.IntRange(1, 20).Draw(t, "sequences") {
			s := newSequence(i, fmt.Sprintf("%0100d", i%3)+fmt.Sprint(i), 200, rapid.IntRange(0, 9).Draw(t, "priority"))
			want[s.id] = s.plan.Length
			b.add(s)
		}
		finished := 0
		for range 50_000 {
			if b.idle() {
				break
			}
			out := b.step()
			assert.Assert(t, b.residentTokens <= c.MemoryTokens, "resident %d", b.residentTokens)
			assert.Assert(t, len(b.running) <= c.MaxRunning)
			for _, s := range out.emitted {
				got[s.id]++
			}
			finished += len(out.finished)
		}
		assert.Equal(t, finished, len(want))
		assert.DeepEqual(t, got, want)
	})
}

// Guards against preempting the wrong sequence, and against a preempted sequence
// that is not admitted again or loses the tokens that it has emitted.
func TestPreemptionTakesTheNewestOfTheLowestPriority(t *testing.T) {
	c := warmConfig()
	c.MemoryTokens, c.CacheBlocks, c.PrefillChunk = 120, 0, 1000
	b := newBatch(c)
	for i, priority := range []int{5, 1, 5} {
		b.add(newSequence(i, fmt.Sprintf("lot %080d", i), 100, priority))
	}
	var victims []*sequence
	for range 1000 {
		out := b.step()
		if victims = append(victims, out.preempted...); len(victims) > 0 {
			break
		}
	}
	assert.Assert(t, len(victims) > 0)
	victim := victims[0]
	assert.Equal(t, victim.id, "1")
	emittedBefore := victim.emitted
	assert.Assert(t, emittedBefore > 0)
	b.config.PrefillChunk = 1
	for victim.preempted && !b.idle() {
		b.step()
	}
	assert.Equal(t, victim.preempted, false)
	assert.Equal(t, victim.emitted, emittedBefore)
	// Without a cache, the prompt and all emitted tokens are computed again; the step
	// that admitted the victim has computed at most one of them.
	assert.Assert(t, victim.uncomputed >= victim.promptTokens+emittedBefore-1)
}

// Guards against a cold engine that runs any number of sequences without slowing
// down or failing some of them, and against one that never becomes warm.
func TestOverloadedColdEngineSlowsDownAndFails(t *testing.T) {
	c := DefaultConfig()
	c.ColdFor, c.ColdTokens = time.Minute, 50
	run := func(n int) (duration time.Duration, failed int) {
		b := newBatch(c)
		for i := range n {
			b.add(newSequence(i, fmt.Sprintf("lot %d", i), 200, 5))
		}
		b.step()
		out := b.step()
		for range 20 {
			failed += len(b.step().failed)
		}
		return out.duration, failed + len(out.failed)
	}
	atLimit, failedAtLimit := run(c.ColdConcurrency)
	overLimit, failedOverLimit := run(4 * c.ColdConcurrency)
	assert.Equal(t, failedAtLimit, 0)
	assert.Assert(t, failedOverLimit > 0)
	assert.Assert(t, overLimit > 10*atLimit, "%v against %v", overLimit, atLimit)

	b := newBatch(c)
	b.add(newSequence(1, "lot", 200, 5))
	for range 51 {
		b.updateColdState(0)
		b.step()
	}
	b.updateColdState(0)
	assert.Equal(t, b.cold, false, "warm after %d tokens", c.ColdTokens)
	b.turnCold(0)
	b.updateColdState(2 * time.Minute)
	assert.Equal(t, b.cold, false, "warm after ColdFor")
}

// Sequences that were already running when the engine turned cold must not count
// as cold load: only sequences admitted later may overload the engine.
func TestColdLoadIgnoresSequencesAdmittedWarm(t *testing.T) {
	c := DefaultConfig()
	c.WarmStart, c.ColdFor, c.ColdTokens = true, time.Minute, 0
	b := newBatch(c)
	assert.Equal(t, b.cold, false)
	for i := range 4 * c.ColdConcurrency {
		b.add(newSequence(i, fmt.Sprintf("lot %d", i), 200, 5))
	}
	b.step()
	b.turnCold(0)
	assert.Equal(t, b.step().overload, false)
	for i := range c.ColdConcurrency + 1 {
		b.add(newSequence(100+i, fmt.Sprintf("lot %d", i), 200, 5))
	}
	assert.Equal(t, b.step().overload, true)
}

// Guards against a cache without effect: the tokens of a cached prefix must not be
// computed again.
func TestCachedPrefixShortensPrefill(t *testing.T) {
	c := warmConfig()
	c.CacheBlocks = 100
	b := newBatch(c)
	prompt := fmt.Sprintf("%01600d", 1)
	first := newSequence(1, prompt, 1, 5)
	b.add(first)
	cold := b.step()
	b.add(newSequence(2, prompt, 1, 5))
	warm := b.step()
	assert.Equal(t, len(cold.cacheAdded), 25)
	assert.Assert(t, warm.duration < cold.duration-time.Duration(390)*c.PrefillPerToken)
}
