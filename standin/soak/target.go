package soak

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
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
	targetSlots      = 64
	eventStream      = "text/event-stream"
)

// execution is one request that a target executed.
type execution struct {
	id        string
	target    string
	domain    string
	arrivedAt time.Time // time at which the kernel of the target's host received the request
	service   string
}

// answerStatus is a status that a target gave in an answer to a request, or any target if
// target is empty.
type answerStatus struct {
	id, target string
	status     int
}

// executionLog records the requests that all targets executed, and the statuses of answers
// other than the expected ones.
type executionLog struct {
	mu         sync.Mutex
	executions []execution
	statuses   map[answerStatus]bool
}

func (l *executionLog) add(e execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, e)
}

func (l *executionLog) addStatus(id, target string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[answerStatus{id, target, status}] = true
	l.statuses[answerStatus{id, "", status}] = true
}

// gave reports whether a target gave a status in an answer to a request.
func (l *executionLog) gave(s answerStatus) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses[s]
}

// ranAt reports whether a target executed a request.
func (l *executionLog) ranAt(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.executions, func(e execution) bool { return e.target == target })
}

// ranIn returns a request that a target of a failure domain executed after a time, if any.
func (l *executionLog) ranIn(domain string, after time.Time) (execution, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.executions, func(e execution) bool { return e.domain == domain && e.arrivedAt.After(after) })
	if i < 0 {
		return execution{}, false
	}
	return l.executions[i], true
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
	// misbehavior is nil if the target keeps to the protocol.
	misbehavior misbehavior
	copies      *runCopies
	statements  statements

	server *http.Server
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	legs map[string]*leg // by request ID: the runs in progress
	// oddShare is the share of answers that break the protocol while misbehavior is seeded.
	oddShare float64
}

// startTarget starts a target under a new incarnation. The target announces itself
// until it is stopped.
func (d *deployment) startTarget(self platformtest.Target, ip string) (*target, error) {
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
	self.Address = relayListener.Addr().String()
	t := &target{
		self: self, executionLog: d.executionLog, client: d.client, crashesOn: d.crashesOn, misbehavior: d.misbehavior, copies: d.copies,
		relay: netfault.NewRelay(relayListener, serverListener.Addr().String()), stop: stop, legs: map[string]*leg{},
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
		t.announceOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *target) announceOnce(ctx context.Context) {
	t.mu.Lock()
	t.self.Sequence++
	self := t.self
	t.mu.Unlock()
	_ = t.client.Announce(ctx, self) // error ignored: a failed announcement is superseded by the next one
}

func (t *target) setMisbehavingShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oddShare = share
}

func (t *target) misbehavingShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.oddShare
}

// setDraining makes further announcements say that the target drains.
func (t *target) setDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Draining = true
}

// crash stops the target without any announcement. Its host closes the connections properly.
func (t *target) crash() { t.crashWith((*netfault.Relay).Close) }

// abort is crash but resets the connections, as if the host ended too.
func (t *target) abort() { t.crashWith((*netfault.Relay).Abort) }

func (t *target) crashWith(end func(*netfault.Relay) error) {
	t.stop()
	_ = end(t.relay) // first, so that nobody can connect once a connection is lost
	_ = t.server.Close()
	t.done.Wait()
}

// drainAndStop stops the target as planned: it announces that it drains,
// deregisters and then shuts down.
func (t *target) drainAndStop(ctx context.Context) {
	t.setDraining()
	sleep(ctx, drainDuration)
	t.stop()
	_ = t.client.Leave(ctx, t.self.ID) // error ignored: a target that stops announcing expires anyway
	sleep(ctx, drainDuration)
	t.crash()
}

// ServeHTTP records and executes a request: the model service streams events,
// the plain service returns one response.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, platformtest.EnginePathPrefix) {
		t.serveCopyCall(w, r)
		return
	}
	id := r.Header.Get(platformtest.RequestIDHeader)
	w.Header().Set(platformtest.RequestIDHeader, id)
	w.Header().Set(platformtest.StampHeader, t.self.ID)
	if r.URL.Path == platformtest.ReportPath {
		t.writeReport(w)
		return
	}
	if r.Header.Get(platformtest.ExpectTargetHeader) != t.self.ID {
		t.refuseAsNotRun(w, id, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete request is not executed
	}
	if t.statements.write(w, r, time.Now()) {
		t.refuseAsNotRun(w, id, http.StatusServiceUnavailable)
		return
	}
	if t.crashesOn != nil && t.crashesOn(t, body) {
		panic(http.ErrAbortHandler)
	}
	odd := t.oddAnswer(r)
	if odd != nil && odd.notRun {
		t.writeOdd(w, r, odd, nil, "")
		return
	}
	l := t.beginLeg(r, id)
	if l == nil {
		t.refuseAsNotRun(w, id, http.StatusServiceUnavailable)
		return
	}
	defer t.endLeg(l)
	if !l.fromCopy {
		t.addExecution(r, id)
	}
	switch {
	case odd != nil:
		t.writeOdd(w, r, odd, l, expectedResponse(id, body))
	case t.self.Service == modelService:
		t.sendEvents(w, r, l)
	default:
		sleep(r.Context(), writeDuration)
		_, _ = io.WriteString(w, expectedResponse(id, body)) // error ignored: the caller may have disconnected
	}
}

// addExecution records that the target executes a request.
func (t *target) addExecution(r *http.Request, id string) {
	t.executionLog.add(execution{id: id, target: t.self.ID, domain: t.self.FailureDomain, service: t.self.Service, arrivedAt: arrivalTime(r)})
}

// refuseAsNotRun writes a response that states that the request did not run.
func (t *target) refuseAsNotRun(w http.ResponseWriter, id string, status int) {
	t.executionLog.addStatus(id, t.self.ID, status)
	w.Header().Set(platformtest.NotRunHeader, "1")
	w.WriteHeader(status)
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
// Last-Event-Id header. A run that is stopped for a move ends without its end.
func (t *target) sendEvents(w http.ResponseWriter, r *http.Request, l *leg) {
	w.Header().Set("Content-Type", eventStream)
	controller := http.NewResponseController(w)
	whole := t.emitEvents(r.Context(), l, streamEvents, func(event string) error {
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		return controller.Flush()
	})
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// emitEvents makes events up to number last and reports whether it made all of them. It
// ends early if the run is stopped, if an event cannot be written or if ctx ends.
func (t *target) emitEvents(ctx context.Context, l *leg, last int, emit func(event string) error) bool {
	for n := l.next(); n <= last; n = l.next() {
		if emit(t.event(l.run, n)) != nil {
			return false
		}
		l.advance(n)
		if n == last {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-l.stop:
			return false
		case <-time.After(eventInterval):
		}
	}
	return true
}

// event returns event n of a run. The events of a target with a version hold the version.
func (t *target) event(x *run, n int) string {
	data := t.self.Version
	if data == "" {
		data = x.eventData(n)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
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
