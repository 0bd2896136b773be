package forward

import (
	"context"
	"time"

	"github.com/endivetrack/endivetrack/internal/sleep"
)

// heldInterval is the time between two updates of the gauges of what is held.
const heldInterval = time.Second

// held is all that is counted when a request begins and given back when it ends. Without
// requests it is zero.
type held struct {
	bufferedBytes int64
	// requests, tokens, prefillTokens and copies are those reserved at targets, and conns the
	// connections to them that are not idle.
	requests, tokens, prefillTokens, copies, conns int
	// attempts are those that targets have not begun to answer, and durations the requests
	// whose duration is measured.
	attempts, durations int
	// overReleased counts the targets of which more was given back than taken.
	overReleased int
}

func (f *Forwarder) held() held {
	h := held{bufferedBytes: f.bufferedBytesNow()}
	f.table.mu.Lock()
	for _, e := range f.table.endpoints {
		h.requests += e.requests
		h.tokens += e.tokens
		h.prefillTokens += e.prefillTokens
		h.copies += e.incomingCopies
		h.conns += e.conns - len(e.idle)
		if min(e.requests, e.tokens, e.prefillTokens, e.incomingCopies, e.conns-len(e.idle)) < 0 {
			h.overReleased++
		}
	}
	f.table.mu.Unlock()
	f.pending.mu.Lock()
	h.attempts = len(f.pending.attempts)
	f.pending.mu.Unlock()
	f.durations.mu.Lock()
	h.durations = len(f.durations.running)
	f.durations.mu.Unlock()
	return h
}

// reportHeld updates the gauges until ctx ends.
func (f *Forwarder) reportHeld(ctx context.Context) {
	for {
		h := f.held()
		for name, value := range map[string]int{
			"buffer_bytes": int(h.bufferedBytes), "requests": h.requests, "tokens": h.tokens, "prefill_tokens": h.prefillTokens,
			"copies": h.copies, "connections": h.conns, "attempts": h.attempts, "durations": h.durations, "over_released": h.overReleased,
		} {
			f.config.Metrics.Gauge("forward.held_" + name).Update(float64(value))
		}
		if !sleep.For(ctx, heldInterval) {
			return
		}
	}
}
