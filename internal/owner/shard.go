package owner

import (
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/scheduler"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// shard is one ownership: the scheduler's state and the calls that wait on it.
type shard struct {
	key      session.ShardKey
	epoch    uint64
	state    *scheduler.Shard
	version  uint64 // of the view followed last
	waiters  map[scheduler.Ticket]waiter
	reported scheduler.Totals // already counted in metrics
}

type waiter struct {
	until  time.Time
	answer chan scheduler.Decision // holds one decision
}

func newShard(key session.ShardKey, epoch uint64, team *settings.Team, now time.Time) *shard {
	return &shard{
		key:     key,
		epoch:   epoch,
		state:   scheduler.New(epoch, team, key.Service, now),
		waiters: map[scheduler.Ticket]waiter{},
	}
}

// follow puts the view's settings and sessions in force.
func (s *shard) follow(view *session.View, now time.Time) {
	if view.Version == s.version {
		return
	}
	s.version = view.Version
	s.state.Configure(view.Teams[s.key.Team].Settings, s.key.Service)
	live := make(map[uint64]bool, len(view.Instances))
	for _, i := range view.Instances {
		live[i.GetSessionId()] = true
	}
	s.state.KeepHolders(live, now)
}

// answer hands a decision to its waiting call.
func (s *shard) answer(d scheduler.Decision) {
	if w, ok := s.waiters[d.Ticket]; ok {
		delete(s.waiters, d.Ticket)
		w.answer <- d
	}
}

// expire ends the waits that are over, without granting.
func (s *shard) expire(now time.Time) {
	for ticket, w := range s.waiters {
		if !now.Before(w.until) {
			s.state.Cancel(ticket)
			s.answer(scheduler.Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL})
		}
	}
}

// close answers all waiting calls NOT_OWNER.
func (s *shard) close() {
	for ticket := range s.waiters {
		s.answer(scheduler.Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER})
	}
}
