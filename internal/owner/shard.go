package owner

import (
	"context"
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
	service  settings.Service
	waiters  map[scheduler.Ticket]waiter
	reported scheduler.Totals // already counted in metrics

	taken     time.Time
	nextOrder map[string]time.Time // by target; in the future while an order runs
	ctx       context.Context      // ends with the ownership
	cancel    context.CancelFunc
}

type waiter struct {
	until  time.Time
	answer chan scheduler.Decision // holds one decision
}

func newShard(parent context.Context, key session.ShardKey, epoch uint64, team *settings.Team, now time.Time) *shard {
	ctx, cancel := context.WithCancel(parent)
	return &shard{
		key:       key,
		epoch:     epoch,
		state:     scheduler.New(epoch, team, key.Service, now),
		waiters:   map[scheduler.Ticket]waiter{},
		taken:     now,
		nextOrder: map[string]time.Time{},
		ctx:       ctx,
		cancel:    cancel,
	}
}

// follow puts the view's settings and sessions in force.
func (s *shard) follow(view *session.View, now time.Time) {
	if view.Version == s.version {
		return
	}
	s.version = view.Version
	team := view.Teams[s.key.Team].Settings
	s.service = team.Services[s.key.Service]
	s.state.Configure(team, s.key.Service)
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

// close ends the ownership's work and answers all waiting calls NOT_OWNER.
func (s *shard) close() {
	s.cancel()
	for ticket := range s.waiters {
		s.answer(scheduler.Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER})
	}
}
