// Package command serves the API calls that start or change work: generations,
// calls to plain services, protected writes and target announcements.
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
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/stream"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// targetRetryAfter is the retry delay that callers are advised after a target refused a
// request.
const targetRetryAfter = 250 * time.Millisecond

// Timing holds the timeouts and intervals of the service. Tests use shorter ones.
type Timing struct {
	// SilenceTimeout limits a target's silence on a stream and how long a write to a caller blocks.
	SilenceTimeout time.Duration
	// HeartbeatInterval is the interval of heartbeats sent to callers.
	HeartbeatInterval time.Duration
	// ResumeWindow is how long a generation continues after its caller disconnected.
	ResumeWindow time.Duration
	// ControlTimeout limits one step of a protected write at the control group, retries included.
	ControlTimeout time.Duration
}

// DefaultTiming is the timing in production. Callers may rely on one heartbeat per
// second. HeartbeatInterval is shorter, since a heartbeat may be sent up to one tick late.
var DefaultTiming = Timing{
	SilenceTimeout:    stream.SilenceTimeout,
	HeartbeatInterval: 700 * time.Millisecond,
	ResumeWindow:      10 * time.Second,
	ControlTimeout:    2 * time.Second,
}

// TickInterval returns the interval at which reads from silent connections wake up.
func (t Timing) TickInterval() time.Duration { return t.HeartbeatInterval / 3 }

// Deps holds the dependencies and settings of a Service.
type Deps struct {
	Name        string // name of this instance
	Region      string
	Source      session.Source
	Directory   *access.Directory
	Limiter     *access.Limiter
	Acquirer    *permit.Acquirer
	Owners      *permit.Owners
	Permits     *permit.Registry
	RetryBudget *permit.RetryBudget
	LinkBudget  *permit.LinkBudget
	Latencies   *latency.Streams
	Control     api.ControlCommand
	Timing      Timing
	Log         zerolog.Logger
	Metrics     tally.Scope
	Timeline    *timeline.Recorder
	Quarantine  *quarantine.Store
}

// Service serves the API calls that start or change work: generations, calls to
// plain services, protected writes and target announcements.
type Service struct {
	Deps
	engine              target.Engine
	counts              *counters
	generations         *generationRegistry
	latestAnnouncements *announcementCache
	latencyEstimator    *latencyEstimator
	crashes             crashLog
	background          sync.WaitGroup // detached generations and cancellations at targets that still run
}

// NewService returns a service that reports its counters to d.Metrics.
func NewService(d Deps) *Service {
	return &Service{
		Deps:                d,
		engine:              target.Engine{TickInterval: d.Timing.TickInterval()},
		counts:              newCounters(d.Metrics),
		generations:         newGenerationRegistry(),
		latestAnnouncements: newAnnouncementCache(),
		latencyEstimator:    newLatencyEstimator(),
	}
}

// WaitForBackgroundWork blocks until all work that continues without a caller has ended.
func (s *Service) WaitForBackgroundWork() { s.background.Wait() }

// RunningGenerations returns the number of generations in progress at this instance.
func (s *Service) RunningGenerations() int { return s.generations.size() }

type counters struct {
	generations, tokens, reconnects, preemptions      tally.Counter
	callersGone, cancelled, resumed, restarted        tally.Counter
	plain, hedged, crossed, writes, replayed          tally.Counter
	unknownOutcomes, announcements, violations        tally.Counter
	refusedStale, refusedDomain, announcementsRefused tally.Counter
	leavingStated, leavingUntold                      tally.Counter
	quietStated, quietMalformed                       tally.Counter
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
		refusedDomain: c("refused_domain"), announcementsRefused: c("announcements_refused"),
		leavingStated: c("leaving_stated"), leavingUntold: c("leaving_untold"),
		quietStated: c("quiet_stated"), quietMalformed: c("quiet_malformed"),
	}
}

// invariantError returns the error for a violated invariant.
func invariantError(format string, args ...any) error {
	return resultcode.Newf(resultcode.InvariantViolation, format, args...).WithExecution(resultcode.Unknown)
}

// reportViolation counts, logs and records err if it is an invariant violation.
func (s *Service) reportViolation(err error) {
	if errors.Is(err, &resultcode.Error{Code: resultcode.InvariantViolation}) {
		s.counts.violations.Inc(1)
		s.Log.Error().Err(err).Msg("invariant violated")
		s.Timeline.Record("invariant_violation", "what", err.Error())
	}
}

// admitRequest authenticates the caller, applies the account's limits and credits the retry
// budget. The returned function releases the request's slot and must be called when
// the request ends.
func (s *Service) admitRequest(r *http.Request) (*access.Identity, func(), error) {
	identity, err := s.Directory.Authenticate(r.Header)
	if err != nil {
		return nil, nil, err
	}
	releaseSlot, err := s.Limiter.Admit(time.Now(), identity)
	if err != nil {
		return nil, nil, err
	}
	s.RetryBudget.Earn(identity.TeamName, identity.Team.Policy.RetryPercent)
	return identity, releaseSlot, nil
}

// checkBeforeSend checks right before a dispatch that the permit may be used.
func (s *Service) checkBeforeSend(identity *access.Identity, service string, held *permit.HeldPermit) error {
	if err := s.checkStatements(held); err != nil {
		return err
	}
	return s.checkDispatch(identity, service, held.Permit)
}

// checkDispatch is the last check before a dispatch. It returns an error unless the
// current settings allow the account to call the service and the target to receive
// new work, and a valid freshness lease proves that these settings are current.
//
// The lease is checked after the view (this instance's copy of the replicated state) was
// read, as late as possible, and the view must be unchanged afterwards. Otherwise a process
// that resumes after it was frozen could read the old view, have its session renewed, and
// then find the new lease valid.
func (s *Service) checkDispatch(identity *access.Identity, service string, p *api.Permit) error {
	for {
		view := s.Source.View()
		if err := s.checkDispatchInView(view, identity, service, p); err != nil {
			return err
		}
		if !s.Source.Fresh() {
			s.counts.refusedStale.Inc(1)
			return permit.NoFreshLeaseError()
		}
		if s.Source.View() == view {
			return nil
		}
	}
}

// checkDispatchInView checks that the settings in the given view permit a dispatch: the
// account may call the service, and the target may receive new work.
func (s *Service) checkDispatchInView(view *session.View, identity *access.Identity, service string, p *api.Permit) error {
	team, ok := view.Teams[identity.TeamName]
	if !ok || !stillMayCall(team.Settings, identity, service) {
		return resultcode.Newf(resultcode.Forbidden, "account %q may not call service %q any more", identity.AccountName, service)
	}
	if !team.Settings.FailureDomainInService(p.GetFailureDomain()) ||
		slices.Contains(team.Settings.Services[service].DrainedTargets, p.GetTarget()) {
		s.counts.refusedDomain.Inc(1)
		return resultcode.Newf(resultcode.NoTarget, "target %q is drained or its failure domain is out of service", p.GetTarget()).WithRetryAfter(targetRetryAfter)
	}
	return nil
}

// stillMayCall reports whether the team's settings still allow the account to call the
// service.
func stillMayCall(team *settings.Team, identity *access.Identity, service string) bool {
	account, ok := team.Accounts[identity.AccountName]
	return ok && (&access.Identity{Account: account}).MayCall(service)
}

// regions returns the team's regions, this instance's own first.
func (s *Service) regions(identity *access.Identity) []string {
	out := []string{s.Region}
	for _, r := range identity.Team.Regions() {
		if r != s.Region {
			out = append(out, r)
		}
	}
	return out
}

// linkRate returns this instance's share of the team's cross-region rate limit, in
// bytes per second.
func (s *Service) linkRate(identity *access.Identity) float64 {
	return s.Limiter.Share(identity.TeamName).Rate(float64(identity.Team.Policy.CrossRegionBytesPerSecond))
}

// linkCharger returns a function that charges bytes to the team's cross-region link
// budget, or nil if region is this instance's own.
func (s *Service) linkCharger(identity *access.Identity, region string) func(int) {
	if region == s.Region {
		return nil
	}
	rate := s.linkRate(identity)
	return func(n int) { s.LinkBudget.Spend(time.Now(), identity.TeamName, rate, n) }
}

// requirements returns the permit requirements of a request that starts to wait now.
func (s *Service) requirements(identity *access.Identity, service string, queueTimeout time.Duration, request *api.RequestClass) permit.Requirements {
	now := time.Now()
	return permit.Requirements{
		Team: identity.TeamName, Service: service, Shards: identity.Team.Services[service].Shards, Regions: s.regions(identity),
		Request: request, Started: now, Deadline: now.Add(queueTimeout),
		CrossRegionAllowed: func() bool { return s.LinkBudget.Positive(time.Now(), identity.TeamName, s.linkRate(identity)) },
	}
}

// takeRetry takes a retry from the team's retry budget and reports whether there was
// one.
func (s *Service) takeRetry(identity *access.Identity) bool {
	return s.RetryBudget.Take(identity.TeamName, identity.Team.Policy.RetryPercent)
}

// retryBudgetError returns the error of a request that is not retried because the
// retry budget is exhausted. If the request may have run, it returns cause itself.
func retryBudgetError(cause *resultcode.Error) *resultcode.Error {
	if cause.Execution != resultcode.NotRun {
		return cause
	}
	return resultcode.Newf(resultcode.RetryBudget, "the retry budget is exhausted; last error: %v", cause).WithRetryAfter(max(cause.RetryAfter, targetRetryAfter))
}

// suspectIfNotSent marks the permit's target as suspect if err shows that nothing
// could be sent to it. A refusal by the check before the dispatch, or a cancelled
// request, does not count against the target.
func (s *Service) suspectIfNotSent(held *permit.HeldPermit, err error) {
	var notSent *target.NotSentError
	var coded *resultcode.Error
	if errors.As(err, &notSent) && !errors.As(err, &coded) && !errors.Is(err, context.Canceled) {
		s.Acquirer.MarkSuspect(held.Shard.Team, held.Shard.Service, held.Permit.GetTarget(), time.Now())
	}
}

// releasePermit releases a permit and ignores the owner's response. If h is nil, it does
// nothing.
func (s *Service) releasePermit(ctx context.Context, h *permit.HeldPermit, reason api.ReleaseReason) {
	if h != nil {
		h.Release(ctx, reason)
	}
}
