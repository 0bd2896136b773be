package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
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

// Guards against a decision that never ends because two proven sets displace each other:
// the one that was dropped was found again.
func TestDecisionEndsWithMoreProvenSetsThanAreKept(t *testing.T) {
	p := newPlay()
	p.fillQuarantines(maxQuarantines - 1)
	for n := range certainCrashes {
		p.crash([]string{"dead1", fmt.Sprint(n)})
		p.crash([]string{"dead2", fmt.Sprint(n)})
	}
	p.checkDecisionSettles(t)
}

// The same for whole requests.
func TestDecisionEndsWithMoreProvenRequestsThanAreKept(t *testing.T) {
	p := newPlay()
	p.fillQuarantines(maxQuarantines - 1)
	for range certainRepeats {
		p.crash([]string{killer})
		p.crash([]string{IdentityPrefix + "dead2"})
	}
	p.checkDecisionSettles(t)
}

// fillQuarantines adds quarantines that end after any new one.
func (p *play) fillQuarantines(n int) {
	for k := range n {
		parts := []string{fmt.Sprint("old", k)}
		p.put(&record{Quarantine: Quarantine{Parts: parts, Since: p.clock, Until: p.clock.Add(maxHold)}, changedAt: p.clock})
	}
}

// checkDecisionSettles checks that two decisions end, and that the second finds nothing
// that the first has found.
func (p *play) checkDecisionSettles(t *testing.T) {
	t.Helper()
	within(t, func() { p.serve("other", "1") })
	assert.Equal(t, len(p.quarantines), maxQuarantines)
	begun := p.newest()
	p.pass(time.Second)
	within(t, func() { p.serve("other", "2") })
	assert.Assert(t, p.newest().Equal(begun), "the same quarantine begins again and again")
}

// newest returns when the newest quarantine began.
func (p *play) newest() time.Time {
	var at time.Time
	for _, r := range p.quarantines {
		if r.Since.After(at) {
			at = r.Since
		}
	}
	return at
}

// Guards against a decision whose length grows out of bounds with what callers send, since
// each request waits for it: crashes, suspects and parts at their bounds, with as many sets
// as suspects.
func TestDecisionIsShortAtItsBounds(t *testing.T) {
	p := newPlay()
	for n := range maxCrashes {
		crash := &api.FleetCrash{Target: fmt.Sprint("i", n), Born: 1, Service: "llm", AgeMs: uint32(1000 * (maxCrashes - n))}
		for k := range maxSuspects {
			shared := []string{}
			for i := range maxParts {
				part := fmt.Sprint("common", i)
				if i == k {
					part = fmt.Sprint("rare", n, "-", k)
				}
				shared = append(shared, part)
			}
			crash.Suspects = append(crash.Suspects, &api.FleetSuspect{Shared: shared, Own: fmt.Sprint(n, "-", k), SentMs: crash.AgeMs + 10})
		}
		p.mergeCrash(crash, p.clock)
	}
	p.boundSharedParts()
	began := time.Now()
	p.serve("other", "1")
	took := time.Since(began)
	t.Logf("the decision took %v", took)
	assert.Assert(t, len(p.List()) > 0)
	assert.Assert(t, took < time.Second, "a request must not wait for a second")
}
