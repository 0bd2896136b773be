// Package control implements the control instances' RPC server for entry
// instances and operators. The leader keeps the timing of session leases in
// memory, ends expired sessions and assigns shards. The other instances forward
// each call to the leader, at most once.
package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/timeline"
	"github.com/endivetrack/endivetrack/internal/wakeup"
)

// Lease timing. An entry instance's lease lasts LeaseDuration from the moment it
// sent the request; at the leader, the session expires sessionExpiry after the
// response was built. Clock rates may differ by a factor of at most 1.1.
const (
	LeaseDuration = 2 * time.Second
	sessionExpiry = LeaseDuration * 11 / 10
	// maxQuorumContactAge is how long ago the leader's last contact with a quorum
	// may be when it builds the response to a renewal.
	maxQuorumContactAge = 500 * time.Millisecond
	// takeOverGrace is how long the former leader may continue to answer renewals after
	// this instance was elected: maxQuorumContactAge on the slowest allowed clock.
	takeOverGrace = maxQuorumContactAge * 11 / 10
)

// Timing of RPC handlers and of the server's background work.
const (
	maxRenewWait   = 500 * time.Millisecond
	maxInForceWait = 10 * time.Second
	proposeTimeout = 2 * time.Second
	tickInterval   = 50 * time.Millisecond
	// planInterval is how often shard assignments are planned when no change triggers it.
	planInterval = time.Second
	// planPause is a delay before shard assignments are planned, so that one
	// plan covers the acknowledgements of a change by many instances.
	planPause = 5 * time.Millisecond
	// inForcePollInterval is how often a waiting InForce call checks again.
	inForcePollInterval = 20 * time.Millisecond
)

// ReplicatedLog is the part of agreement.Node that the server uses.
type ReplicatedLog interface {
	Propose(ctx context.Context, command []byte) (agreement.Applied, error)
	QuorumContact() time.Time
	ReadBarrier(ctx context.Context) (uint64, error)
	Status() agreement.Status
	AddLearner(ctx context.Context, m agreement.Member) error
	Promote(ctx context.Context, incarnation, replaces string) error
	Remove(ctx context.Context, incarnation string) error
}

var _ ReplicatedLog = (*agreement.Node)(nil)

// API is the set of RPCs that a control instance serves.
type API interface {
	api.ControlCommand
	api.ControlQuery
}

// Config configures a Server.
type Config struct {
	// Name, Address and Region describe this instance.
	Name    string
	Address string
	Region  string
	Log     ReplicatedLog
	Machine *state.Machine
	// BootstrapOperatorKeys holds, by team, the digests of the operator keys that
	// may create the team's first settings.
	BootstrapOperatorKeys map[string][]string
	// PeerClient is the HTTP client for calls to the other control instances.
	PeerClient *http.Client
	// Connect returns a client for the control instance at address. Default: a
	// Twirp client that uses PeerClient.
	Connect  func(address string) API
	Logger   zerolog.Logger
	Metrics  tally.Scope
	Timeline *timeline.Recorder
}

// Server implements api.ControlCommand and api.ControlQuery. It answers calls
// itself while this instance is the leader and forwards them otherwise.
type Server struct {
	cfg       Config
	log       ReplicatedLog
	machine   *state.Machine
	metrics   metrics
	responses responseCache

	mu   sync.Mutex
	term *term       // current term of leadership; nil unless this instance is the leader
	wake wakeup.Flag // set when shard assignments have to be planned
}

var _ API = (*Server)(nil)

type metrics struct {
	renewals, renewalsRefused, responsesBuilt, responsesShared tally.Counter
	settingsAccepted, settingsRefused                          tally.Counter
	sessionsOpened, sessionsExpired, forwarded                 tally.Counter
	invariantViolations                                        tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		renewals:            s.Counter("renewals"),
		renewalsRefused:     s.Counter("renewals_refused"),
		responsesBuilt:      s.Counter("renewal_answers_built"),
		responsesShared:     s.Counter("renewal_answers_shared"),
		settingsAccepted:    s.Counter("settings_accepted"),
		settingsRefused:     s.Counter("settings_refused"),
		sessionsOpened:      s.Counter("sessions_opened"),
		sessionsExpired:     s.Counter("sessions_expired"),
		forwarded:           s.Counter("calls_forwarded"),
		invariantViolations: s.Counter("invariant_violations"),
	}
}

// New returns a Server. It only acts as leader while Run is running.
func New(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Connect == nil {
		cfg.Connect = func(address string) API { return newTwirpClient(address, cfg.PeerClient) }
	}
	return &Server{
		cfg:     cfg,
		log:     cfg.Log,
		machine: cfg.Machine,
		metrics: newMetrics(cfg.Metrics),
		wake:    wakeup.New(),
	}
}

// Run tracks whether this instance is the leader and, while it is, ends expired
// sessions and assigns shards. It returns when ctx is done.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var lastPlan time.Time
	var lastPlanTerm *term
	for {
		_, changed := s.machine.ViewVersion()
		if t := s.followLeadership(ctx); t != nil {
			s.endExpiredSessions(ctx, t)
			if t != lastPlanTerm || time.Since(lastPlan) >= planInterval {
				lastPlan, lastPlanTerm = time.Now(), t
				s.assignShards(ctx, t)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			continue
		case <-changed:
		case <-s.wake.C():
		}
		lastPlan = time.Time{}
		select {
		case <-ctx.Done():
			return
		case <-time.After(planPause):
		}
	}
}

// propose commits a command through the replicated log and returns the message
// that applying it produced.
func (s *Server) propose(ctx context.Context, body *api.StateCommand) (any, error) {
	encoded, err := command.Encode(time.Now(), body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	applied, err := s.log.Propose(ctx, encoded)
	if err != nil {
		return nil, agreementError(err)
	}
	result, ok := applied.Result.(command.Result)
	if !ok {
		return nil, s.invariantViolated("a command's result has the wrong type")
	}
	if result.Err != nil {
		if result.Err.Code == resultcode.InvariantViolation {
			return nil, s.invariantViolated(result.Err.Message)
		}
		return nil, result.Err
	}
	return result.Message, nil
}

// proposeAs is like propose, for a command whose result message has type M.
func proposeAs[M any](ctx context.Context, s *Server, body *api.StateCommand) (M, error) {
	var zero M
	result, err := s.propose(ctx, body)
	if err != nil {
		return zero, err
	}
	m, ok := result.(M)
	if !ok {
		return zero, s.invariantViolated("a command's message has the wrong type")
	}
	return m, nil
}

// invariantViolated counts, logs and records a violated invariant and returns it
// as an error.
func (s *Server) invariantViolated(what string) *resultcode.Error {
	s.metrics.invariantViolations.Inc(1)
	s.cfg.Logger.Error().Int("code", int(resultcode.InvariantViolation)).Msg(what)
	s.cfg.Timeline.Record("invariant_violation", "what", what)
	return resultcode.Newf(resultcode.InvariantViolation, "%s", what)
}
