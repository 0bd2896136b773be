package owner

import (
	"context"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/scheduler"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// shard is one period during which this instance owns a shard. It holds the
// scheduler's state and the waiting Acquire calls. Owner.mu guards its mutable
// fields.
type shard struct {
	key             session.ShardKey
	epoch           uint64
	state           *scheduler.Shard
	viewVersion     uint64 // version of the newest view that was applied to this shard
	service         settings.Service
	waiters         map[scheduler.Ticket]waiter
	publishedTotals scheduler.Totals // part of the state's totals that the metrics already include

	ownedSince time.Time
	nextOrder  map[string]time.Time // earliest start of the next order, by target; later than the timeout of a running order
	ctx        context.Context      // context of the shard's orders; cancelled when the ownership ends
	cancel     context.CancelFunc
}

// waiter is an Acquire call that waits for a decision.
type waiter struct {
	deadline time.Time
	decision chan scheduler.Decision // receives the decision; has capacity 1, so that sending never blocks
}

func newShard(parent context.Context, key session.ShardKey, epoch uint64, team *settings.Team, now time.Time) *shard {
	ctx, cancel := context.WithCancel(parent)
	return &shard{
		key:        key,
		epoch:      epoch,
		state:      scheduler.New(epoch, team, key.Service, now),
		waiters:    map[scheduler.Ticket]waiter{},
		ownedSince: now,
		nextOrder:  map[string]time.Time{},
		ctx:        ctx,
		cancel:     cancel,
	}
}

// applyView applies the settings of a new view and reclaims the permits of
// holders whose sessions have ended.
func (s *shard) applyView(view *session.View, now time.Time) {
	if view.Version == s.viewVersion {
		return
	}
	s.viewVersion = view.Version
	team := view.Teams[s.key.Team].Settings
	s.service = team.Services[s.key.Service]
	s.state.Configure(team, s.key.Service)
	liveSessions := make(map[uint64]bool, len(view.Instances))
	for _, i := range view.Instances {
		liveSessions[i.GetSessionId()] = true
	}
	s.state.ReclaimFromEndedSessions(liveSessions, now)
}

// deliver sends a decision to the Acquire call that waits for it. It does nothing
// if that call no longer waits.
func (s *shard) deliver(d scheduler.Decision) {
	if w, ok := s.waiters[d.Ticket]; ok {
		delete(s.waiters, d.Ticket)
		w.decision <- d
	}
}

// expireWaiters refuses the requests whose deadline has passed. It grants
// nothing.
func (s *shard) expireWaiters(now time.Time) {
	for ticket, w := range s.waiters {
		if !now.Before(w.deadline) {
			s.state.Cancel(ticket)
			s.deliver(scheduler.Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL})
		}
	}
}

// close cancels the shard's orders and delivers NOT_OWNER to all waiters.
func (s *shard) close() {
	s.cancel()
	for ticket := range s.waiters {
		s.deliver(scheduler.Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER})
	}
}
