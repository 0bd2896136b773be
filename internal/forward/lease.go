package forward

import "time"

// lease is the capacity that a request has reserved at an endpoint.
type lease struct {
	table         *table
	endpoint      *endpoint
	tokens        int
	prefillTokens int
	released      bool
}

// firstEventArrived subtracts the request's prompt from the endpoint's prefill
// tokens.
func (l *lease) firstEventArrived() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.endpoint.prefillTokens -= l.prefillTokens
	l.prefillTokens = 0
}

// release returns the reserved capacity. Further calls have no effect.
func (l *lease) release() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if !l.released {
		l.released = true
		l.endpoint.requests--
		l.endpoint.tokens -= l.tokens
		l.endpoint.prefillTokens -= l.prefillTokens
		l.prefillTokens = 0
	}
}

// coldLimit is a token bucket that limits requests to a cold target.
type coldLimit struct {
	tokens     float64
	refilledAt time.Time
}

// allow refills the bucket at rate tokens per second and reports whether it could
// remove a token.
func (c *coldLimit) allow(rate float64, now time.Time) bool {
	if c.refilledAt.IsZero() {
		c.tokens = 1
	} else {
		c.tokens = min(c.tokens+rate*now.Sub(c.refilledAt).Seconds(), max(1, rate/4))
	}
	c.refilledAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
