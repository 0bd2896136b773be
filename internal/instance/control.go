package instance

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/streamversion"
)

const (
	// replaceVoterAfter is how long a voter must be silent before the same
	// instance, restarted with an empty disk, replaces it. A voter's name is
	// its address, so its former process cannot still be running.
	replaceVoterAfter = 500 * time.Millisecond
	// controlStopTimeout bounds the time to finish calls during shutdown.
	controlStopTimeout = 1500 * time.Millisecond
)

// ControlConfig is the configuration of a control instance.
type ControlConfig struct {
	Common
	DataDir string
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	// AnnouncementInterval is the time between two announcements of a target.
	AnnouncementInterval time.Duration
	// ExtraHandlers returns additional handlers, by the address they listen on.
	ExtraHandlers func(*fleet.Server, zerolog.Logger) map[string]http.Handler
}

// agreementConfig returns the configuration of this instance's node in the
// agreement group. The initial voters are the seeds, named by their addresses. All
// other instances join later.
func (c *ControlConfig) agreementConfig() agreement.Config {
	out := agreement.Config{
		Name: c.InternalAddress, Address: c.InternalAddress, DataDir: c.DataDir, Seeds: c.Seeds,
		ReplaceAfter: replaceVoterAfter, PromoteLearners: true,
	}
	if c.FirstStart && slices.Contains(c.Seeds, c.InternalAddress) {
		for _, seed := range c.Seeds {
			out.Bootstrap = append(out.Bootstrap, agreement.Member{Name: seed, Address: seed, Voter: true})
		}
	}
	return out
}

// RunControl runs a control instance until ctx ends, shuts it down and returns
// nil. It returns earlier if a server fails or the agreement node ends.
func RunControl(ctx context.Context, c ControlConfig) error {
	c.limitMemory()
	env, logOutput, err := c.environment()
	if err != nil {
		return err
	}
	defer logOutput.Close()
	machine := fleet.NewMachine()
	node, err := agreement.Start(c.agreementConfig(), machine, agreement.NewTwirpTransport(env.PeerClient), env)
	if err != nil {
		return trace.Wrap(err)
	}
	defer node.Stop()
	server := fleet.NewServer(fleet.ServerConfig{
		Log: node, Machine: machine, Epoch: peerauth.NewKey()[:16], Address: c.InternalAddress, AnnouncementInterval: c.AnnouncementInterval,
		Region: c.Region, FailureDomain: c.FailureDomain,
		PeerClient: env.PeerClient, Logger: env.Log, Metrics: env.Metrics, Now: time.Now,
	})
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go server.Run(background)
	go c.watchReloads(background, reloadInterval, env, func([]string) {})

	s := newServers()
	internal := http.NewServeMux()
	internal.Handle(agreement.PathPrefix, node.Handler())
	streams := streamversion.NewServer(server.Versions, env.Metrics, time.Now)
	for _, handlers := range []map[string]http.Handler{server.Handlers(), streams.Handlers()} {
		for prefix, handler := range handlers {
			internal.Handle(prefix, handler)
		}
	}
	err = s.start(ctx, c.InternalAddress, env.Timeline.Clock().Middleware(internal), nil)
	for address, handler := range c.ExtraHandlers(server, env.Log) {
		if err == nil {
			err = s.start(ctx, address, handler, nil)
		}
	}
	if err == nil && c.MetricsAddress != "" {
		err = s.start(ctx, c.MetricsAddress, env.MetricsHandler(logOutput), nil)
	}
	if err != nil {
		return err
	}
	env.Log.Info().Str("internal", c.InternalAddress).Strs("seeds", c.Seeds).Bool("first_start", c.FirstStart).Msg("started")
	go logRole(background, node, env.Log)
	select {
	case err := <-s.failed:
		return trace.Wrap(err)
	case <-node.Done():
		return trace.Wrap(node.Err())
	case <-ctx.Done():
	}
	env.Log.Info().Msg("stopping")
	node.Stop()
	stopCtx, cancel := context.WithTimeout(context.Background(), controlStopTimeout)
	defer cancel()
	s.shutdown(stopCtx)
	env.Log.Info().Msg("stopped")
	return nil
}

// logRole logs each change of the node's role, term, leader or number of members
// until ctx ends.
func logRole(ctx context.Context, node *agreement.Node, log zerolog.Logger) {
	var last agreement.Status
	for {
		status, changed := node.StatusChange()
		if status.Role != last.Role || status.Term != last.Term || status.LeaderName != last.LeaderName || len(status.Members) != len(last.Members) {
			log.Info().Str("role", string(status.Role)).Uint64("term", status.Term).Str("leader", status.LeaderName).
				Int("members", len(status.Members)).Uint64("commit", status.CommitIndex).Msg("agreement")
		}
		last = status
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
