package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// applyPoll and applyWait bound the wait for committed entries to be applied.
const (
	applyPoll = time.Millisecond
	applyWait = 200 * time.Millisecond
)

// OpenSession opens a session; an older one of the same name is replaced.
func (s *Server) OpenSession(ctx context.Context, req *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	return atLeader(ctx, s, req, s.openSession, func(leader Calls) func(context.Context, *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
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
	resp, err := proposeFor[*api.OpenSessionResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_OpenSession{OpenSession: req}})
	if err != nil {
		return nil, err
	}
	s.metrics.sessionsOpened.Inc(1)
	s.cfg.Timeline.Record("session_opened", "name", req.GetInstance().GetName(), "session", uintString(resp.GetSessionId()))
	return resp, nil
}

// CloseSession ends a session whose holder does no new work any more.
func (s *Server) CloseSession(ctx context.Context, req *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	return atLeader(ctx, s, req, s.closeSession, func(leader Calls) func(context.Context, *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
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

// Renew answers at once when there is something newer than the caller has
// seen, else after at most wait_ms.
func (s *Server) Renew(ctx context.Context, req *api.RenewRequest) (*api.RenewResponse, error) {
	return atLeader(ctx, s, req, s.renew, func(leader Calls) func(context.Context, *api.RenewRequest) (*api.RenewResponse, error) {
		return func(ctx context.Context, req *api.RenewRequest) (*api.RenewResponse, error) {
			return s.renewAt(ctx, leader, req)
		}
	})
}

// renewAt has the leader renew the session and adds the content from the state
// here. When a region returns after a partition, hundreds of sessions need the
// whole settings at once; fetched from the leader each, they would fill the
// link for longer than a renewal may take.
//
// Invariant: the answer contains all state committed up to the moment the
// leader built its own, since the state here has reached the leader's version.
func (s *Server) renewAt(ctx context.Context, leader api.ControlCommand, req *api.RenewRequest) (*api.RenewResponse, error) {
	req = proto.CloneOf(req)
	req.WithoutContent = true
	granted, err := leader.Renew(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := s.awaitVersion(ctx, granted.GetVersion()); err != nil {
		return nil, err
	}
	resp, known := s.answers.get(s, req, granted.GetControlAddresses())
	if !known {
		return nil, resultcode.ToTwirp(sessionUnknown(req))
	}
	return resp, nil
}

// awaitVersion waits until the state here shows at least the version.
func (s *Server) awaitVersion(ctx context.Context, version uint64) error {
	timer := time.NewTimer(applyWait)
	defer timer.Stop()
	for {
		have, changed := s.machine.ViewVersion()
		if have >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return resultcode.ToTwirp(resultcode.Newf(resultcode.ControlUnavailable, "the state here is at version %d, the leader's at %d", have, version))
		}
	}
}

func (s *Server) renew(ctx context.Context, t *term, req *api.RenewRequest) (*api.RenewResponse, error) {
	if err := s.acknowledge(ctx, t, req); err != nil {
		s.metrics.renewalsRefused.Inc(1)
		return nil, err
	}
	s.awaitNews(ctx, req)
	resp, err := s.buildAnswer(ctx, t, req)
	if err != nil {
		s.metrics.renewalsRefused.Inc(1)
		return nil, err
	}
	s.metrics.renewals.Inc(1)
	return resp, nil
}

// acknowledge takes in what the caller says about itself.
func (s *Server) acknowledge(ctx context.Context, t *term, req *api.RenewRequest) error {
	var known, draining bool
	var index uint64
	s.machine.Read(func(st *model.State) {
		x := st.Sessions[req.GetSessionId()]
		known = x != nil && !x.Replaced
		draining = known && x.Instance.GetDraining()
		index = st.Index
	})
	if !known {
		return sessionUnknown(req)
	}
	if req.GetSeenVersion() > index {
		if err := s.checkSeen(ctx, req); err != nil {
			return err
		}
	}
	progress, alive := t.acknowledge(req.GetSessionId(), req.GetSeenVersion())
	if !alive {
		return sessionUnknown(req)
	}
	if progress {
		s.wakeLoop()
	}
	if req.GetDraining() && !draining {
		_, err := s.propose(ctx, &api.StateCommand{Body: &api.StateCommand_DrainSession{DrainSession: &api.DrainSession{SessionId: req.GetSessionId()}}})
		return err
	}
	return nil
}

// checkSeen is called for a version that is not in the log here. A leader that
// was replaced a moment ago meets it without fault; after a read barrier it
// means that committed state was lost.
func (s *Server) checkSeen(ctx context.Context, req *api.RenewRequest) error {
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return s.noLeaderHere()
	}
	var index uint64
	s.machine.Read(func(st *model.State) { index = st.Index })
	if req.GetSeenVersion() > index {
		return s.violated("a session has seen a version that is not in the log")
	}
	return nil
}

func sessionUnknown(req *api.RenewRequest) *resultcode.Error {
	return resultcode.Newf(resultcode.SessionUnknown, "session %d", req.GetSessionId())
}

// awaitNews waits until there is something to answer at once, or for the time
// that the caller is ready to wait.
func (s *Server) awaitNews(ctx context.Context, req *api.RenewRequest) {
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

// buildAnswer returns everything committed that the caller has not seen.
//
// Invariant: the answer contains all state committed up to now, and a quorum
// answered a heartbeat round sent within the last 500 ms. The session's lease
// is extended in memory before the answer leaves, so that a leader that stops
// at any point here never counts the session as expired too early.
func (s *Server) buildAnswer(ctx context.Context, t *term, req *api.RenewRequest) (*api.RenewResponse, error) {
	if !s.leading(t) || !s.appliedAll(ctx) {
		return nil, s.noLeaderHere()
	}
	addresses := s.controlAddresses()
	if req.GetWithoutContent() {
		version, _ := s.machine.ViewVersion()
		if !t.extend(req.GetSessionId()) {
			return nil, sessionUnknown(req)
		}
		return &api.RenewResponse{Version: version, ControlAddresses: addresses}, nil
	}
	resp, known := s.answers.get(s, req, addresses)
	if !known || !t.extend(req.GetSessionId()) {
		return nil, sessionUnknown(req)
	}
	return resp, nil
}

// appliedAll waits until all that is committed now is applied.
func (s *Server) appliedAll(ctx context.Context) bool {
	committed := s.log.Status().CommitIndex
	deadline := time.Now().Add(applyWait)
	for s.log.Status().AppliedIndex < committed {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(applyPoll)
	}
	return true
}

// answerCache shares built answers between sessions that have seen the same
// version: one change is answered with one build, whatever the number of
// sessions. Answers are never changed after they were built.
type answerCache struct {
	mu        sync.Mutex
	version   uint64
	addresses []string
	bySeen    map[uint64]*api.RenewResponse
}

// maxCachedAnswers bounds the answers kept for one version.
const maxCachedAnswers = 64

// get returns the answer for the caller; known is false when its session is not
// in the state. The session is looked up and the answer chosen under one read
// lock, so that they belong to the same version.
func (c *answerCache) get(s *Server, req *api.RenewRequest, addresses []string) (resp *api.RenewResponse, known bool) {
	s.machine.Read(func(st *model.State) {
		x := st.Sessions[req.GetSessionId()]
		if known = x != nil && !x.Replaced; !known {
			return
		}
		resp = c.forVersion(s, st, req.GetSeenVersion(), addresses)
	})
	return resp, known
}

func (c *answerCache) forVersion(s *Server, st *model.State, seen uint64, addresses []string) *api.RenewResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := query.ViewVersion(st)
	if c.version != version || !slices.Equal(c.addresses, addresses) || len(c.bySeen) >= maxCachedAnswers {
		c.version, c.addresses, c.bySeen = version, addresses, map[uint64]*api.RenewResponse{}
	}
	if resp := c.bySeen[seen]; resp != nil {
		s.metrics.answersShared.Inc(1)
		return resp
	}
	s.metrics.answersBuilt.Inc(1)
	resp := query.RenewAnswer(st, seen)
	resp.LeaseMs = uint32(LeaseDuration.Milliseconds())
	resp.ControlAddresses = addresses
	resp.AnsweredRegion = s.cfg.Region
	c.bySeen[seen] = resp
	return resp
}

// controlAddresses lists the control instances, this one first: it leads.
func (s *Server) controlAddresses() []string {
	out := []string{s.cfg.Address}
	for _, m := range s.log.Status().Members {
		if m.Address != "" && m.Address != s.cfg.Address {
			out = append(out, m.Address)
		}
	}
	return out
}
