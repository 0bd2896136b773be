package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// Polling interval and timeout of the wait for committed entries to be applied.
const (
	applyPollInterval = time.Millisecond
	applyTimeout      = 200 * time.Millisecond
)

// OpenSession opens a session for an entry instance. The session replaces any
// older one with the same instance name.
func (s *Server) OpenSession(ctx context.Context, req *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	return runOnLeader(ctx, s, req, s.openSession, func(leader API) func(context.Context, *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
		return leader.OpenSession
	})
}

func (s *Server) openSession(ctx context.Context, _ *term, req *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	if err := command.CheckInstance(req.GetInstance()); err != nil {
		return nil, err
	}
	if err := process.CheckAddress(req.GetInstance().GetAddress()); err != nil {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "address %q: %v", req.GetInstance().GetAddress(), err)
	}
	if err := checkInstanceTexts(req.GetInstance()); err != nil {
		return nil, err
	}
	resp, err := proposeAs[*api.OpenSessionResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_OpenSession{OpenSession: req}})
	if err != nil {
		return nil, err
	}
	s.metrics.sessionsOpened.Inc(1)
	s.cfg.Timeline.Record("session_opened", "name", req.GetInstance().GetName(), "session", formatUint(resp.GetSessionId()))
	return resp, nil
}

// checkInstanceTexts returns an error unless callers and other instances can be told of an
// instance.
func checkInstanceTexts(in *api.Instance) error {
	for _, name := range []string{in.GetName(), in.GetIncarnation(), in.GetRegion(), in.GetFailureDomain()} {
		if err := identifier.CheckName(resultcode.MessageMalformed, "instance", name); err != nil {
			return err
		}
	}
	return identifier.CheckAddress(resultcode.MessageMalformed, "address", in.GetAddress())
}

// CloseSession ends a session. The caller must have stopped starting new work
// under it. Closing an unknown session is not an error.
func (s *Server) CloseSession(ctx context.Context, req *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	return runOnLeader(ctx, s, req, s.closeSession, func(leader API) func(context.Context, *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
		return leader.CloseSession
	})
}

func (s *Server) closeSession(ctx context.Context, _ *term, req *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	_, err := s.propose(ctx, &api.StateCommand{Body: &api.StateCommand_EndSession{EndSession: &api.EndSession{SessionId: req.GetSessionId()}}})
	if err != nil && resultcode.From(err).Code != resultcode.SessionUnknown {
		return nil, err
	}
	return &api.CloseSessionResponse{}, nil
}

// Renew renews a session. It returns immediately if the settings or assignments
// have changed since the caller's seen_version, and after at most wait_ms
// otherwise.
func (s *Server) Renew(ctx context.Context, req *api.RenewRequest) (*api.RenewResponse, error) {
	return runOnLeader(ctx, s, req, s.renew, func(leader API) func(context.Context, *api.RenewRequest) (*api.RenewResponse, error) {
		return func(ctx context.Context, req *api.RenewRequest) (*api.RenewResponse, error) {
			return s.renewViaLeader(ctx, leader, req)
		}
	})
}

// renewViaLeader lets the leader renew the session and fills the response with
// the settings, instances and assignments from this instance's own state. When
// a region reconnects after a partition, hundreds of sessions need the complete
// settings at the same time; if each fetched them from the leader, the
// transfers would occupy the inter-region link for longer than a renewal may
// take.
//
// Invariant: the response contains all state committed up to the moment the
// leader built its own response, because the local state has reached the version
// of that response.
func (s *Server) renewViaLeader(ctx context.Context, leader api.ControlCommand, req *api.RenewRequest) (*api.RenewResponse, error) {
	req = proto.CloneOf(req)
	req.WithoutContent = true
	leaderResp, err := leader.Renew(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := s.awaitVersion(ctx, leaderResp.GetVersion()); err != nil {
		return nil, err
	}
	resp, known := s.responses.get(s, req, leaderResp.GetControlAddresses())
	if !known {
		return nil, resultcode.ToTwirp(sessionUnknownError(req))
	}
	return resp, nil
}

// awaitVersion waits, for at most applyTimeout, until the local state has reached
// at least version.
func (s *Server) awaitVersion(ctx context.Context, version uint64) error {
	timer := time.NewTimer(applyTimeout)
	defer timer.Stop()
	for {
		current, changed := s.machine.ViewVersion()
		if current >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return resultcode.ToTwirp(resultcode.Newf(resultcode.ControlUnavailable, "local state is at version %d, the leader is at version %d", current, version))
		}
	}
}

// renew serves Renew at the leader.
func (s *Server) renew(ctx context.Context, t *term, req *api.RenewRequest) (*api.RenewResponse, error) {
	if err := s.processAck(ctx, t, req); err != nil {
		s.metrics.renewalsRefused.Inc(1)
		return nil, err
	}
	s.awaitChange(ctx, req)
	resp, err := s.buildResponse(ctx, t, req)
	if err != nil {
		s.metrics.renewalsRefused.Inc(1)
		return nil, err
	}
	s.metrics.renewals.Inc(1)
	return resp, nil
}

// processAck processes what a renewal reports about the entry instance: the
// version that it has applied and whether it is draining.
func (s *Server) processAck(ctx context.Context, t *term, req *api.RenewRequest) error {
	var known, draining bool
	var index uint64
	s.machine.Read(func(st *model.State) {
		sess := st.Sessions[req.GetSessionId()]
		known = sess != nil && !sess.Replaced
		draining = known && sess.Instance.GetDraining()
		index = st.Index
	})
	if !known {
		return sessionUnknownError(req)
	}
	if req.GetSeenVersion() > index {
		if err := s.checkSeenVersion(ctx, req); err != nil {
			return err
		}
	}
	advanced, alive := t.acknowledge(req.GetSessionId(), req.GetSeenVersion())
	if !alive {
		return sessionUnknownError(req)
	}
	if advanced {
		s.wake.Set()
	}
	if req.GetDraining() && !draining {
		_, err := s.propose(ctx, &api.StateCommand{Body: &api.StateCommand_DrainSession{DrainSession: &api.DrainSession{SessionId: req.GetSessionId()}}})
		return err
	}
	return nil
}

// checkSeenVersion handles a renewal whose seen version is later than this
// instance's state. This is normal if this instance has just been replaced as
// leader, but after a successful read barrier it means that committed state was
// lost.
func (s *Server) checkSeenVersion(ctx context.Context, req *api.RenewRequest) error {
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return s.notLeader()
	}
	var index uint64
	s.machine.Read(func(st *model.State) { index = st.Index })
	if req.GetSeenVersion() > index {
		return s.invariantViolated("a session has seen a version that is not in the log")
	}
	return nil
}

func sessionUnknownError(req *api.RenewRequest) *resultcode.Error {
	return resultcode.Newf(resultcode.SessionUnknown, "session %d", req.GetSessionId())
}

// awaitChange waits until the settings or assignments have changed after the
// version that the caller has seen, or until the caller's wait time is over. A
// change to the instance list does not end the wait; see query.WakeVersion.
func (s *Server) awaitChange(ctx context.Context, req *api.RenewRequest) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxRenewWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version, woken := s.machine.WakeVersion()
		if version > req.GetSeenVersion() {
			return
		}
		select {
		case <-woken:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// buildResponse returns all committed state that the caller has not seen yet.
//
// Invariant: the response contains all state committed up to now, and a quorum
// has answered a heartbeat round sent within the last 500 ms. The session's
// lease is extended in memory before the response is sent, so that a leader that
// pauses anywhere in this function never considers the session expired too early.
func (s *Server) buildResponse(ctx context.Context, t *term, req *api.RenewRequest) (*api.RenewResponse, error) {
	if !s.confirmedLeader(t) || !s.awaitApplied(ctx) {
		return nil, s.notLeader()
	}
	addresses := s.controlAddresses()
	if req.GetWithoutContent() {
		version, _ := s.machine.ViewVersion()
		if !t.extendLease(req.GetSessionId()) {
			return nil, sessionUnknownError(req)
		}
		return &api.RenewResponse{Version: version, ControlAddresses: addresses}, nil
	}
	resp, known := s.responses.get(s, req, addresses)
	if !known || !t.extendLease(req.GetSessionId()) {
		return nil, sessionUnknownError(req)
	}
	return resp, nil
}

// awaitApplied waits until all entries that are committed now have been applied.
// It returns false if that takes longer than applyTimeout or ctx is done.
func (s *Server) awaitApplied(ctx context.Context) bool {
	committed := s.log.Status().CommitIndex
	deadline := time.Now().Add(applyTimeout)
	for s.log.Status().AppliedIndex < committed {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(applyPollInterval)
	}
	return true
}

// responseCache shares responses between sessions that have seen the same
// version, so that the response to a change is built once and not once per
// session. Responses must not be modified after they were built.
type responseCache struct {
	mu            sync.Mutex
	version       uint64
	addresses     []string
	bySeenVersion map[uint64]*api.RenewResponse
}

// maxCachedResponses limits the number of responses cached for one version.
const maxCachedResponses = 64

// get returns the response to a renewal; known is false if the session does not
// exist or was replaced. The session is looked up and the response selected
// under one read lock, so that both belong to the same version.
func (c *responseCache) get(s *Server, req *api.RenewRequest, addresses []string) (resp *api.RenewResponse, known bool) {
	s.machine.Read(func(st *model.State) {
		sess := st.Sessions[req.GetSessionId()]
		if known = sess != nil && !sess.Replaced; !known {
			return
		}
		resp = c.responseFor(s, st, req.GetSeenVersion(), addresses)
	})
	return resp, known
}

// responseFor returns the cached response for sessions that have seen the state
// up to version seen, building the response if necessary. The caller must hold
// the read lock of the state machine.
func (c *responseCache) responseFor(s *Server, st *model.State, seen uint64, addresses []string) *api.RenewResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := query.ViewVersion(st)
	if c.version != version || !slices.Equal(c.addresses, addresses) || len(c.bySeenVersion) >= maxCachedResponses {
		c.version, c.addresses, c.bySeenVersion = version, addresses, map[uint64]*api.RenewResponse{}
	}
	if resp := c.bySeenVersion[seen]; resp != nil {
		s.metrics.responsesShared.Inc(1)
		return resp
	}
	s.metrics.responsesBuilt.Inc(1)
	resp := query.RenewalResponse(st, seen)
	resp.LeaseMs = uint32(LeaseDuration.Milliseconds())
	resp.ControlAddresses = addresses
	resp.AnsweredRegion = s.cfg.Region
	c.bySeenVersion[seen] = resp
	return resp
}

// controlAddresses returns the addresses of the control instances, starting with
// this one because it is the leader.
func (s *Server) controlAddresses() []string {
	out := []string{s.cfg.Address}
	for _, m := range s.log.Status().Members {
		if m.Address != "" && m.Address != s.cfg.Address {
			out = append(out, m.Address)
		}
	}
	return out
}
