package control

import (
	"context"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// term is one period during which this instance is the leader. It holds the
// timing of all session leases and is discarded when the leadership ends.
type term struct {
	number uint64

	mu     sync.Mutex
	leases map[uint64]*lease
}

// lease is the leader's record of the lease of one session.
type lease struct {
	expires      time.Time // time after which the entry instance's lease has certainly ended
	ackedVersion uint64    // newest version of the state that the entry instance has applied
	// firstAck is when the session was first renewed in this term; zero before.
	firstAck time.Time
	// ended is set before the end of the session is proposed, and never reset, so
	// that no renewal is granted between the decision and its commit.
	ended bool
}

// followLeadership updates the current term to match the node's role and returns
// it, or nil if this instance is not the leader. A new term starts only after a read
// barrier, so that everything committed by earlier leaders is applied before the
// first call is answered.
func (s *Server) followLeadership(ctx context.Context) *term {
	st := s.log.Status()
	t := s.currentTerm()
	if st.Role != agreement.Leader {
		if t != nil {
			s.setTerm(nil)
			s.cfg.Timeline.Record("leadership_lost")
		}
		return nil
	}
	if t != nil && t.number == st.Term {
		return t
	}
	s.setTerm(nil)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil
	}
	if current := s.log.Status(); current.Role != agreement.Leader || current.Term != st.Term {
		return nil
	}
	t = &term{number: st.Term, leases: map[uint64]*lease{}}
	s.setTerm(t)
	s.cfg.Logger.Info().Uint64("term", st.Term).Msg("leading")
	s.cfg.Timeline.Record("leadership_gained")
	return t
}

func (s *Server) currentTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Server) setTerm(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}

// confirmedLeader reports whether the node is still the leader in term t and a
// quorum confirmed that within the last maxQuorumContactAge. Renewals may only be
// granted while that is so.
func (s *Server) confirmedLeader(t *term) bool {
	st := s.log.Status()
	contact := s.log.QuorumContact()
	return st.Role == agreement.Leader && st.Term == t.number &&
		!contact.IsZero() && time.Since(contact) <= maxQuorumContactAge
}

// leaseOf returns the lease of a session. If this term has none yet, it creates
// one that allows for the former leader granting renewals until takeOverGrace
// from now. The caller must hold mu.
func (t *term) leaseOf(sessionID uint64) *lease {
	l := t.leases[sessionID]
	if l == nil {
		l = &lease{expires: time.Now().Add(takeOverGrace + sessionExpiry)}
		t.leases[sessionID] = l
	}
	return l
}

// acknowledge records that the entry instance has applied the state at version.
// advanced is true if this is the first acknowledgement in this term or version
// is newer than that of all earlier ones; alive is false if the session has
// ended.
func (t *term) acknowledge(sessionID, version uint64) (advanced, alive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaseOf(sessionID)
	if l.ended {
		return false, false
	}
	advanced = version > l.ackedVersion || l.firstAck.IsZero()
	l.ackedVersion = max(l.ackedVersion, version)
	if l.firstAck.IsZero() {
		l.firstAck = time.Now()
	}
	return advanced, true
}

// extendLease sets the session's expiry to sessionExpiry from now. It must be
// called when the response to a renewal is built. It returns false if the session
// has ended.
func (t *term) extendLease(sessionID uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.leaseOf(sessionID)
	if l.ended {
		return false
	}
	l.expires = time.Now().Add(sessionExpiry)
	return true
}

// markExpired marks as ended, and returns, those of the given sessions whose
// lease has certainly ended. sessions must hold all sessions in the state,
// because the leases of all other sessions are dropped.
func (t *term) markExpired(sessions map[uint64]bool) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []uint64
	for id := range sessions {
		if l := t.leaseOf(id); l.ended || now.After(l.expires) {
			l.ended = true
			out = append(out, id)
		}
	}
	for id := range t.leases {
		if !sessions[id] {
			delete(t.leases, id)
		}
	}
	return out
}

// leaseView is a copy of the lease fields that the planner and InForce use.
type leaseView struct {
	ackedVersion uint64
	firstAck     time.Time
	ended        bool
}

func (t *term) leaseViews() map[uint64]leaseView {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint64]leaseView, len(t.leases))
	for id, l := range t.leases {
		out[id] = leaseView{ackedVersion: l.ackedVersion, firstAck: l.firstAck, ended: l.ended}
	}
	return out
}

// endExpiredSessions commits the end of each session whose lease has certainly
// ended. It stops at the first failure; Run retries at the next tick.
func (s *Server) endExpiredSessions(ctx context.Context, t *term) {
	sessions := map[uint64]bool{}
	s.machine.Read(func(st *model.State) {
		for id := range st.Sessions {
			sessions[id] = true
		}
	})
	for _, id := range t.markExpired(sessions) {
		if !s.confirmedLeader(t) {
			return
		}
		_, err := s.propose(ctx, &api.StateCommand{Body: &api.StateCommand_EndSession{EndSession: &api.EndSession{SessionId: id}}})
		if err != nil {
			s.cfg.Logger.Debug().Err(err).Uint64("session", id).Msg("end of session not committed")
			return
		}
		s.metrics.sessionsExpired.Inc(1)
		s.cfg.Timeline.Record("session_expired", "session", formatUint(id))
	}
}

// notLeader returns a NotLeader error with the address of the known leader.
func (s *Server) notLeader() *resultcode.Error {
	return notLeaderError(s.log.Status().LeaderAddress)
}
