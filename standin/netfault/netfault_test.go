package netfault

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo serves lines back until the test ends.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s := bufio.NewScanner(c)
				for s.Scan() {
					_, _ = fmt.Fprintln(c, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

func relay(t *testing.T) *Relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := NewRelay(l, echo(t))
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a line and reports whether it came back in time.
func exchange(c net.Conn, line string, within time.Duration) bool {
	_ = c.SetDeadline(time.Now().Add(within))
	if line != "" {
		_, _ = fmt.Fprintln(c, line)
	}
	got, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && (line == "" || got == line+"\n")
}

const (
	soon  = 5 * time.Second
	never = 50 * time.Millisecond
)

// Guards against a cut that loses bytes for good: TCP delivers them when the
// path is back.
func TestCutHoldsBytesUntilItEnds(t *testing.T) {
	r := relay(t)
	c := dial(t, r)
	assert.Assert(t, exchange(c, "one", soon))
	for _, s := range []State{{Forward: Fault{Cut: true}}, {Backward: Fault{Cut: true}}} {
		r.Set(s)
		assert.Assert(t, !exchange(c, "two", never))
		r.Set(State{})
		assert.Assert(t, exchange(c, "", soon))
	}
}

// Guards against swallowing that ends on an open connection, or that hits new
// connections after it was switched off.
func TestSwallowedConnectionStaysSilent(t *testing.T) {
	r := relay(t)
	c := dial(t, r)
	assert.Assert(t, exchange(c, "one", soon))
	r.Set(State{Backward: Fault{Swallow: true}})
	assert.Assert(t, !exchange(c, "two", never))
	r.Set(State{})
	assert.Assert(t, !exchange(c, "three", never))
	assert.Assert(t, exchange(dial(t, r), "four", soon))
	assert.Assert(t, r.Counts().Swallowed > 0)
}

// Guards against latency or bandwidth settings without effect.
func TestLatencyAndBandwidth(t *testing.T) {
	r := relay(t)
	c := dial(t, r)
	r.Set(State{Forward: Fault{LatencyMS: 20}, Backward: Fault{LatencyMS: 20}})
	start := time.Now()
	assert.Assert(t, exchange(c, "one", soon))
	assert.Assert(t, time.Since(start) >= 40*time.Millisecond)
	r.Set(State{Forward: Fault{BytesPerSecond: 10_000}})
	start = time.Now()
	assert.Assert(t, exchange(c, fmt.Sprintf("%0999d", 1), soon))
	assert.Assert(t, time.Since(start) >= 100*time.Millisecond)
}

// Guards against refuse and reset that leave connections usable.
func TestRefuseAndReset(t *testing.T) {
	r := relay(t)
	c := dial(t, r)
	assert.Assert(t, exchange(c, "one", soon))
	r.Set(State{Reset: true, Refuse: true})
	assert.Assert(t, !exchange(c, "two", soon))
	assert.Assert(t, !exchange(dial(t, r), "three", soon))
}

// Guards against a time of arrival that is the time of reading: a stopped
// process reads late what arrived before.
func TestArrivedAtIsTheTimeOfReception(t *testing.T) {
	const readLate = 300 * time.Millisecond
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewListener(inner)
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	sentAfter := time.Now().UnixMicro()
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	sentBefore := time.Now().UnixMicro()
	time.Sleep(readLate)
	r, err := http.ReadRequest(bufio.NewReader(accepted))
	assert.NilError(t, err)
	at := ArrivedAt(r.WithContext(l.ConnContext(t.Context(), accepted)))
	assert.Assert(t, at >= sentAfter && at <= sentBefore+(readLate/2).Microseconds(), "sent %d to %d, arrived at %d", sentAfter, sentBefore, at)
	assert.Equal(t, ArrivedAt(r), int64(0))
}
