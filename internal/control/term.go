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

// term is one period of leadership of this instance, with the timing of all
// session leases. It is thrown away with the leadership.
type term struct {
	number uint64

	mu     sync.Mutex
	leases map[uint64]*lease
}

// lease is the leader's knowledge of one session.
type lease struct {
	expires time.Time // the holder surely has no fresh lease after this
	acked   uint64    // newest version that the holder obeys
	// firstAck is when the session first renewed in this term; zero before.
	firstAck time.Time
	// ended is set before the end of the session is proposed and never reset:
	// no renewal is answered between the decision and its commit.
	ended bool
}

// followLeadership returns the present term, nil when this instance does not
// lead. A new term begins only after a read barrier, so that everything that
// earlier leaders committed is applied before the first answer.
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
	if now := s.log.Status(); now.Role != agreement.Leader || now.Term != st.Term {
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

// leading reports whether t is still the node's term and a quorum answered
// recently enough for an answer to be built now.
func (s *Server) leading(t *term) bool {
	st := s.log.Status()
	contact := s.log.QuorumContact()
	return st.Role == agreement.Leader && st.Term == t.number &&
		!contact.IsZero() && time.Since(contact) <= contactBound
}

// of returns the lease of a session. A session that this term has not seen yet
// may have been renewed by the former leader until takeOverGrace from now.
// The caller holds mu.
func (t *term) of(sessionID uint64) *lease {
	l := t.leases[sessionID]
	if l == nil {
		l = &lease{expires: time.Now().Add(takeOverGrace + sessionExpiry)}
		t.leases[sessionID] = l
	}
	return l
}

// acknowledge records that the session's holder obeys the state at version. It
// reports false when the session has ended.
func (t *term) acknowledge(sessionID, version uint64) (progress, alive bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.of(sessionID)
	if l.ended {
		return false, false
	}
	progress = version > l.acked || l.firstAck.IsZero()
	l.acked = max(l.acked, version)
	if l.firstAck.IsZero() {
		l.firstAck = time.Now()
	}
	return progress, true
}

// extend records that an answer to a renewal is built now. It reports false
// when the session has ended.
func (t *term) extend(sessionID uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.of(sessionID)
	if l.ended {
		return false
	}
	l.expires = time.Now().Add(sessionExpiry)
	return true
}

// expired marks and returns the sessions whose lease has surely ended, and
// forgets the sessions that are not in the state any more.
func (t *term) expired(sessions map[uint64]bool) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []uint64
	for id := range sessions {
		if l := t.of(id); l.ended || now.After(l.expires) {
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

// leaseView is what the assignment plan needs of a lease.
type leaseView struct {
	acked    uint64
	firstAck time.Time
	ended    bool
}

func (t *term) views() map[uint64]leaseView {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint64]leaseView, len(t.leases))
	for id, l := range t.leases {
		out[id] = leaseView{acked: l.acked, firstAck: l.firstAck, ended: l.ended}
	}
	return out
}

// endExpiredSessions commits the end of each session that has surely expired.
func (s *Server) endExpiredSessions(ctx context.Context, t *term) {
	sessions := map[uint64]bool{}
	s.machine.Read(func(st *model.State) {
		for id := range st.Sessions {
			sessions[id] = true
		}
	})
	for _, id := range t.expired(sessions) {
		if !s.leading(t) {
			return
		}
		_, err := s.propose(ctx, &api.StateCommand{Body: &api.StateCommand_EndSession{EndSession: &api.EndSession{SessionId: id}}})
		if err != nil {
			s.cfg.Logger.Debug().Err(err).Uint64("session", id).Msg("end of session not committed")
			return
		}
		s.metrics.sessionsExpired.Inc(1)
		s.cfg.Timeline.Record("session_expired", "session", uintString(id))
	}
}

func (s *Server) noLeaderHere() *resultcode.Error {
	return notLeaderError(s.log.Status().LeaderAddress)
}
