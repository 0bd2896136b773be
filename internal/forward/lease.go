package forward

import (
	"math"
	"time"
)

// lease is the capacity that a request has reserved at an endpoint.
type lease struct {
	table         *table
	endpoint      *endpoint
	tokens        int
	prefillTokens int
	reservedAt    time.Time
	released      bool
}

// endPrefill subtracts the request's prompt from the endpoint's prefill tokens.
// It is called when the first event arrives.
func (l *lease) endPrefill() {
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
		l.table.loadsChanged.Set()
	}
}

// tokenBucket limits the rate of requests to a cold target. Each request takes
// one token of the bucket.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// coldBurst returns how many requests all instances together may send to a cold target
// at the moment at which it starts, if it sustains ratePerSecond. With what they may send
// in the second after that they stay well below one and a half times the rate.
func coldBurst(ratePerSecond float64) float64 { return coldBurstShare * ratePerSecond }

// newTokenBucket returns the bucket of one of the given number of instances. Together
// they begin with burst tokens and then get the next ones evenly over time, as if they
// had been taking tokens for long. position is that of this instance among them, from 0
// to 1.
func newTokenBucket(instances int, burst, position float64, now time.Time) tokenBucket {
	full := min(1, burst/float64(instances))
	if position < full {
		return tokenBucket{tokens: 1, refilledAt: now}
	}
	return tokenBucket{tokens: (position - full) / (1 - full), refilledAt: now}
}

// takeToken refills the bucket at the given rate, in tokens per second, and
// reports whether it could take a token. burst is how many tokens the bucket holds at
// most. If it is less than 1, a token is lost unless it is taken within the time in
// which burst tokens arrive: many instances that each save up a token would otherwise
// send them all at once.
func (c *tokenBucket) takeToken(rate, burst float64, now time.Time) bool {
	c.refill(rate, burst, now)
	return c.take()
}

// take reports whether it could take a token of those that the bucket holds.
func (c *tokenBucket) take() bool {
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (c *tokenBucket) refill(rate, burst float64, now time.Time) {
	c.tokens += rate * now.Sub(c.refilledAt).Seconds()
	c.refilledAt = now
	switch {
	case burst >= 1:
		c.tokens = min(c.tokens, burst)
	case c.tokens >= 1+burst:
		_, c.tokens = math.Modf(c.tokens)
		if c.tokens < burst {
			c.tokens++
		}
	}
}

// untilToken returns the time until takeToken succeeds, as of the last refill.
func (c *tokenBucket) untilToken(rate float64) time.Duration {
	return time.Duration(max(0, 1-c.tokens) / rate * float64(time.Second))
}
