package fleet

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
)

const (
	sweepInterval = 200 * time.Millisecond
	// proposeTimeout bounds one attempt to commit a change or to read the state.
	// It is less than the 1 s after which callers try another control instance.
	proposeTimeout = 900 * time.Millisecond
)

// ReplicatedLog is one member's interface to the agreement group's replicated log.
type ReplicatedLog interface {
	Propose(ctx context.Context, command []byte) (agreement.Applied, error)
	ReadBarrier(ctx context.Context) (uint64, error)
	Status() agreement.Status
}

// Server publishes the fleet's state on a control instance: it commits changes,
// receives announcements and answers the polls of watchers.
type Server struct {
	log           ReplicatedLog
	machine       *Machine
	registry      *Registry
	watchers      *Watchers
	versions      *versionKeeper
	commits       backgroundCommits
	epoch         string
	address       string // this instance's address for calls from other instances
	region        string
	failureDomain string
	peerClient    *http.Client
	logger        zerolog.Logger
	metrics       tally.Scope
	now           func() time.Time
	started       time.Time
}

// ServerConfig holds the settings and dependencies of a Server.
type ServerConfig struct {
	Log     ReplicatedLog
	Machine *Machine
	// Epoch identifies this run of the process; cursors from other runs are invalid.
	Epoch string
	// Address is the internal address of this instance.
	Address string
	// Region and FailureDomain are the location of this instance.
	Region, FailureDomain string
	// AnnouncementInterval is the time between two announcements of a target.
	AnnouncementInterval time.Duration
	PeerClient           *http.Client
	Logger               zerolog.Logger
	Metrics              tally.Scope
	Now                  func() time.Time
}

// NewServer returns a Server with no announcements. Run must be called for
// silent targets to be detected.
func NewServer(c ServerConfig) *Server {
	s := &Server{
		log: c.Log, machine: c.Machine, epoch: c.Epoch, address: c.Address, region: c.Region, failureDomain: c.FailureDomain, peerClient: c.PeerClient,
		logger: c.Logger, metrics: c.Metrics, now: c.Now, started: c.Now(),
		registry: NewRegistry(c.AnnouncementInterval, c.Now),
		watchers: NewWatchers(c.Now),
	}
	s.versions, s.commits.server = newVersionKeeper(s), s
	return s
}

// Handlers returns the handlers for calls from other instances, by path prefix.
func (s *Server) Handlers() map[string]http.Handler {
	return map[string]http.Handler{
		api.FleetQueryPathPrefix:   api.NewFleetQueryServer(s),
		api.FleetCommandPathPrefix: api.NewFleetCommandServer(s),
	}
}

// Versions returns the software versions that targets of a service have announced to this
// instance, or to another one that relayed them.
func (s *Server) Versions(service string) []string { return s.registry.Versions(service) }

// Run sweeps the announcements for silent targets until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.registry.Sweep()
			s.versions.sweep(ctx)
			s.forgetQuarantines(ctx)
		}
	}
}

// EntryInstances returns the entry instances that currently accept callers. The
// caller must not modify the list.
func (s *Server) EntryInstances() []Watcher {
	live, _ := s.watchers.EntryInstances()
	return live
}

// Commit replicates and applies an encoded change. If it returns nil, the change
// is durable.
func (s *Server) Commit(ctx context.Context, command []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	applied, err := s.log.Propose(ctx, command)
	if err != nil {
		return err
	}
	if failed, ok := applied.Result.(error); ok {
		return failed
	}
	return nil
}

// ReadState returns a state that includes every change acknowledged before the
// call. It fails if the group does not confirm the read barrier in time.
func (s *Server) ReadState(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	state, _ := s.machine.State()
	return state, nil
}

// Leader returns the internal address of the leader. It reports false if this
// instance is the leader or no leader is known.
func (s *Server) Leader() (string, bool) {
	status := s.log.Status()
	return status.LeaderAddress, status.LeaderAddress != "" && status.LeaderAddress != s.address
}

// leads reports whether this instance leads the group.
func (s *Server) leads() bool { return s.log.Status().LeaderAddress == s.address }

// controlAddresses returns the internal addresses of all control instances,
// including this one, sorted.
func (s *Server) controlAddresses() []string {
	var out []string
	for _, m := range s.log.Status().Members {
		out = append(out, m.Address)
	}
	if !slices.Contains(out, s.address) {
		out = append(out, s.address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
