// Package control serves the calls of entry instances and operators to the
// control group. The leader keeps the timing of session leases in memory, ends
// sessions and assigns shards; the other instances forward calls to it once.
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
)

// Times of leases. LeaseDuration counts at the entry instance from the moment
// it sent the request; sessionExpiry counts at the leader from the moment it
// built the answer. Clocks may differ in rate by 1.1 at most.
const (
	LeaseDuration = 2 * time.Second
	sessionExpiry = LeaseDuration * 11 / 10
	// contactBound is how old the quorum's answer may be when the leader builds
	// an answer to a renewal.
	contactBound = 500 * time.Millisecond
	// takeOverGrace is how long the former leader may have gone on answering
	// after this one was elected: contactBound on a slow clock.
	takeOverGrace = contactBound * 11 / 10
)

// Times of the server's own work.
const (
	maxRenewWait   = 500 * time.Millisecond
	maxInForceWait = 10 * time.Second
	proposeTimeout = 2 * time.Second
	tickInterval   = 50 * time.Millisecond
	// planInterval is how often assignments are planned without a known cause.
	planInterval = time.Second
	// planPause lets acknowledgements of one change gather before the next
	// plan of assignments.
	planPause = 5 * time.Millisecond
	// inForceInterval is how often a waiting InForce looks again.
	inForceInterval = 20 * time.Millisecond
)

// Log is what the server needs of the agreement group's node.
type Log interface {
	Propose(ctx context.Context, command []byte) (agreement.Applied, error)
	QuorumContact() time.Time
	ReadBarrier(ctx context.Context) (uint64, error)
	Status() agreement.Status
	AddLearner(ctx context.Context, m agreement.Member) error
	Promote(ctx context.Context, incarnation, replaces string) error
	Remove(ctx context.Context, incarnation string) error
}

var _ Log = (*agreement.Node)(nil)

// Calls are what a control instance serves.
type Calls interface {
	api.ControlCommand
	api.ControlQuery
}

// Config is what a Server is built of.
type Config struct {
	// Name, Address and Region are this instance's.
	Name    string
	Address string
	Region  string
	Log     Log
	Machine *state.Machine
	// BootstrapOperatorKeys are digests of keys, by team, that may create the
	// team's first settings.
	BootstrapOperatorKeys map[string][]string
	// Peers calls the other control instances.
	Peers *http.Client
	// Connect returns the calls of another control instance. Default: twirp
	// over Peers.
	Connect  func(address string) Calls
	Logger   zerolog.Logger
	Metrics  tally.Scope
	Timeline *timeline.Recorder
}

// Server implements api.ControlCommand and api.ControlQuery.
type Server struct {
	cfg     Config
	log     Log
	machine *state.Machine
	metrics metrics
	answers answerCache

	mu   sync.Mutex
	term *term // nil unless this instance leads
	kick chan struct{}
}

var _ Calls = (*Server)(nil)

type metrics struct {
	renewals, renewalsRefused, answersBuilt, answersShared tally.Counter
	settingsAccepted, settingsRefused                      tally.Counter
	sessionsOpened, sessionsExpired, forwarded             tally.Counter
	invariantViolations                                    tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		renewals:            s.Counter("renewals"),
		renewalsRefused:     s.Counter("renewals_refused"),
		answersBuilt:        s.Counter("renewal_answers_built"),
		answersShared:       s.Counter("renewal_answers_shared"),
		settingsAccepted:    s.Counter("settings_accepted"),
		settingsRefused:     s.Counter("settings_refused"),
		sessionsOpened:      s.Counter("sessions_opened"),
		sessionsExpired:     s.Counter("sessions_expired"),
		forwarded:           s.Counter("calls_forwarded"),
		invariantViolations: s.Counter("invariant_violations"),
	}
}

// New returns a server; Run must run for it to lead.
func New(cfg Config) *Server {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Connect == nil {
		cfg.Connect = func(address string) Calls { return twirpCalls(address, cfg.Peers) }
	}
	return &Server{
		cfg:     cfg,
		log:     cfg.Log,
		machine: cfg.Machine,
		metrics: newMetrics(cfg.Metrics),
		kick:    make(chan struct{}, 1),
	}
}

// Run follows the node's leadership, ends expired sessions and assigns shards
// until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var planned time.Time
	var planTerm *term
	for {
		_, changed := s.machine.ViewVersion()
		if t := s.followLeadership(ctx); t != nil {
			s.endExpiredSessions(ctx, t)
			if t != planTerm || time.Since(planned) >= planInterval {
				planned, planTerm = time.Now(), t
				s.assignShards(ctx, t)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			continue
		case <-changed:
		case <-s.kick:
		}
		planned = time.Time{}
		select {
		case <-ctx.Done():
			return
		case <-time.After(planPause):
		}
	}
}

// wakeLoop asks for a plan of assignments soon.
func (s *Server) wakeLoop() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// propose commits one command and returns its message.
func (s *Server) propose(ctx context.Context, body *api.StateCommand) (any, error) {
	encoded, err := command.Encode(time.Now(), body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	applied, err := s.log.Propose(ctx, encoded)
	if err != nil {
		return nil, logError(err)
	}
	result, ok := applied.Result.(command.Result)
	if !ok {
		return nil, s.violated("a command's result has the wrong type")
	}
	if result.Err != nil {
		if result.Err.Code == resultcode.InvariantViolation {
			return nil, s.violated(result.Err.Message)
		}
		return nil, result.Err
	}
	return result.Message, nil
}

// proposeFor commits a command whose message has type M.
func proposeFor[M any](ctx context.Context, s *Server, body *api.StateCommand) (M, error) {
	var none M
	result, err := s.propose(ctx, body)
	if err != nil {
		return none, err
	}
	m, ok := result.(M)
	if !ok {
		return none, s.violated("a command's message has the wrong type")
	}
	return m, nil
}

// violated counts and records a checked invariant that does not hold.
func (s *Server) violated(what string) *resultcode.Error {
	s.metrics.invariantViolations.Inc(1)
	s.cfg.Logger.Error().Int("code", int(resultcode.InvariantViolation)).Msg(what)
	s.cfg.Timeline.Record("invariant_violation", "what", what)
	return resultcode.Newf(resultcode.InvariantViolation, "%s", what)
}
