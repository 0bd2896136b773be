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

// Timing and capacity of a target.
const (
	announceInterval = 500 * time.Millisecond
	drainDuration    = 3 * time.Second
	writeDuration    = 10 * time.Millisecond
	eventInterval    = 20 * time.Millisecond
	streamEvents     = 60
	lastEventData    = "end"
	targetSlots      = 64
)

// execution is one request that a target executed.
type execution struct {
	id        string
	target    string
	domain    string
	arrivedAt time.Time // time at which the kernel of the target's host received the request
	service   string
}

// executionLog records the requests that all targets executed.
type executionLog struct {
	mu         sync.Mutex
	executions []execution
}

func (l *executionLog) add(e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
}

// target is a stand-in server behind a relay that injects network faults. It announces
// the relay's address.
type target struct {
	self         platformtest.Target
	executionLog *executionLog
	client       *platformtest.Client
	relay        *netfault.Relay
	// crashesOn reports whether the target's process ends when it begins to run a request
	// with the body; nil if no request crashes it.
	crashesOn func(t *target, body []byte) bool

	server *http.Server
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	draining bool
}

// startTarget starts a target under a new incarnation. The target announces itself
// until it is stopped. The version may be empty.
func startTarget(id, service, version, domain, ip string, l *executionLog, client *platformtest.Client, crashesOn func(*target, []byte) bool) (*target, error) {
	serverListener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	listener, err := netfault.NewListener(serverListener)
	if err != nil {
		_ = serverListener.Close()
		return nil, err
	}
	relayListener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		_ = serverListener.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &target{
		self: platformtest.Target{
			ID: id, Service: service, Address: relayListener.Addr().String(), FailureDomain: domain, Slots: targetSlots, Incarnation: time.Now(), Version: version,
		},
		executionLog: l, client: client, crashesOn: crashesOn, relay: netfault.NewRelay(relayListener, serverListener.Addr().String()), stop: stop,
	}
	t.server = &http.Server{Handler: t, ConnContext: listener.ConnContext, ReadHeaderTimeout: time.Second}
	t.done.Go(func() { _ = t.server.Serve(listener) }) // Serve returns when crash closes the server
	t.done.Go(func() { t.announce(ctx) })
	return t, nil
}

func (t *target) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		t.self.Sequence++
		t.self.Draining = t.draining
		self := t.self
		t.mu.Unlock()
		_ = t.client.Announce(ctx, self) // error ignored: a failed announcement is superseded by the next one
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// crash stops the target without any announcement.
func (t *target) crash() {
	t.stop()
	_ = t.relay.Close() // first, so that nobody can connect once a connection is lost
	_ = t.server.Close()
	t.done.Wait()
}

// drainAndStop stops the target as planned: it announces that it drains,
// deregisters and then shuts down.
func (t *target) drainAndStop(ctx context.Context) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	sleep(ctx, drainDuration)
	t.stop()
	_ = t.client.Leave(ctx, t.self.ID) // error ignored: a target that stops announcing expires anyway
	sleep(ctx, drainDuration)
	t.crash()
}

// ServeHTTP records and executes a request: the model service streams events,
// the plain service returns one response.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.RequestIDHeader)
	w.Header().Set(platformtest.RequestIDHeader, id)
	w.Header().Set(platformtest.StampHeader, t.self.ID)
	if r.Header.Get(platformtest.ExpectTargetHeader) != t.self.ID {
		w.Header().Set(platformtest.NotRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request is not executed
	}
	if t.crashesOn != nil && t.crashesOn(t, body) {
		panic(http.ErrAbortHandler)
	}
	t.executionLog.add(execution{
		id: id, target: t.self.ID, domain: t.self.FailureDomain, service: t.self.Service, arrivedAt: arrivalTime(r),
	})
	if t.self.Service == modelService {
		t.sendEvents(w, r, id)
		return
	}
	sleep(r.Context(), writeDuration)
	_, _ = io.WriteString(w, expectedResponse(id, body)) // error ignored: the caller may have disconnected
}

// arrivalTime returns the time at which the kernel received a request, or the zero
// time if it is not known, which the checker reports as a violation.
func arrivalTime(r *http.Request) time.Time {
	at := netfault.ArrivedAt(r)
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMicro(at)
}

// expectedResponse returns the only correct response body for a request.
func expectedResponse(id string, body []byte) string {
	return fmt.Sprintf("%s %08x", id, crc32.ChecksumIEEE(body))
}

// sendEvents streams the events that follow the one that the request names in its
// Last-Event-Id header. The events of a target with a version hold the version.
func (t *target) sendEvents(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(platformtest.LastEventIDHeader)) // 0 if the header is absent, so that the stream starts with the first event
	for n := last + 1; n <= streamEvents; n++ {
		data := t.self.Version
		if data == "" {
			data = expectedEventData(id, n)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		sleep(r.Context(), eventInterval)
	}
}

// expectedEventData returns the only correct data of event n of a stream.
func expectedEventData(id string, n int) string {
	if n == streamEvents {
		return lastEventData
	}
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE(fmt.Appendf(nil, "%s/%d", id, n)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
