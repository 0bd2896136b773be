package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	relayBuffer = 16 << 10
	dialTimeout = time.Second
	// maxBufferedChunks limits the chunks read but not yet written in one direction of a connection.
	maxBufferedChunks = 4096
)

// Fault describes the faults in one direction of a relay. The zero value forwards
// all bytes unchanged.
type Fault struct {
	// Cut holds back all bytes until the cut ends, as in a network partition,
	// after which TCP retransmits lost packets.
	Cut bool `json:"cut"`
	// Swallow drops all bytes. Connections on which bytes were dropped stay silent
	// in this direction permanently, since their byte stream has a gap.
	Swallow bool `json:"swallow"`
	// LatencyMS delays each byte.
	LatencyMS float64 `json:"latency_ms"`
	// BytesPerSecond limits the rate of all connections together; 0 means unlimited.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// State is the fault state of a relay. The zero value injects no fault.
type State struct {
	Forward  Fault `json:"forward"`  // faults in the direction from the client to the server
	Backward Fault `json:"backward"` // faults in the direction from the server to the client
	// Reset closes open connections once; Refuse closes new ones immediately.
	Reset  bool `json:"reset"`
	Refuse bool `json:"refuse"`
}

// Counts holds totals since the start of a relay. SwallowedBytes covers both
// directions.
type Counts struct {
	Connections    int64 `json:"connections"`
	ForwardBytes   int64 `json:"forward_bytes"`
	BackwardBytes  int64 `json:"backward_bytes"`
	SwallowedBytes int64 `json:"swallowed_bytes"`
}

// Relay is a TCP proxy that injects the faults of its State.
type Relay struct {
	listener      net.Listener
	serverAddress string

	mu              sync.Mutex
	state           State
	counts          Counts
	changed         chan struct{}
	conns           map[net.Conn]bool
	bandwidthFreeAt [2]time.Time // time until which the bandwidth is reserved: [0] backward, [1] forward
	closed          bool
	aborted         bool // closed by Abort: no connection ends properly
	wg              sync.WaitGroup
}

// NewRelay starts a relay that forwards connections from l to serverAddress until Close.
func NewRelay(l net.Listener, serverAddress string) *Relay {
	r := &Relay{listener: l, serverAddress: serverAddress, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	r.wg.Go(r.acceptConnections)
	return r
}

// Address returns the address that clients connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the state. It applies to open connections as well.
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

// Counts returns the relay's totals since its start.
func (r *Relay) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Close closes the listener and all connections and waits until they have ended.
func (r *Relay) Close() error { return r.closeConns(false) }

// Abort is Close but resets the connections, as a failure of the server's host does.
func (r *Relay) Abort() error { return r.closeConns(true) }

func (r *Relay) closeConns(reset bool) error {
	r.mu.Lock()
	r.closed, r.aborted = true, reset
	err := r.listener.Close()
	for c := range r.conns {
		if reset {
			_ = setReset(c)
		}
		_ = c.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

func (r *Relay) acceptConnections() {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if !r.trackClient(c) {
			_ = c.Close()
			continue
		}
		r.wg.Go(func() { r.serveConnection(c) })
	}
}

func (r *Relay) trackClient(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Refuse || r.closed {
		return false
	}
	r.counts.Connections++
	r.conns[c] = true
	return true
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) serveConnection(client net.Conn) {
	defer r.untrack(client)
	defer client.Close()
	server, err := net.DialTimeout("tcp", r.serverAddress, dialTimeout)
	if err != nil || !r.trackServer(server) {
		return
	}
	defer r.untrack(server)
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { r.copyDirection(server, client, true) })
	both.Go(func() { r.copyDirection(client, server, false) })
	both.Wait()
}

func (r *Relay) trackServer(c net.Conn) bool {
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
	data      []byte
	deliverAt time.Time
}

// copyDirection forwards one direction of a connection. A separate goroutine reads
// chunks and sets the delivery time of each. The caller's goroutine writes each chunk
// at its delivery time.
func (r *Relay) copyDirection(dst, src net.Conn, forward bool) {
	chunks := make(chan chunk, maxBufferedChunks)
	reset := false // read once chunks is closed
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, relayBuffer)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], time.Now().Add(r.reserveDelay(forward, n))}
			}
			if err != nil {
				reset = errors.Is(err, syscall.ECONNRESET)
				return
			}
		}
	}()
	silent, broken := false, false
	for c := range chunks {
		if broken || !r.awaitDelivery(c.deliverAt, forward) {
			broken = true
			continue
		}
		silent = silent || r.swallowsBytes(forward)
		r.countBytes(forward, silent, len(c.data))
		if silent {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			broken = true
			_ = src.Close()
		}
	}
	switch {
	case silent:
	case reset || r.isAborted():
		_ = setReset(dst)
		_ = dst.Close()
	default:
		closeWrite(dst)
	}
}

func (r *Relay) isAborted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.aborted
}

// setReset makes Close reset a TCP connection in place of ending it.
func setReset(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		return t.SetLinger(0)
	}
	return nil
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (r *Relay) directionFault(forward bool) *Fault {
	if forward {
		return &r.state.Forward
	}
	return &r.state.Backward
}

// reserveDelay returns the delay of n bytes that arrive now, and reserves the
// direction's bandwidth for them.
func (r *Relay) reserveDelay(forward bool, n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.directionFault(forward)
	d := time.Duration(f.LatencyMS * float64(time.Millisecond))
	if f.BytesPerSecond <= 0 {
		return d
	}
	i := 0
	if forward {
		i = 1
	}
	now := time.Now()
	if r.bandwidthFreeAt[i].Before(now) {
		r.bandwidthFreeAt[i] = now
	}
	r.bandwidthFreeAt[i] = r.bandwidthFreeAt[i].Add(time.Duration(float64(n) / f.BytesPerSecond * float64(time.Second)))
	return d + r.bandwidthFreeAt[i].Sub(now)
}

func (r *Relay) swallowsBytes(forward bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directionFault(forward).Swallow
}

func (r *Relay) countBytes(forward, silent bool, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case silent:
		r.counts.SwallowedBytes += int64(n)
	case forward:
		r.counts.ForwardBytes += int64(n)
	default:
		r.counts.BackwardBytes += int64(n)
	}
}

// awaitDelivery waits until deliverAt has passed and the direction is no longer cut
// (Fault.Cut). It returns false if the relay is closed.
func (r *Relay) awaitDelivery(deliverAt time.Time, forward bool) bool {
	if d := time.Until(deliverAt); d > 0 {
		time.Sleep(d)
	}
	for {
		r.mu.Lock()
		cut, closed, changed := r.directionFault(forward).Cut, r.closed, r.changed
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
