package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	relayBuffer = 16 << 10
	dialTimeout = time.Second
	// maxInFlight bounds the bytes that a delayed direction holds.
	maxInFlight = 4096
)

// Fault is the state of one direction of a relay.
type Fault struct {
	// Cut holds all bytes back until the cut ends, as a network partition does
	// to TCP, which sends lost packets again.
	Cut bool `json:"cut"`
	// Swallow drops all bytes. The connections on which that happens stay silent
	// in this direction for good, since their byte stream has a hole.
	Swallow bool `json:"swallow"`
	// LatencyMS delays each byte.
	LatencyMS float64 `json:"latency_ms"`
	// BytesPerSecond bounds the direction over all connections; 0 is unbounded.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// State is the state of a relay.
type State struct {
	Forward  Fault `json:"forward"`  // from the client to the server
	Backward Fault `json:"backward"` // from the server to the client
	// Reset closes open connections once; Refuse closes new ones at once.
	Reset  bool `json:"reset"`
	Refuse bool `json:"refuse"`
}

// Counts is what passed a relay.
type Counts struct {
	Connections   int64 `json:"connections"`
	ForwardBytes  int64 `json:"forward_bytes"`
	BackwardBytes int64 `json:"backward_bytes"`
	Swallowed     int64 `json:"swallowed_bytes"`
}

// Relay passes TCP connections from a listener to a server.
type Relay struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   State
	counts  Counts
	changed chan struct{}
	conns   map[net.Conn]bool
	free    [2]time.Time // when each direction's bandwidth is free again
	closed  bool
	wg      sync.WaitGroup
}

// NewRelay passes connections of l on to target until Close.
func NewRelay(l net.Listener, target string) *Relay {
	r := &Relay{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.wg.Go(r.accept)
	return r
}

// Address is where clients connect.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the state.
func (r *Relay) Set(s State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Reset {
		for c := range r.conns {
			_ = c.Close()
		}
		s.Reset = false
	}
	r.state = s
	close(r.changed)
	r.changed = make(chan struct{})
}

// Counts returns what passed so far.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Close ends all connections and waits for them.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if !r.admit(c) {
			_ = c.Close()
			continue
		}
		r.wg.Go(func() { r.serve(c) })
	}
}

func (r *Relay) admit(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Refuse || r.closed {
		return false
	}
	r.counts.Connections++
	r.conns[c] = true
	return true
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) serve(client net.Conn) {
	defer r.forget(client)
	defer client.Close()
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil || !r.track(server) {
		return
	}
	defer r.forget(server)
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { r.pass(server, client, true) })
	both.Go(func() { r.pass(client, server, false) })
	both.Wait()
}

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

type chunk struct {
	data []byte
	due  time.Time
}

// pass copies one direction: a reader stamps each chunk with the time at which
// it is due, and a writer delivers it then.
func (r *Relay) pass(dst, src net.Conn, forward bool) {
	chunks := make(chan chunk, maxInFlight)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, relayBuffer)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], time.Now().Add(r.latency(forward, n))}
			}
			if err != nil {
				return
			}
		}
	}()
	silent, broken := false, false
	for c := range chunks {
		if broken || !r.wait(c.due, forward) {
			broken = true
			continue
		}
		silent = silent || r.swallows(forward)
		r.count(forward, silent, len(c.data))
		if silent {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			broken = true
			_ = src.Close()
		}
	}
	if !silent {
		closeWrite(dst)
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (r *Relay) fault(forward bool) *Fault {
	if forward {
		return &r.state.Forward
	}
	return &r.state.Backward
}

// latency returns the delay of n bytes that arrive now, and takes their share
// of the direction's bandwidth.
func (r *Relay) latency(forward bool, n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fault(forward)
	d := time.Duration(f.LatencyMS * float64(time.Millisecond))
	if f.BytesPerSecond <= 0 {
		return d
	}
	i := 0
	if forward {
		i = 1
	}
	now := time.Now()
	if r.free[i].Before(now) {
		r.free[i] = now
	}
	r.free[i] = r.free[i].Add(time.Duration(float64(n) / f.BytesPerSecond * float64(time.Second)))
	return d + r.free[i].Sub(now)
}

func (r *Relay) swallows(forward bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault(forward).Swallow
}

func (r *Relay) count(forward, silent bool, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case silent:
		r.counts.Swallowed += int64(n)
	case forward:
		r.counts.ForwardBytes += int64(n)
	default:
		r.counts.BackwardBytes += int64(n)
	}
}

// wait returns when the chunk is due and the direction is not cut; false when
// the relay has been closed.
func (r *Relay) wait(due time.Time, forward bool) bool {
	if d := time.Until(due); d > 0 {
		time.Sleep(d)
	}
	for {
		r.mu.Lock()
		cut, closed, changed := r.fault(forward).Cut, r.closed, r.changed
		r.mu.Unlock()
		if closed {
			return false
		}
		if !cut {
			return true
		}
		<-changed
	}
}

var _ io.Closer = (*Relay)(nil)
