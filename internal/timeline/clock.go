// Package timeline records the events of a process with hybrid logical clock
// timestamps, and merges the events of several processes into an order in which a
// cause precedes its effects even if the wall clocks differ.
package timeline

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Header is the HTTP header for the sender's timestamp on calls between the
// system's processes.
const Header = "X-Endivetrack-Clock"

// maxClockLead limits how far a peer's timestamp may move the local clock ahead of
// wall time, so that one peer with a wrong clock does not move all clocks.
const maxClockLead = 10 * time.Minute

// Timestamp is a hybrid logical clock timestamp: wall time in microseconds since
// the Unix epoch, and a counter that orders timestamps with equal wall time.
type Timestamp struct {
	WallMicros int64
	Counter    uint32
}

// Before reports whether t precedes u.
func (t Timestamp) Before(u Timestamp) bool {
	return t.Compare(u) < 0
}

// Compare returns -1, 0 or +1, as cmp.Compare does.
func (t Timestamp) Compare(u Timestamp) int {
	return cmp.Or(cmp.Compare(t.WallMicros, u.WallMicros), cmp.Compare(t.Counter, u.Counter))
}

// String formats t as it is sent in Header.
func (t Timestamp) String() string { return fmt.Sprintf("%d.%d", t.WallMicros, t.Counter) }

// ParseTimestamp parses the format that String returns.
func ParseTimestamp(s string) (Timestamp, error) {
	var t Timestamp
	if _, err := fmt.Sscanf(s, "%d.%d", &t.WallMicros, &t.Counter); err != nil {
		return Timestamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	return t, nil
}

// Clock is a hybrid logical clock, safe for concurrent use. Use NewClock: the zero
// value is not usable.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	wall func() time.Time
}

// NewClock returns a clock based on the given wall clock, usually time.Now.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a timestamp greater than every timestamp returned or merged before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tick(c.wall().UnixMicro())
}

// Observe merges a timestamp received from another process. It ignores timestamps
// more than maxClockLead ahead of wall time.
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

// tick returns the next timestamp: the given wall time if it is later than that of
// the last timestamp, else the last timestamp with an incremented counter. The
// caller must hold mu.
func (c *Clock) tick(wall int64) Timestamp {
	if wall > c.last.WallMicros {
		c.last = Timestamp{WallMicros: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// ObserveHeader merges the timestamp in h, if there is a valid one.
func (c *Clock) ObserveHeader(h http.Header) {
	if t, err := ParseTimestamp(h.Get(Header)); err == nil {
		c.Observe(t)
	}
}

// Middleware returns a handler that merges the timestamp of each request and sets
// one on each response.
func (c *Clock) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.ObserveHeader(r.Header)
		w.Header().Set(Header, c.Now().String())
		w.Header()["Date"] = nil // sends no Date header, because the timestamp in Header is more precise and cheaper
		next.ServeHTTP(w, r)
	})
}

// Transport returns a round tripper that sets a timestamp on each request and
// merges that of each response.
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
