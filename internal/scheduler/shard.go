// Package scheduler is the state machine of one shard: its targets, permits
// and waiting requests. It combines the decisions of internal/admission and
// internal/routing. It is pure: time comes in as an argument, and nothing is
// sent or logged. It is not safe for concurrent use.
package scheduler

import (
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
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

	queue      admission.Queue[*waiting]
	tickets    map[Ticket]*admission.Item[*waiting]
	lastTicket Ticket

	lengths   *admission.Lengths
	router    *routing.Router
	shortSeen time.Time // last arrival of a request of a short class

	cleaned  time.Time
	memo     *memo
	reserved map[string]reservation // by model
	totals   Totals
	idle     idleRate
}

type waiting struct {
	ticket   Ticket
	request  Request
	short    bool
	reserved bool // a target is kept free for this request
}

// Totals counts what the shard did since it was started.
type Totals struct {
	Grants      uint64
	Reclaimed   uint64
	Preemptions uint64
	// IdleSeconds integrates, over the time in which work waits, the unused
	// share of the targets that could run waiting work; CapacitySeconds
	// integrates the count of targets that serve waiting work.
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
		tickets:  map[Ticket]*admission.Item[*waiting]{},
		lengths:  admission.NewLengths(),
		router:   routing.Default(),
		reserved: map[string]reservation{},
	}
	s.Configure(team, service)
	return s
}

// Configure puts new settings in force.
func (s *Shard) Configure(team *settings.Team, service string) {
	s.team, s.service = team, team.Services[service]
	s.memo = nil
}

// Totals returns the counts so far.
func (s *Shard) Totals() Totals { return s.totals }

// QueueLength returns the number of waiting requests.
func (s *Shard) QueueLength() int { return s.queue.Len() }

func (s *Shard) plain() bool { return s.service.Kind == settings.KindPlain }

func (s *Shard) targetGap() time.Duration {
	return time.Duration(s.team.Policy.TargetGapMS * float64(time.Millisecond))
}

// Enqueue adds a request to the queue, or refuses it at once with an outcome
// other than UNSPECIFIED.
func (s *Shard) Enqueue(r Request, now time.Time) (Ticket, api.AcquireOutcome) {
	if !s.served(r) {
		return 0, api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET
	}
	if s.queue.Len() >= s.team.Policy.QueueLimit {
		return 0, api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED
	}
	class := s.team.Classes[r.Class.GetClass()]
	if class.Short {
		s.shortSeen = now
	}
	timeout := class.QueueTimeout()
	if timeout == 0 {
		timeout = r.Until.Sub(r.Arrived)
	}
	s.lastTicket++
	it := &admission.Item[*waiting]{
		Account:  r.Class.GetAccount(),
		Weight:   float64(max(1, s.team.Accounts[r.Class.GetAccount()].Weight)),
		Cost:     s.predictedTokens(r.Class),
		Priority: class.Priority,
		Arrived:  r.Arrived,
		Deadline: r.Arrived.Add(timeout),
		Value:    &waiting{ticket: s.lastTicket, request: r, short: class.Short},
	}
	s.tickets[s.lastTicket] = it
	s.queue.Push(it, now)
	return s.lastTicket, api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED
}

// served reports whether any target that announces itself has the model.
func (s *Shard) served(r Request) bool {
	for _, t := range s.targets {
		c := routing.Candidate{Models: t.announcement.GetModels()}
		if t.announcement != nil && (routing.ServesModel{}).Keep(s.routingRequest(r, time.Time{}), &c) {
			return true
		}
	}
	return false
}

// Cancel removes a waiting request.
func (s *Shard) Cancel(ticket Ticket) {
	if it := s.tickets[ticket]; it != nil {
		s.queue.Remove(it)
		s.forget(it.Value)
	}
}

// forget drops what is kept for a request that does not wait any more.
func (s *Shard) forget(w *waiting) {
	delete(s.tickets, w.ticket)
	if w.reserved {
		delete(s.reserved, w.request.Class.GetModel())
		s.memo = nil // others may use the target now
	}
}

// Schedule grants as many waiting requests as possible and ends the waits that
// are over.
func (s *Shard) Schedule(now time.Time) (out []Decision) {
	s.integrateIdle(now)
	if s.queue.Len() == 0 {
		s.idle = idleRate{since: now}
		return nil
	}
	for _, it := range s.queue.Advance(now) {
		s.forget(it.Value)
		out = append(out, Decision{Ticket: it.Value.ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL, DeadlineUp: true})
	}
	full := false
	for done := false; !done; done = s.memo != nil {
		p := s.newPass(now)
		full = full || p.full
		out = append(out, p.grantAll()...)
		out = append(out, s.endWaits(now)...)
	}
	s.observeWaiting(full, now)
	return out
}

func (s *Shard) endWaits(now time.Time) (out []Decision) {
	for ticket, it := range s.tickets {
		if !now.Before(it.Value.request.Until) {
			s.Cancel(ticket)
			out = append(out, Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL})
		}
	}
	return out
}

// predictedTokens is the expected size of a request: its prompt and output.
func (s *Shard) predictedTokens(c *api.RequestClass) float64 {
	return float64(c.GetPromptTokens()) + s.lengths.Curve(lengthKey(c)).Remaining(0, s.maxOutput(c))
}

func lengthKey(c *api.RequestClass) admission.ClassKey {
	return admission.ClassKey{Account: c.GetAccount(), Model: c.GetModel(), Kind: c.GetClass()}
}

// maxOutput is the most tokens that a request can produce.
func (s *Shard) maxOutput(c *api.RequestClass) int {
	limit := unboundedOutput
	if class, ok := s.team.Classes[c.GetClass()]; ok && class.MaxTokens > 0 {
		limit = class.MaxTokens
	}
	if c.GetMaxTokens() > 0 {
		limit = min(limit, int(c.GetMaxTokens()))
	}
	return limit
}

// unboundedOutput is the bound of outputs for which neither the request nor
// the settings give one.
const unboundedOutput = 32768
