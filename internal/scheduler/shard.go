// Package scheduler implements the state machine of one shard: its targets,
// permits and waiting requests. It combines the decisions of internal/admission
// and internal/routing. It does no I/O: the time is an argument, and nothing is
// sent or logged. It is not safe for concurrent use.
package scheduler

import (
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Request asks for a permit to run one request on a target. Exclude holds the names
// of targets that must not be used.
type Request struct {
	Holder  uint64 // session id of the instance that serves the caller
	Class   *api.RequestClass
	Exclude []string
	// Unwilling holds those of them that have told the holder that they leave or want no
	// requests.
	Unwilling []string
	Arrived   time.Time // when the caller's request first arrived, possibly at an earlier owner
	Until     time.Time // when the holder stops waiting for a permit
}

// Ticket identifies a waiting request within its shard; 0 is never used.
type Ticket uint64

// Decision is the outcome of a waiting request.
type Decision struct {
	Ticket        Ticket
	Outcome       api.AcquireOutcome
	Permit        *api.Permit // set when Outcome is GRANTED
	Waited        time.Duration
	QueueTimedOut bool // set if the queue timeout of the request's class expired
}

// Shard is the state of one shard during one ownership. Its epoch is constant: a
// later ownership starts with a new Shard. A nil failureCache makes the next pass a
// full one.
type Shard struct {
	epoch   uint64
	started time.Time
	team    *settings.Team
	service settings.Service

	targets    map[string]*target
	permits    map[string]*permit
	released   map[string]time.Time // release time by permit id; kept for releasedTTL
	lastPermit uint64

	queue      admission.Queue[*waitingRequest]
	tickets    map[Ticket]*admission.Item[*waitingRequest]
	lastTicket Ticket

	lengths          *admission.LengthPredictor
	router           *routing.Router
	lastShortArrival time.Time // last arrival of a request of a short class, one whose outputs have few tokens

	lastCleanup  time.Time
	failureCache *failureCache
	reservations map[string]reservation // reservation of each model
	totals       Totals
	idleGrowth   idleRate
}

// waitingRequest is a request in the queue. short reports whether its class is a
// short one, whose outputs have only a few tokens.
type waitingRequest struct {
	ticket   Ticket
	request  Request
	short    bool
	reserved bool // a target is reserved for this request
}

// Totals holds the shard's counters since its ownership started. Reclaimed counts
// the permits taken back without a release.
type Totals struct {
	Grants      uint64
	Reclaimed   uint64
	Preemptions uint64
	// IdleSeconds is the unused share of the targets that could run a waiting request, summed
	// over targets and integrated over the time in which requests wait. CapacitySeconds is the
	// number of targets eligible for a waiting request, integrated over the same time.
	IdleSeconds     float64
	CapacitySeconds float64
}

// New returns a shard without targets, permits or waiting requests for an
// ownership with the given epoch that starts now.
func New(epoch uint64, team *settings.Team, service string, now time.Time) *Shard {
	s := &Shard{
		epoch:        epoch,
		started:      now,
		targets:      map[string]*target{},
		permits:      map[string]*permit{},
		released:     map[string]time.Time{},
		tickets:      map[Ticket]*admission.Item[*waitingRequest]{},
		lengths:      admission.NewLengthPredictor(),
		router:       routing.Default(),
		reservations: map[string]reservation{},
	}
	s.Configure(team, service)
	return s
}

// Configure replaces the team's and the service's settings.
func (s *Shard) Configure(team *settings.Team, service string) {
	s.team, s.service = team, team.Services[service]
	s.failureCache = nil
}

// Totals returns the counters since the ownership started.
func (s *Shard) Totals() Totals { return s.totals }

// QueueLength returns the number of waiting requests.
func (s *Shard) QueueLength() int { return s.queue.Len() }

func (s *Shard) isPlainService() bool { return s.service.Kind == settings.KindPlain }

// tokenIntervalGoal returns the time between tokens that the policy sets as the
// goal.
func (s *Shard) tokenIntervalGoal() time.Duration {
	return time.Duration(s.team.Policy.TargetGapMS * float64(time.Millisecond))
}

// Enqueue adds a request to the queue and returns its ticket with the outcome
// UNSPECIFIED. Any other outcome refuses the request: NO_TARGET if no target
// serves it, as hasTargetFor tells, OVERLOADED if the queue is full.
func (s *Shard) Enqueue(r Request, now time.Time) (Ticket, api.AcquireOutcome) {
	if !s.hasTargetFor(r, now) {
		return 0, api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET
	}
	if s.queue.Len() >= s.team.Policy.QueueLimit {
		return 0, api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED
	}
	class := s.team.Classes[r.Class.GetClass()]
	if class.Short {
		s.lastShortArrival = now
	}
	timeout := class.QueueTimeout()
	if timeout == 0 {
		timeout = r.Until.Sub(r.Arrived)
	}
	s.lastTicket++
	it := &admission.Item[*waitingRequest]{
		Account:  r.Class.GetAccount(),
		Weight:   float64(max(1, s.team.Accounts[r.Class.GetAccount()].Weight)),
		Cost:     s.predictedTokens(r.Class),
		Priority: class.Priority,
		Arrived:  r.Arrived,
		Deadline: r.Arrived.Add(timeout),
		Value:    &waitingRequest{ticket: s.lastTicket, request: r, short: class.Short},
	}
	s.tickets[s.lastTicket] = it
	s.queue.Push(it, now)
	return s.lastTicket, api.AcquireOutcome_ACQUIRE_OUTCOME_UNSPECIFIED
}

// hasTargetFor reports whether any announced target serves the request's model. If some have
// told the holder that they want no requests, only one that accepts work besides them counts:
// waiting is of no use before their time is over.
func (s *Shard) hasTargetFor(r Request, now time.Time) bool {
	for _, t := range s.targets {
		c := routing.Candidate{Models: t.announcement.GetModels()}
		if t.announcement == nil || !(routing.ServesModel{}).Keep(s.routingRequest(r, time.Time{}), &c) {
			continue
		}
		if len(r.Unwilling) == 0 || (s.acceptsWork(t, now) && !slices.Contains(r.Unwilling, t.name)) {
			return true
		}
	}
	return false
}

// Cancel removes a waiting request. Unknown tickets are ignored.
func (s *Shard) Cancel(ticket Ticket) {
	if it := s.tickets[ticket]; it != nil {
		s.queue.Remove(it)
		s.discardRequest(it.Value)
	}
}

// discardRequest deletes the ticket and the reservation of a request that has
// left the queue.
func (s *Shard) discardRequest(w *waitingRequest) {
	delete(s.tickets, w.ticket)
	if w.reserved {
		delete(s.reservations, w.request.Class.GetModel())
		s.failureCache = nil // other requests may now use the target that was reserved
	}
}

// Schedule grants permits to as many waiting requests as possible and removes the
// requests whose wait has expired. It returns the decisions on both.
func (s *Shard) Schedule(now time.Time) (out []Decision) {
	s.integrateIdle(now)
	if s.queue.Len() == 0 {
		s.idleGrowth = idleRate{integratedUntil: now}
		return nil
	}
	for _, it := range s.queue.Advance(now) {
		s.discardRequest(it.Value)
		out = append(out, Decision{Ticket: it.Value.ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL, QueueTimedOut: true})
	}
	full := false
	for done := false; !done; done = s.failureCache != nil {
		p := s.newPass(now)
		full = full || p.full
		out = append(out, p.grantAll()...)
		out = append(out, s.expireWaits(now)...)
	}
	s.sampleIdleCapacity(full, now)
	return out
}

// expireWaits removes the requests whose holder has stopped waiting.
func (s *Shard) expireWaits(now time.Time) (out []Decision) {
	for ticket, it := range s.tickets {
		if !now.Before(it.Value.request.Until) {
			s.Cancel(ticket)
			out = append(out, Decision{Ticket: ticket, Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_FULL})
		}
	}
	return out
}

// predictedTokens returns the expected size of a request: its prompt and output.
func (s *Shard) predictedTokens(c *api.RequestClass) float64 {
	return float64(c.GetPromptTokens()) + s.lengths.SurvivalCurve(lengthKey(c)).ExpectedRemaining(0, s.maxOutput(c))
}

func lengthKey(c *api.RequestClass) admission.ClassKey {
	return admission.ClassKey{Account: c.GetAccount(), Model: c.GetModel(), Kind: c.GetClass()}
}

// maxOutput returns the maximum number of tokens that a request can produce.
func (s *Shard) maxOutput(c *api.RequestClass) int {
	limit := defaultMaxOutput
	if class, ok := s.team.Classes[c.GetClass()]; ok && class.MaxTokens > 0 {
		limit = class.MaxTokens
	}
	if c.GetMaxTokens() > 0 {
		limit = min(limit, int(c.GetMaxTokens()))
	}
	return limit
}

// defaultMaxOutput is the maximum output in tokens if neither the request nor
// its class's settings have one.
const defaultMaxOutput = 32768
