package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/control"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/state"
)

// stopTimeout bounds how long a planned stop waits for calls in progress. Long
// polls end by themselves within 0.5 s.
const stopTimeout = 3 * time.Second

// run starts the instance's parts. The listener comes first, so that a port
// that is taken is found before the data folder is touched.
func run(ctx context.Context, cfg *config) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	defer listener.Close()
	env, err := process.NewEnv(cfg.Config, os.Stderr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer env.Close()
	machine := state.New()
	node, err := agreement.Start(cfg.agreement(), machine, agreement.NewTwirpTransport(env.Peers), env)
	if err != nil {
		return trace.Wrap(err)
	}
	defer node.Stop()
	server := control.New(control.Config{
		Name:                  cfg.Name,
		Address:               cfg.Advertise,
		Region:                cfg.Region,
		Log:                   node,
		Machine:               machine,
		BootstrapOperatorKeys: cfg.operatorKeys(),
		Peers:                 env.Peers,
		Logger:                env.Log,
		Metrics:               env.Metrics,
		Timeline:              env.Timeline,
	})
	env.Timeline.Record("started")
	handler := server.Handler(env, peerauth.Digest(cfg.PeerKey), map[string]http.Handler{
		agreement.PathPrefix: node.Handler(),
	})
	err = serve(ctx, listener, process.NewServer(handler), server, node)
	env.Timeline.Record("stopped")
	return err
}

// serve runs until ctx ends, then lets the calls in progress finish. A node
// that stops by itself has met a fatal error, which ends the process.
func serve(ctx context.Context, l net.Listener, httpServer *http.Server, server *control.Server, node *agreement.Node) error {
	loopCtx, stopLoop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { server.Run(loopCtx) })
	defer wg.Wait()
	defer stopLoop()
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(l) }()
	select {
	case err := <-serveErr:
		return trace.Wrap(err)
	case <-node.Done():
		return trace.Wrap(node.Err())
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := httpServer.Shutdown(stopCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return trace.Wrap(err)
	}
	return nil
}
