package scheduler

import "time"

// failureCacheTTL is how long failed searches for a target are cached while no
// target frees capacity. It is short because running outputs and their forecasts
// change.
const failureCacheTTL = 100 * time.Millisecond

// failureCache records the requests that found no target. Most passes follow a
// single release, after which only a few of the waiting requests can run. A
// recorded request, and larger ones of the same class, are retried only on
// targets that have freed capacity since.
type failureCache struct {
	createdAt      time.Time
	onAllTargets   failureSet // requests that were tried on every target and found none
	onFreedTargets failureSet // requests that were tried again on the targets that freed capacity since, and found none
}

// failureSet is a set of requests that found no target.
type failureSet struct {
	smallestPrompt map[failureKey]uint32 // smallest prompt, in tokens, that found no target; larger prompts find none either
	tickets        map[Ticket]bool       // requests for which hasOwnTargetSet is true
}

type failureKey struct {
	account, model, class string
	maxTokens             uint32
}

// hasOwnTargetSet reports whether the targets that may run the request differ
// from those of its class: some are excluded, or one is reserved for it.
func (w *waitingRequest) hasOwnTargetSet() bool { return len(w.request.Exclude) > 0 || w.reserved }

func newFailureSet() failureSet {
	return failureSet{smallestPrompt: map[failureKey]uint32{}, tickets: map[Ticket]bool{}}
}

func failureKeyFor(r Request) failureKey {
	c := r.Class
	return failureKey{c.GetAccount(), c.GetModel(), c.GetClass(), c.GetMaxTokens()}
}

func (f *failureSet) contains(w *waitingRequest) bool {
	if w.hasOwnTargetSet() {
		return f.tickets[w.ticket]
	}
	prompt, ok := f.smallestPrompt[failureKeyFor(w.request)]
	return ok && w.request.Class.GetPromptTokens() >= prompt
}

func (f *failureSet) add(w *waitingRequest) {
	if w.hasOwnTargetSet() {
		f.tickets[w.ticket] = true
	} else {
		f.smallestPrompt[failureKeyFor(w.request)] = w.request.Class.GetPromptTokens()
	}
}

// markFreed records that the target may have more capacity than before, so that
// requests that found no target are retried on it.
func (s *Shard) markFreed(t *target) {
	t.freed = true
	if s.failureCache != nil {
		s.failureCache.onFreedTargets = newFailureSet()
	}
}
