package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Identities of requests in these tests.
const (
	killer = IdentityPrefix + "dead"
	sound  = IdentityPrefix + "500d"
)

// crashTogether lets n targets crash at the same time, each with the given prompt.
func (p *play) crashTogether(n int, prompt ...string) {
	sentAt := p.clock
	p.pass(50 * time.Millisecond)
	for range n {
		p.crashed++
		p.RecordCrash(CrashID{Target: fmt.Sprint("i", p.crashed), Incarnation: 1}, "llm", p.clock, NewSuspect(prompt, sentAt))
	}
	p.pass(time.Second)
}

func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	p := newPlay()
	for n := range 3 {
		assert.Assert(t, !p.refuses(killer))
		p.crash([]string{killer}, []string{fmt.Sprint(IdentityPrefix, n)})
		p.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, p.refuses(killer) && p.List()[0].IsRequest())
	assert.Assert(t, !p.refuses(IdentityPrefix+"0"), "a request of one crash goes on")
	assert.Assert(t, p.Lift([]string{killer}))
	assert.Assert(t, !p.refuses(killer))
}

// Guards against repeats that reach further targets because they were sent to several at once.
func TestRepeatsSentAtOnceAreRefused(t *testing.T) {
	p := newPlay()
	p.crashTogether(3, killer)
	assert.Assert(t, !p.refuses(killer), "the service has served nothing")
	p.serve(IdentityPrefix + "other")
	assert.Assert(t, p.refuses(killer))
}

// Guards against a sound request that is refused because it was repeated beside one that
// crashes targets.
func TestSoundRequestBesideCrashingOneIsNotRefused(t *testing.T) {
	p := newPlay()
	for range 3 {
		p.crash([]string{killer}, []string{sound})
		p.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, !p.refuses(sound) && !p.refuses(killer), "the next crash will tell them apart")
	p.crash([]string{killer})
	p.serve(IdentityPrefix + "other")
	assert.Assert(t, p.refuses(killer))
	assert.Assert(t, !p.refuses(sound))
}

// Guards against more attempts than may follow the third crash: requests that cannot be
// told apart are both refused after the fourth.
func TestRequestsInTheSameCrashesAreRefusedAfterTheFourth(t *testing.T) {
	p := newPlay()
	for range 4 {
		assert.Assert(t, !p.refuses(killer))
		p.crash([]string{killer}, []string{sound})
		p.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, p.refuses(killer) && p.refuses(sound))
}

func TestTwoRequestsThatCrashTargetsAreBothRefused(t *testing.T) {
	p := newPlay()
	for range 3 {
		p.crash([]string{killer})
		p.crash([]string{IdentityPrefix + "dead2"})
		p.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, p.refuses(killer) && p.refuses(IdentityPrefix+"dead2"))
}

// Guards against a hot request that is refused because targets that served it crash.
func TestServedRequestIsNotRefused(t *testing.T) {
	p := newPlay()
	p.serve(sound)
	p.crashTogether(4, sound)
	p.serve(IdentityPrefix + "other")
	assert.Assert(t, !p.refuses(sound))
}

// Guards against a request that is refused although another instance has served it.
func TestPeerThatServedSuspectSaysSo(t *testing.T) {
	a, b := newPlay(), newPlay()
	b.RecordServed("llm", []string{sound})
	a.crash([]string{sound})
	b.clock = a.clock
	b.Merge(a.Evidence())
	select {
	case <-b.Changed():
	default:
		t.Fatal("the peer keeps to itself that it served the suspect")
	}
	a.Merge(b.Evidence())
	for range 3 {
		a.crash([]string{sound})
		a.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, !a.refuses(sound))
	b.clock = a.clock
	b.Merge(a.Evidence())
	select {
	case <-b.Changed():
		t.Fatal("the peer repeats what is known")
	default:
	}
}

// Guards against sound requests that are refused because they have a part in common with
// one request that crashes targets.
func TestPartsOfOneCrashingRequestAreNotRefused(t *testing.T) {
	p := newPlay()
	for n := range 4 {
		p.crash([]string{killer, "5a", "b", "own"}, []string{fmt.Sprint(IdentityPrefix, n), "5a", "b", fmt.Sprint(n)})
		p.serve("5a", "1")
	}
	assert.Assert(t, p.refuses(killer, "5a", "b", "own"))
	assert.Assert(t, !p.refuses(sound, "5a", "b", "9"))
}

// Guards against parts that escape because the first request with them was refused by itself.
func TestPartIsFoundAfterOneRequestWithItIsRefused(t *testing.T) {
	p := newPlay()
	for range 3 {
		p.crash([]string{killer, "5a", "dead", "own"})
		p.serve("5a", "1")
	}
	for n := range 2 {
		p.crash([]string{fmt.Sprint(IdentityPrefix, n), "5a", "dead", fmt.Sprint(n)})
		p.serve("5a", "1")
	}
	assert.Assert(t, p.refuses(sound, "5a", "dead", "9"), "known after five crashes")
	assert.Assert(t, !p.refuses(sound, "5a", "9"))
}

func TestMemoryOfIdentitiesIsBounded(t *testing.T) {
	p := newPlay()
	for n := range 2 * maxCleanIdentities {
		p.RecordServed("llm", []string{fmt.Sprint(IdentityPrefix, n), "5a", "own"})
	}
	assert.Assert(t, p.cleanIdentities.Len() <= maxCleanIdentities)
	assert.Assert(t, p.cleanAfter("5a", p.clock.Add(-time.Second)), "identities do not displace parts")
}

// Guards against a crashing request that escapes because an instance knew of another
// suspect first.
func TestCrashingRequestIsFoundAfterAnotherWasSuspected(t *testing.T) {
	p := newPlay()
	for range 3 {
		p.crash([]string{sound})
		p.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, p.refuses(sound))
	for _, c := range p.crashes {
		p.RecordCrash(c.id, "llm", c.at, NewSuspect([]string{killer}, c.at))
	}
	assert.Assert(t, !p.refuses(killer))
	p.crash([]string{killer})
	p.serve(IdentityPrefix + "other")
	assert.Assert(t, p.refuses(killer))
}

// Guards against a further target that crashes before it is known what was on the third.
func TestSuspectIsHeldUntilOtherInstancesHaveTold(t *testing.T) {
	p := newPlay()
	for range 2 {
		p.crash([]string{killer})
		p.serve(IdentityPrefix + "other")
	}
	p.RecordCrash(CrashID{Target: "third"}, "llm", p.clock, NewSuspect([]string{killer}, p.clock))
	q, found := p.Match([]string{killer})
	assert.Assert(t, found && !q.Until.After(p.clock.Add(verdictDelay)))
	assert.Assert(t, !p.refuses(sound))
	assert.Equal(t, len(p.List()), 0)
}

// Guards against a decision that never ends because the new quarantine is the one that is
// forgotten.
func TestNewQuarantineIsKeptWhenThereAreTooMany(t *testing.T) {
	p := newPlay()
	for n := range maxQuarantines {
		parts := []string{fmt.Sprint("part", n)}
		p.put(&record{Quarantine: Quarantine{Parts: parts, Since: p.clock, Until: p.clock.Add(maxHold)}, changedAt: p.clock})
	}
	for range 3 {
		p.crash([]string{killer})
		p.serve(IdentityPrefix + "other")
	}
	assert.Assert(t, p.refuses(killer))
	assert.Equal(t, len(p.quarantines), maxQuarantines)
}
