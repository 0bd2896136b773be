// Package scheduler is the state machine of one shard: its targets, permits
// and waiting requests. It combines the decisions of internal/admission and
// internal/routing. It is pure: time comes in as an argument, and nothing is
// sent or logged. It is not safe for concurrent use.
package scheduler

import (
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Request is a request for a permit.
type Request struct {
	Holder  uint64 // session of the instance that serves the caller
	Class   *api.RequestClass
	Exclude []string
	Arrived time.Time // when the caller's request arrived, at any owner
	Until   time.Time // when the holder stops waiting
}

// Ticket identifies a waiting request.
type Ticket uint64

// Decision answers a waiting request.
type Decision struct {
	Ticket     Ticket
	Outcome    api.AcquireOutcome
	Permit     *api.Permit // set when Outcome is GRANTED
	Waited     time.Duration
	DeadlineUp bool // the request waited for its class's queue timeout
}

// Shard is the state of one shard during one ownership. Its epoch never
// changes: a later ownership starts from a new Shard.
type Shard struct {
	epoch   uint64
	started time.Time
	team    *settings.Team
	service settings.Service

	targets    map[string]*target
	permits    map[string]*permit
	released   map[string]time.Time // permit ids released lately
	lastPermit uint64

	queue      []*waiting
	lastTicket Ticket

	totals Totals
}

type waiting struct {
	ticket  Ticket
	request Request
}

// Totals counts what the shard did since it was started.
type Totals struct {
	Grants      uint64
	Reclaimed   uint64
	Preemptions uint64
	// IdleSeconds is the unused part of targets' limits, integrated over the
	// time in which work waited; CapacitySeconds is the whole limit over the
	// same time. Both are in target-seconds.
	IdleSeconds     float64
	CapacitySeconds float64
}

// New returns an empty shard for an ownership that starts now.
func New(epoch uint64, team *settings.Team, service string, now time.Time) *Shard {
	s := &Shard{
		epoch:    epoch,
		started:  now,
		targets:  map[string]*target{},
		permits:  map[string]*permit{},
		released: map[string]time.Time{},
	}
	s.Configure(team, service)
	return s
}

// Configure puts new settings in force.
func (s *Shard) Configure(team *settings.Team, service string) {
	s.team, s.service = team, team.Services[service]
}

// Totals returns the counts so far.
func (s *Shard) Totals() Totals { return s.totals }

// QueueLength returns the number of waiting requests.
func (s *Shard) QueueLength() int { return len(s.queue) }

// Enqueue adds a request to the queue, or refuses it at once with an outcome
// other than UNSPECIFIED.
func (s *Shard) Enqueue(r Request, now time.Time) (Ticket, api.AcquireOutcome) {
	if !s.serves(r) {
		return 0, api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET
	}
	if len(s.queue) >= s.team.Policy.QueueLimit {
		return 0, api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED
	}
	s.lastTicket++
	s.queue = append(s.queue, &waiting{s.lastTicket, r})
	return s.lastTicket, api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED
}

// serves reports whether any target could run the request, now or later.
func (s *Shard) serves(r Request) bool {
	for _, t := range s.targets {
		if t.serves(r.Class.GetModel(), s.plain()) {
			return true
		}
	}
	return false
}

func (s *Shard) plain() bool { return s.service.Kind == settings.KindPlain }

// Cancel removes a waiting request.
func (s *Shard) Cancel(ticket Ticket) {
	for i, w := range s.queue {
		if w.ticket == ticket {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// Schedule grants as many waiting requests as possible and ends the waits that
// are over.
func (s *Shard) Schedule(now time.Time) []Decision {
	var out []Decision
	rest := s.queue[:0]
	for _, w := range s.queue {
		if p := s.place(w.request, now); p != nil {
			out = append(out, Decision{Ticket: w.ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED,
				Permit: p, Waited: now.Sub(w.request.Arrived)})
			continue
		}
		if !now.Before(w.request.Until) {
			out = append(out, Decision{Ticket: w.ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL})
			continue
		}
		rest = append(rest, w)
	}
	s.queue = rest
	return out
}

// place grants a permit at the usable target with the least in flight.
func (s *Shard) place(r Request, now time.Time) *api.Permit {
	var best *target
	for _, t := range s.targets {
		if !s.usable(t, r, now) || t.inFlight >= s.limit(t, now) {
			continue
		}
		if best == nil || t.inFlight < best.inFlight || t.inFlight == best.inFlight && t.name < best.name {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	s.lastPermit++
	id := "p" + strconv.FormatUint(s.epoch, 10) + "." + strconv.FormatUint(s.lastPermit, 10)
	p := &permit{id: id, target: best, holder: r.Holder, class: r.Class, granted: now}
	s.add(p)
	s.totals.Grants++
	return s.proto(p)
}
