package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// decideLimit is how long a decision may take in these tests, beside load and with the race
// detector. One that never ends fails the test instead of the whole run.
const decideLimit = 10 * time.Second

// within fails the test if call does not return within decideLimit.
func within(t *testing.T, call func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	select {
	case <-done:
	case <-time.After(decideLimit):
		t.Fatal("the decision does not end, and nobody else gets the lock")
	}
}

// Guards against entry instances that hang for ever because two sessions ask on with one
// crashing part: no single request had all the parts of the set that was quarantined.
func TestDecisionEndsWhenPartComesInSeveralSets(t *testing.T) {
	p := newPlay()
	for range 3 {
		p.crash([]string{"q", "dead", "own1"}, []string{"r", "dead", "own2"})
	}
	within(t, func() { p.serve("other", "1") })
	assert.Assert(t, p.refuses("q", "dead", "own1") && p.refuses("r", "dead", "own2"), "both have crashed three targets: %v", p.List())
	assert.Assert(t, !p.refuses("q", "b", "9") && !p.refuses("r", "b", "9"), "sound prompts share the first part")
	for _, q := range p.List() {
		assert.Assert(t, p.someSuspectHas(q.Parts), "no request had all of %v", q.Parts)
	}
}

func (p *play) someSuspectHas(parts []string) bool {
	for _, c := range p.crashes {
		if (&record{Quarantine: Quarantine{Parts: parts}}).explains(c) {
			return true
		}
	}
	return false
}

// Guards against a part that escapes because each session that asks on with it brings
// another first part: one session is no proof by itself, the crashes before it are.
func TestPartIsFoundAfterItCameInTwoSets(t *testing.T) {
	p := newPlay()
	for n := range 3 {
		p.crash([]string{"q", "dead", fmt.Sprint(n)})
		p.serve("other", "1")
	}
	assert.Assert(t, p.refuses("q", "dead", "9") && !p.refuses("r", "dead", "9"))
	for range 2 {
		p.crash([]string{"r", "dead", "session"})
		p.serve("other", "1")
	}
	assert.Assert(t, p.refuses("r", "dead", "session"), "five crashes")
	assert.Assert(t, p.refuses("z", "dead", "9"), "the only part that all five have")
	assert.Assert(t, !p.refuses("q", "9") && !p.refuses("r", "9"))
}
