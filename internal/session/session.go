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

// Times of the renewal loop. The lease lasts 2 s from the moment its request
// was sent. With a poll of 400 ms and these bounds a renewal that meets two
// silent control instances reaches the third about 0.9 s after it was sent,
// so the lease lasts through it.
const (
	renewWait = 400 * time.Millisecond
	// silentAfter is how long an answer may be late before another control
	// instance is asked over another connection, in parallel.
	silentAfter = 200 * time.Millisecond
	callTimeout = time.Second
	// failPause is the pause before the next instance after a call that failed
	// at once.
	failPause = 50 * time.Millisecond
	// closeTimeout bounds the call that closes the session at a planned stop.
	closeTimeout = time.Second
)

// Config is what a Session is built of.
type Config struct {
	// Instance describes this process; SessionId is ignored.
	Instance *api.Instance
	// ControlAddresses are the IP:port of control instances.
	ControlAddresses []string
	// Peers calls the control instances.
	Peers    *http.Client
	Logger   zerolog.Logger
	Metrics  tally.Scope
	Timeline *timeline.Recorder
	// Now is the monotonic clock of the lease. Default: the time since boot,
	// which goes on while the machine sleeps.
	Now func() time.Time
	// Connect returns the calls of one control instance. Default: twirp over
	// Peers.
	Connect func(address string) api.ControlCommand
}

// Session keeps this instance's session. It implements Source.
type Session struct {
	cfg     Config
	metrics metrics

	view     atomic.Pointer[View]
	draining atomic.Bool

	mu       sync.Mutex
	id       uint64    // 0 while there is no session
	leaseEnd time.Time // on the clock of cfg.Now
	changed  chan struct{}

	addresses addressList // used by the renewal loop only
}

var _ Source = (*Session)(nil)

type metrics struct {
	renewals, renewalsFailed, hedged, reopened     tally.Counter
	refusedAnswers, invariantViolations, lateLease tally.Counter
}

// New returns a session that Run will open.
func New(cfg Config) *Session {
	if cfg.Now == nil {
		cfg.Now = sinceBoot
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Connect == nil {
		cfg.Connect = func(address string) api.ControlCommand {
			return api.NewControlCommandProtobufClient("http://"+address, cfg.Peers)
		}
	}
	s := &Session{
		cfg: cfg,
		metrics: metrics{
			renewals:            cfg.Metrics.Counter("session_renewals"),
			renewalsFailed:      cfg.Metrics.Counter("session_renewals_failed"),
			hedged:              cfg.Metrics.Counter("session_renewals_hedged"),
			reopened:            cfg.Metrics.Counter("session_opened"),
			refusedAnswers:      cfg.Metrics.Counter("session_answers_refused"),
			invariantViolations: cfg.Metrics.Counter("invariant_violations"),
			lateLease:           cfg.Metrics.Counter("session_lease_lapses"),
		},
		changed:   make(chan struct{}),
		addresses: newAddressList(cfg.Instance.GetRegion(), cfg.ControlAddresses),
	}
	s.view.Store(&View{Teams: map[string]Team{}, Assignments: map[ShardKey]*api.Assignment{}})
	return s
}

// View returns the newest state.
func (s *Session) View() *View { return s.view.Load() }

// Fresh reports whether the freshness lease is valid now.
func (s *Session) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != 0 && s.cfg.Now().Before(s.leaseEnd)
}

// SessionID is 0 while there is no session.
func (s *Session) SessionID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Changed returns a channel that is closed at the next change of View.
func (s *Session) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetDraining asks for this instance not to be handed out any more.
func (s *Session) SetDraining() { s.draining.Store(true) }

// drainPending reports whether the control group does not show this instance
// as draining yet although it should. The caller asks without waiting then.
func (s *Session) drainPending(id uint64) bool {
	return s.draining.Load() && !slices.ContainsFunc(s.View().Instances, func(in *api.Instance) bool {
		return in.GetSessionId() == id && in.GetDraining()
	})
}

// Run opens the session and renews it until ctx ends, then closes it.
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

// open asks control instances in turn for a session until one opens it.
func (s *Session) open(ctx context.Context) {
	address := s.addresses.next(s.cfg.Now())
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.cfg.Connect(address).OpenSession(callCtx, &api.OpenSessionRequest{Instance: s.cfg.Instance})
	if err != nil {
		s.addresses.failed(address, s.cfg.Now())
		s.metrics.renewalsFailed.Inc(1)
		sleep.For(ctx, failPause)
		return
	}
	s.metrics.reopened.Inc(1)
	s.mu.Lock()
	s.id = resp.GetSessionId()
	s.mu.Unlock()
	s.cfg.Timeline.Record("session_opened")
}

// close drops the lease before it tells the control group, which then gives
// the shards away at once.
func (s *Session) close() {
	id := s.endSession(0)
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_, _ = s.cfg.Connect(s.addresses.next(s.cfg.Now())).CloseSession(ctx, &api.CloseSessionRequest{SessionId: id})
}

// endSession forgets the session and its lease and returns its id. With a
// non-zero id it does so only if that is still the session.
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

// answer is the outcome of one call of a renewal.
type answer struct {
	address string
	sent    time.Time
	resp    *api.RenewResponse
	err     error
}

// renewOnce renews the session once. While no answer comes it asks one control
// instance after the other in parallel, without giving up the earlier calls:
// the first answer counts.
func (s *Session) renewOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := s.SessionID()
	most := len(s.addresses.all) + 1
	answers := make(chan answer, most)
	outstanding := map[string]int{}
	calls := 0
	ask := func(wait time.Duration) <-chan time.Time {
		address := s.addresses.next(s.cfg.Now())
		outstanding[address]++
		calls++
		s.callRenew(ctx, address, id, wait, answers)
		return time.After(wait + silentAfter)
	}
	late := ask(s.pollTime(id))
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-answers:
			calls--
			if outstanding[a.address]--; outstanding[a.address] == 0 {
				delete(outstanding, a.address)
			}
			if s.settle(id, a) {
				s.addresses.silent(outstanding, a.address, s.cfg.Now())
				return
			}
			sleep.For(ctx, failPause)
		case <-late:
		}
		if late = nil; calls < most {
			s.metrics.hedged.Inc(1)
			late = ask(0)
		}
	}
}

// pollTime is how long the next call may wait for news: not at all when the
// answer itself is needed.
func (s *Session) pollTime(id uint64) time.Duration {
	if !s.Fresh() || s.drainPending(id) {
		return 0
	}
	return renewWait
}

// callRenew starts one call at a control instance.
func (s *Session) callRenew(ctx context.Context, address string, id uint64, wait time.Duration, answers chan<- answer) {
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
		answers <- answer{address: address, sent: sent, resp: resp, err: err}
	}()
}

// settle takes one call's outcome in. It reports whether the renewal is over.
func (s *Session) settle(id uint64, a answer) bool {
	if a.err == nil {
		a.err = s.accept(id, a.sent, a.resp)
	}
	if a.err == nil {
		s.metrics.renewals.Inc(1)
		s.addresses.answered(a.address, a.resp)
		return true
	}
	s.metrics.renewalsFailed.Inc(1)
	s.addresses.failed(a.address, s.cfg.Now())
	var e *resultcode.Error
	if errors.As(resultcode.FromTwirp(a.err), &e) && e.Code == resultcode.SessionUnknown {
		s.endSession(id)
		s.cfg.Timeline.Record("session_lost")
		return true
	}
	return false
}
