package session

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// Timing of the renewal loop. The lease lasts 2 s from the moment the request
// was sent. With a long poll of 400 ms and the delays below, a renewal during
// which two control instances do not respond reaches the third one about 0.9 s
// after it started, before the lease ends.
const (
	renewPollWait = 400 * time.Millisecond
	// hedgeDelay is how long a response may be overdue before another control
	// instance is called in parallel, over another connection.
	hedgeDelay  = 200 * time.Millisecond
	callTimeout = time.Second
	// retryPause is the pause after a failed call before the next control
	// instance is called.
	retryPause = 50 * time.Millisecond
	// closeTimeout bounds the CloseSession call during a planned shutdown.
	closeTimeout = time.Second
)

// Config configures a Session.
type Config struct {
	// Instance describes this process; its SessionId is ignored.
	Instance *api.Instance
	// ControlAddresses are the IP:port addresses of the control instances.
	ControlAddresses []string
	// PeerClient is the HTTP client for calls to the control instances.
	PeerClient *http.Client
	Logger     zerolog.Logger
	Metrics    tally.Scope
	Timeline   *timeline.Recorder
	// Now is the monotonic clock used for the lease. Default: the boot clock,
	// which keeps running while the machine is suspended.
	Now func() time.Time
	// Connect returns a client for the control instance at address. Default: a
	// Twirp client that uses PeerClient.
	Connect func(address string) api.ControlCommand
}

// Session opens and renews this instance's session with the control group. It
// implements Source and is safe for concurrent use.
type Session struct {
	cfg     Config
	metrics metrics

	view     atomic.Pointer[View]
	draining atomic.Bool

	mu       sync.Mutex
	id       uint64    // session id; 0 while there is no session
	leaseEnd time.Time // end of the freshness lease, by the cfg.Now clock
	changed  chan struct{}

	addresses addressList // used by the renewal loop only
}

var _ Source = (*Session)(nil)

type metrics struct {
	renewals, renewalsFailed, hedged, opened           tally.Counter
	refusedResponses, invariantViolations, leaseLapses tally.Counter
}

// New returns a Session that is not open yet; Run opens it.
func New(cfg Config) *Session {
	if cfg.Now == nil {
		cfg.Now = bootClockNow
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Connect == nil {
		cfg.Connect = func(address string) api.ControlCommand {
			return api.NewControlCommandProtobufClient("http://"+address, cfg.PeerClient)
		}
	}
	s := &Session{
		cfg: cfg,
		metrics: metrics{
			renewals:            cfg.Metrics.Counter("session_renewals"),
			renewalsFailed:      cfg.Metrics.Counter("session_renewals_failed"),
			hedged:              cfg.Metrics.Counter("session_renewals_hedged"),
			opened:              cfg.Metrics.Counter("session_opened"),
			refusedResponses:    cfg.Metrics.Counter("session_answers_refused"),
			invariantViolations: cfg.Metrics.Counter("invariant_violations"),
			leaseLapses:         cfg.Metrics.Counter("session_lease_lapses"),
		},
		changed:   make(chan struct{}),
		addresses: newAddressList(cfg.Instance.GetRegion(), cfg.ControlAddresses),
	}
	s.view.Store(&View{Teams: map[string]Team{}, Assignments: map[ShardKey]*api.Assignment{}})
	return s
}

// View returns the newest committed state received from the control group. The
// result is never nil and must not be modified.
func (s *Session) View() *View { return s.view.Load() }

// Fresh reports whether there is a session and its freshness lease is valid now.
func (s *Session) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != 0 && s.cfg.Now().Before(s.leaseEnd)
}

// SessionID returns the current session's id, or 0 if there is no session.
func (s *Session) SessionID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Changed returns a channel that is closed when View next changes.
func (s *Session) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetDraining makes the following renewals report this instance as draining. The
// control group then marks it as draining in the instance list, so that clients
// are not sent to it any more, and reassigns its shards.
func (s *Session) SetDraining() { s.draining.Store(true) }

// drainPending reports whether this instance is draining but the control group
// does not list it as draining yet. Renewals are then sent without a long poll.
func (s *Session) drainPending(id uint64) bool {
	return s.draining.Load() && !slices.ContainsFunc(s.View().Instances, func(in *api.Instance) bool {
		return in.GetSessionId() == id && in.GetDraining()
	})
}

// Run opens the session and renews it until ctx is done, then closes it. If the
// control group ends the session, Run opens a new one.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.SessionID() == 0 {
			s.open(ctx)
			continue
		}
		s.renewOnce(ctx)
	}
	s.close()
}

// open tries once to open a session. After a failure it pauses; the next call
// uses another control instance.
func (s *Session) open(ctx context.Context) {
	address := s.addresses.next(s.cfg.Now())
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.cfg.Connect(address).OpenSession(callCtx, &api.OpenSessionRequest{Instance: s.cfg.Instance})
	if err != nil {
		s.addresses.markFailed(address, s.cfg.Now())
		s.metrics.renewalsFailed.Inc(1)
		sleep.For(ctx, retryPause)
		return
	}
	s.metrics.opened.Inc(1)
	s.mu.Lock()
	s.id = resp.GetSessionId()
	s.mu.Unlock()
	s.cfg.Timeline.Record("session_opened")
}

// close drops the lease before it closes the session, because the control group
// reassigns the shards of the session as soon as the session is closed.
func (s *Session) close() {
	id := s.endSession(0)
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, _ = s.cfg.Connect(s.addresses.next(s.cfg.Now())).CloseSession(ctx, &api.CloseSessionRequest{SessionId: id})
}

// endSession clears the session and its lease and returns the id of the cleared
// session. If the given id is not 0 and is no longer the id of the current
// session, endSession does nothing and returns 0.
func (s *Session) endSession(id uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != 0 && s.id != id {
		return 0
	}
	ended := s.id
	s.id, s.leaseEnd = 0, time.Time{}
	return ended
}

// renewResult is the result of one Renew call.
type renewResult struct {
	address string
	sent    time.Time
	resp    *api.RenewResponse
	err     error
}

// renewOnce renews the session once. If a response is overdue, it calls the next
// control instance in parallel without cancelling the earlier calls, and uses
// the first response that it can apply.
func (s *Session) renewOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := s.SessionID()
	maxCalls := len(s.addresses.candidates) + 1
	results := make(chan renewResult, maxCalls)
	callsByAddress := map[string]int{}
	inFlight := 0
	startCall := func(wait time.Duration) <-chan time.Time {
		address := s.addresses.next(s.cfg.Now())
		callsByAddress[address]++
		inFlight++
		s.startRenewCall(ctx, address, id, wait, results)
		return time.After(wait + hedgeDelay)
	}
	hedgeTimer := startCall(s.pollWait(id))
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-results:
			inFlight--
			if callsByAddress[r.address]--; callsByAddress[r.address] == 0 {
				delete(callsByAddress, r.address)
			}
			if s.handleResult(id, r) {
				s.addresses.markSilent(callsByAddress, r.address, s.cfg.Now())
				return
			}
			sleep.For(ctx, retryPause)
		case <-hedgeTimer:
		}
		if hedgeTimer = nil; inFlight < maxCalls {
			s.metrics.hedged.Inc(1)
			hedgeTimer = startCall(0)
		}
	}
}

// pollWait returns how long the control instance may hold the next Renew call
// until the settings or assignments change. It is 0 if the lease has ended or a
// drain has to be reported, because the response is then needed immediately.
func (s *Session) pollWait(id uint64) time.Duration {
	if !s.Fresh() || s.drainPending(id) {
		return 0
	}
	return renewPollWait
}

// startRenewCall calls Renew on a control instance in a new goroutine, which
// sends the result to results.
func (s *Session) startRenewCall(ctx context.Context, address string, id uint64, wait time.Duration, results chan<- renewResult) {
	req := &api.RenewRequest{
		SessionId:   id,
		SeenVersion: s.View().Version,
		Draining:    s.draining.Load(),
		WaitMs:      uint32(wait.Milliseconds()),
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sent := s.cfg.Now()
		resp, err := s.cfg.Connect(address).Renew(ctx, req)
		results <- renewResult{address: address, sent: sent, resp: resp, err: err}
	}()
}

// handleResult processes the result of one Renew call. It reports whether the
// renewal is finished, either because the lease was extended or because the
// control group has ended the session.
func (s *Session) handleResult(id uint64, r renewResult) bool {
	if r.err == nil {
		r.err = s.applyRenewal(id, r.sent, r.resp)
	}
	if r.err == nil {
		s.metrics.renewals.Inc(1)
		s.addresses.recordResponse(r.address, r.resp)
		return true
	}
	s.metrics.renewalsFailed.Inc(1)
	s.addresses.markFailed(r.address, s.cfg.Now())
	var e *resultcode.Error
	if errors.As(resultcode.FromTwirp(r.err), &e) && e.Code == resultcode.SessionUnknown {
		s.endSession(id)
		s.cfg.Timeline.Record("session_lost")
		return true
	}
	return false
}
