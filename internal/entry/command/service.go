// Package command serves the calls that change something: generations, plain
// calls, protected writes and announcements.
package command

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/latency"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/stream"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// retryFull is the advice after a target refused a request.
const retryFull = 250 * time.Millisecond

// Timing of the service; tests shorten it.
type Timing struct {
	// Silence is how long a connection may carry nothing.
	Silence time.Duration
	// Heartbeat is the interval of heartbeats to callers.
	Heartbeat time.Duration
	// Gone is how long a generation runs on after its caller was lost.
	Gone time.Duration
	// Control bounds the calls for one step of a protected write.
	Control time.Duration
}

// DefaultTiming is used outside of tests. The heartbeat leaves room for a tick
// within the second that callers may rely on.
var DefaultTiming = Timing{
	Silence:   stream.Silence,
	Heartbeat: 700 * time.Millisecond,
	Gone:      10 * time.Second,
	Control:   2 * time.Second,
}

// Tick is the interval at which silent connections are looked after.
func (t Timing) Tick() time.Duration { return t.Heartbeat / 3 }

// Deps are the parts that the service uses.
type Deps struct {
	Name      string // of this instance
	Region    string
	Source    session.Source
	Directory *access.Directory
	Limiter   *access.Limiter
	Acquirer  *permit.Acquirer
	Owners    *permit.Owners
	Book      *permit.Book
	Retries   *permit.RetryBudget
	Link      *permit.LinkBudget
	Latencies *latency.Streams
	Control   api.ControlCommand
	Timing    Timing
	Log       zerolog.Logger
	Metrics   tally.Scope
	Timeline  *timeline.Recorder
}

// Service serves callers and targets.
type Service struct {
	Deps
	engine  target.Engine
	counts  *counters
	running *registry
	targets *announced
	pace    *pace
	work    sync.WaitGroup // generations without a caller, late ends of writes
}

// NewService returns a service.
func NewService(d Deps) *Service {
	return &Service{
		Deps:    d,
		engine:  target.Engine{Tick: d.Timing.Tick()},
		counts:  newCounters(d.Metrics),
		running: newRegistry(),
		targets: newAnnounced(),
		pace:    newPace(),
	}
}

// Wait returns when no work goes on without a caller.
func (s *Service) Wait() { s.work.Wait() }

// Running is the number of generations in progress here.
func (s *Service) Running() int { return s.running.size() }

// counters of the service.
type counters struct {
	generations, tokens, reconnects, preemptions  tally.Counter
	callersGone, cancelled, resumed, restarted    tally.Counter
	plain, hedged, crossed, writes, replayed      tally.Counter
	unknownOutcomes, announcements, violations    tally.Counter
	refusedStale, refusedDomain, announcedRefused tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	c := func(name string) tally.Counter { return scope.Counter("entry." + name) }
	return &counters{
		generations: c("generations"), tokens: c("tokens"), reconnects: c("stream_reconnects"),
		preemptions: c("preemptions"), callersGone: c("callers_gone"), cancelled: c("cancelled"),
		resumed: c("resumed"), restarted: c("restarted"), plain: c("plain_calls"), hedged: c("hedged_reads"),
		crossed: c("crossed_answers"), writes: c("protected_writes"), replayed: c("replayed_writes"),
		unknownOutcomes: c("unknown_outcomes"), announcements: c("announcements"),
		violations: c("invariant_violations"), refusedStale: c("refused_stale"),
		refusedDomain: c("refused_domain"), announcedRefused: c("announcements_refused"),
	}
}

// invariant returns the error for a violated invariant.
func invariant(format string, args ...any) error {
	return resultcode.Newf(resultcode.InvariantViolation, format, args...).WithExecution(resultcode.Unknown)
}

// report counts and logs an invariant violation.
func (s *Service) report(err error) {
	if errors.Is(err, &resultcode.Error{Code: resultcode.InvariantViolation}) {
		s.counts.violations.Inc(1)
		s.Log.Error().Err(err).Msg("invariant violated")
		s.Timeline.Record("invariant_violation", "what", err.Error())
	}
}

// begin authenticates the caller and takes the request into account.
func (s *Service) begin(r *http.Request) (*access.Identity, func(), error) {
	id, err := s.Directory.Authenticate(r.Header)
	if err != nil {
		return nil, nil, err
	}
	done, err := s.Limiter.Admit(time.Now(), id)
	if err != nil {
		return nil, nil, err
	}
	s.Retries.Earn(id.TeamName, id.Team.Policy.RetryPercent)
	return id, done, nil
}

// mayDispatch is the check right before a dispatch: the newest settings still
// let the account call the service and new work go to the target, and the
// freshness lease makes sure that they are the newest ones.
//
// The lease is read after the view, as late as possible, and the view must not
// have changed by then: a process that wakes from a freeze may read the old
// view, be renewed, and then find the new lease valid.
func (s *Service) mayDispatch(id *access.Identity, service string, p *api.Permit) error {
	for {
		view := s.Source.View()
		if err := s.mayDispatchUnder(view, id, service, p); err != nil {
			return err
		}
		if !s.Source.Fresh() {
			s.counts.refusedStale.Inc(1)
			return permit.NotFresh()
		}
		if s.Source.View() == view {
			return nil
		}
	}
}

// mayDispatchUnder checks a dispatch against one view of the settings.
func (s *Service) mayDispatchUnder(view *session.View, id *access.Identity, service string, p *api.Permit) error {
	team, ok := view.Teams[id.TeamName]
	if !ok || !stillMayCall(team.Settings, id, service) {
		return resultcode.Newf(resultcode.Forbidden, "account %q may not call service %q any more", id.AccountName, service)
	}
	if !team.Settings.FailureDomainInService(p.GetFailureDomain()) ||
		slices.Contains(team.Settings.Services[service].DrainedTargets, p.GetTarget()) {
		s.counts.refusedDomain.Inc(1)
		return resultcode.Newf(resultcode.NoTarget, "target %q may not get new work", p.GetTarget()).WithRetryAfter(retryFull)
	}
	return nil
}

func stillMayCall(team *settings.Team, id *access.Identity, service string) bool {
	account, ok := team.Accounts[id.AccountName]
	return ok && (&access.Identity{Account: account}).MayCall(service)
}

// regions returns the team's regions, this instance's own first.
func (s *Service) regions(id *access.Identity) []string {
	out := []string{s.Region}
	for _, r := range id.Team.Regions() {
		if r != s.Region {
			out = append(out, r)
		}
	}
	return out
}

// linkRate is this instance's share of the team's budget between regions.
func (s *Service) linkRate(id *access.Identity) float64 {
	return s.Limiter.Share(id.TeamName).Rate(float64(id.Team.Policy.CrossRegionBytesPerSecond))
}

// charger returns what counts the bytes of a stream from another region.
func (s *Service) charger(id *access.Identity, region string) func(int) {
	if region == s.Region {
		return nil
	}
	rate := s.linkRate(id)
	return func(n int) { s.Link.Spend(time.Now(), id.TeamName, rate, n) }
}

// wanted describes a permit for a request of the account.
func (s *Service) wanted(id *access.Identity, service string, class time.Duration, request *api.RequestClass) permit.Wanted {
	now := time.Now()
	return permit.Wanted{
		Team: id.TeamName, Service: service, Shards: id.Team.Services[service].Shards, Regions: s.regions(id),
		Request: request, Started: now, Deadline: now.Add(class),
		Across: func() bool { return s.Link.Positive(time.Now(), id.TeamName, s.linkRate(id)) },
	}
}

// mayRetry takes a retry from the team's budget.
func (s *Service) mayRetry(id *access.Identity) bool {
	return s.Retries.Take(id.TeamName, id.Team.Policy.RetryPercent)
}

// budgetSpent is the error of a request that is not tried again for lack of
// budget. What may have run keeps its own code.
func budgetSpent(cause *resultcode.Error) *resultcode.Error {
	if cause.Execution != resultcode.NotRun {
		return cause
	}
	return resultcode.Newf(resultcode.RetryBudget, "the retry budget is spent; last: %v", cause).WithRetryAfter(max(cause.RetryAfter, retryFull))
}

// suspect notes a target that could not be connected to. A refusal of the check
// before the dispatch, or a caller that left, says nothing of the target.
func (s *Service) suspect(held *permit.Held, err error) {
	var notSent *target.NotSentError
	var coded *resultcode.Error
	if errors.As(err, &notSent) && !errors.As(err, &coded) && !errors.Is(err, context.Canceled) {
		s.Acquirer.Suspect(held.Shard.Team, held.Shard.Service, held.Permit.GetTarget(), time.Now())
	}
}

// release ends a permit whose answer does not matter.
func (s *Service) release(ctx context.Context, h *permit.Held, reason api.ReleaseReason) {
	if h != nil {
		h.Release(ctx, reason)
	}
}
