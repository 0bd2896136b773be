package soak

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/netfault"
)

// Behaviour of a target.
const (
	beatEvery     = 500 * time.Millisecond
	drainFor      = 3 * time.Second
	writeTime     = 10 * time.Millisecond
	eventEvery    = 20 * time.Millisecond
	streamEvents  = 60
	lastEventData = "end"
	slots         = 64
)

// execution is one request that a target ran.
type execution struct {
	id      string
	target  string
	domain  string
	arrived time.Time // at the target's machine
	service string
}

// ledger collects what all targets ran.
type ledger struct {
	mu         sync.Mutex
	executions []execution
}

func (l *ledger) add(e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
}

// target is a stand-in for a server, behind a relay that spoils its network.
type target struct {
	self   platformtest.Target
	ledger *ledger
	calls  *platformtest.Client
	relay  *netfault.Relay

	server *http.Server
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	draining bool
}

// startTarget starts a new incarnation that announces itself until it ends.
func startTarget(id, service, domain, ip string, l *ledger, calls *platformtest.Client) (*target, error) {
	inner, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	outer, err := net.Listen("tcp", ip+":0")
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	listener := netfault.NewListener(inner)
	ctx, stop := context.WithCancel(context.Background())
	t := &target{
		self: platformtest.Target{
			ID: id, Service: service, Address: outer.Addr().String(), FailureDomain: domain, Slots: slots, Born: time.Now(),
		},
		ledger: l, calls: calls, relay: netfault.NewRelay(outer, inner.Addr().String()), stop: stop,
	}
	t.server = &http.Server{Handler: t, ConnContext: listener.ConnContext, ReadHeaderTimeout: time.Second}
	t.done.Go(func() { _ = t.server.Serve(listener) }) // ends with Close
	t.done.Go(func() { t.announce(ctx) })
	return t, nil
}

func (t *target) announce(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		t.self.Sequence++
		t.self.Draining = t.draining
		self := t.self
		t.mu.Unlock()
		_ = t.calls.Announce(ctx, self) // the next announcement repeats it
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// crash ends the target without notice.
func (t *target) crash() {
	t.stop()
	_ = t.server.Close()
	_ = t.relay.Close()
	t.done.Wait()
}

// leave ends the target as planned.
func (t *target) leave(ctx context.Context) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	pause(ctx, drainFor)
	t.stop()
	_ = t.calls.Leave(ctx, t.self.ID) // an unheard target is forgotten anyway
	pause(ctx, drainFor)
	t.crash()
}

// ServeHTTP runs a request: a stream for the model, an answer for the rest.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.RequestIDHeader)
	w.Header().Set(platformtest.RequestIDHeader, id)
	w.Header().Set(platformtest.StampHeader, t.self.ID)
	if r.Header.Get(platformtest.ExpectHeader) != t.self.ID {
		w.Header().Set(platformtest.NotRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // arrived in part and does not run
	}
	t.ledger.add(execution{
		id: id, target: t.self.ID, domain: t.self.FailureDomain, service: t.self.Service, arrived: time.UnixMicro(netfault.ArrivedAt(r)),
	})
	if t.self.Service == modelService {
		t.stream(w, r, id)
		return
	}
	pause(r.Context(), writeTime)
	_, _ = io.WriteString(w, answerTo(id, body)) // the caller may be gone
}

// answerTo is the only right answer to a request.
func answerTo(id string, body []byte) string {
	return fmt.Sprintf("%s %08x", id, crc32.ChecksumIEEE(body))
}

func (t *target) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent: from the start
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		pause(r.Context(), eventEvery)
	}
}

// eventData is the only right content of an event.
func eventData(id string, n int) string {
	if n == streamEvents {
		return lastEventData
	}
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE(fmt.Appendf(nil, "%s/%d", id, n)))
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
