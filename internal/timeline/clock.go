// Package timeline records events of one process with hybrid logical
// timestamps, and merges the records of several processes into one order that
// respects cause and effect although wall clocks differ.
package timeline

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Header carries a timestamp on calls between the system's processes.
const Header = "X-Endivetrack-Clock"

// maxClockLead bounds how far a peer's timestamp may pull the local clock
// ahead of wall time. One peer with a broken clock must not move them all.
const maxClockLead = 10 * time.Minute

// Timestamp is a hybrid logical timestamp: wall microseconds, then a counter.
type Timestamp struct {
	WallMicros int64
	Counter    uint32
}

// Before reports whether t orders before u.
func (t Timestamp) Before(u Timestamp) bool {
	return t.Compare(u) < 0
}

// Compare returns the order of t and u, as cmp.Compare does.
func (t Timestamp) Compare(u Timestamp) int {
	return cmp.Or(cmp.Compare(t.WallMicros, u.WallMicros), cmp.Compare(t.Counter, u.Counter))
}

// String formats t for the wire.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.WallMicros, t.Counter) }

// ParseTimestamp reads what String wrote.
func ParseTimestamp(s string) (Timestamp, error) {
	var t Timestamp
	if _, err := fmt.Sscanf(s, "%d.%d", &t.WallMicros, &t.Counter); err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	return t, nil
}

// Clock is a hybrid logical clock. The zero value is not usable.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	wall func() time.Time
}

// NewClock returns a clock over the given wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a timestamp greater than every one returned or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tick(c.wall().UnixMicro())
}

// Observe merges a timestamp received from another process.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixMicro()
	if t.WallMicros > wall+maxClockLead.Microseconds() {
		return
	}
	if c.last.Before(t) {
		c.last = t
	}
	c.tick(wall)
}

func (c *Clock) tick(wall int64) Timestamp {
	if wall > c.last.WallMicros {
		c.last = Timestamp{WallMicros: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// ObserveHeader merges the timestamp of a received header, if any.
func (c *Clock) ObserveHeader(h http.Header) {
	if t, err := ParseTimestamp(h.Get(Header)); err == nil {
		c.Observe(t)
	}
}

// Middleware merges the clock of each request and stamps each answer.
func (c *Clock) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.ObserveHeader(r.Header)
		w.Header().Set(Header, c.Now().String())
		w.Header()["Date"] = nil // the clock header tells more and costs less
		next.ServeHTTP(w, r)
	})
}

// Transport stamps each request sent and merges each answer's clock.
func (c *Clock) Transport(next http.RoundTripper) http.RoundTripper {
	return transport{clock: c, next: next}
}

type transport struct {
	clock *Clock
	next  http.RoundTripper
}

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(Header, t.clock.Now().String())
	resp, err := t.next.RoundTrip(r)
	if err == nil {
		t.clock.ObserveHeader(resp.Header)
	}
	return resp, err
}
