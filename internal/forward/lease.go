package forward

import "time"

// lease is a request's place at an endpoint.
type lease struct {
	table    *table
	endpoint *endpoint
	tokens   int
	starting int
	released bool
}

// started notes the first event of the request.
func (l *lease) started() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.endpoint.starting -= l.starting
	l.starting = 0
}

// release gives the place back.
func (l *lease) release() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if !l.released {
		l.released = true
		l.endpoint.requests--
		l.endpoint.tokens -= l.tokens
		l.endpoint.starting -= l.starting
		l.starting = 0
	}
}

// coldLimit is a token bucket for a cold target.
type coldLimit struct {
	tokens float64
	at     time.Time
}

// take reports whether the bucket holds a token at a rate, and takes it.
func (c *coldLimit) take(rate float64, now time.Time) bool {
	if c.at.IsZero() {
		c.tokens = 1
	} else {
		c.tokens = min(c.tokens+rate*now.Sub(c.at).Seconds(), max(1, rate/4))
	}
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
