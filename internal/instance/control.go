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
)

const (
	// replaceAfter is how long a voter must be silent before the same
	// instance, back with an empty disk, takes its place. The address is the
	// name, so the old incarnation cannot run any more.
	replaceAfter = 500 * time.Millisecond
	// controlStop bounds how long a stopping control instance finishes calls.
	controlStop = 1500 * time.Millisecond
)

// ControlConfig is what a control instance is told.
type ControlConfig struct {
	Common
	DataDir string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart bool
	// Interval is the time between two announcements of a target.
	Interval time.Duration
	// Serve returns the handlers of further addresses.
	Serve func(*fleet.Server, zerolog.Logger) map[string]http.Handler
}

// agreement returns the configuration of the group's node. The first voters
// are the seeds, named by their addresses; every other instance joins.
func (c *ControlConfig) agreement() agreement.Config {
	out := agreement.Config{
		Name: c.Internal, Address: c.Internal, DataDir: c.DataDir, Seeds: c.Seeds,
		ReplaceAfter: replaceAfter, PromoteLearners: true,
	}
	if c.FirstStart && slices.Contains(c.Seeds, c.Internal) {
		for _, seed := range c.Seeds {
			out.Bootstrap = append(out.Bootstrap, agreement.Member{Name: seed, Address: seed, Voter: true})
		}
	}
	return out
}

// RunControl serves until ctx ends.
func RunControl(ctx context.Context, c ControlConfig) error {
	c.limitMemory()
	env, out, err := c.environment()
	if err != nil {
		return err
	}
	defer out.Close()
	machine := fleet.NewMachine()
	node, err := agreement.Start(c.agreement(), machine, agreement.NewTwirpTransport(env.Peers), env)
	if err != nil {
		return trace.Wrap(err)
	}
	defer node.Stop()
	server := fleet.NewServer(fleet.ServerConfig{
		Log: node, Machine: machine, Epoch: peerauth.NewKey()[:16], Address: c.Internal, Interval: c.Interval,
		Region: c.Region, FailureDomain: c.FailureDomain,
		Peers: env.Peers, Logger: env.Log, Metrics: env.Metrics, Now: time.Now,
	})
	loops, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	go server.Run(loops)
	go c.watchReloads(loops, env, func([]string) {})

	s := newServers()
	internal := http.NewServeMux()
	internal.Handle(agreement.PathPrefix, node.Handler())
	for prefix, handler := range server.Handlers() {
		internal.Handle(prefix, handler)
	}
	err = s.start(ctx, c.Internal, env.Timeline.Clock().Middleware(internal), nil)
	for address, handler := range c.Serve(server, env.Log) {
		if err == nil {
			err = s.start(ctx, address, handler, nil)
		}
	}
	if err == nil && c.Metrics != "" {
		err = s.start(ctx, c.Metrics, env.MetricsHandler(out), nil)
	}
	if err != nil {
		return err
	}
	env.Log.Info().Str("internal", c.Internal).Strs("seeds", c.Seeds).Bool("first_start", c.FirstStart).Msg("started")
	go logRole(loops, node, env.Log)
	select {
	case err := <-s.failed:
		return trace.Wrap(err)
	case <-node.Done():
		return trace.Wrap(node.Err())
	case <-ctx.Done():
	}
	env.Log.Info().Msg("stopping")
	node.Stop()
	end, cancel := context.WithTimeout(context.Background(), controlStop)
	defer cancel()
	s.shutdown(end)
	env.Log.Info().Msg("stopped")
	return nil
}

// logRole writes a line for each change of the node's role.
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
