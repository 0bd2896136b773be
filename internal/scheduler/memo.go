package scheduler

import "time"

// memoTTL is how long failed attempts are remembered while no target frees
// capacity; running outputs and their forecasts move on meanwhile.
const memoTTL = 100 * time.Millisecond

// memo remembers which requests found no target, since most passes follow one
// release and can help only few of the waiting requests. A request that found
// none is tried again, and so are larger requests of the same class, only at
// targets that freed capacity since.
type memo struct {
	at      time.Time
	failed  failures // at all targets
	retried failures // also at the targets that freed capacity since
}

// failures is a set of requests that found no target.
type failures struct {
	smallest map[failedKey]uint32 // smallest prompt that found none
	tickets  map[Ticket]bool      // requests with excluded or reserved targets
}

type failedKey struct {
	account, model, class string
	maxTokens             uint32
}

// special reports whether the targets open to the request differ from those of
// its class.
func (w *waiting) special() bool { return len(w.request.Exclude) > 0 || w.reserved }

func newFailures() failures {
	return failures{smallest: map[failedKey]uint32{}, tickets: map[Ticket]bool{}}
}

func keyOfFailed(r Request) failedKey {
	c := r.Class
	return failedKey{c.GetAccount(), c.GetModel(), c.GetClass(), c.GetMaxTokens()}
}

func (f *failures) has(w *waiting) bool {
	if w.special() {
		return f.tickets[w.ticket]
	}
	prompt, ok := f.smallest[keyOfFailed(w.request)]
	return ok && w.request.Class.GetPromptTokens() >= prompt
}

func (f *failures) add(w *waiting) {
	if w.special() {
		f.tickets[w.ticket] = true
	} else {
		f.smallest[keyOfFailed(w.request)] = w.request.Class.GetPromptTokens()
	}
}

// free notes that a target may have capacity that it did not have before.
func (s *Shard) free(t *target) {
	t.freed = true
	if s.memo != nil {
		s.memo.retried = newFailures()
	}
}
