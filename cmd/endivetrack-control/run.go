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

// stopTimeout limits how long a graceful stop waits for calls in progress. Long
// polls return on their own within 0.5 s.
const stopTimeout = 3 * time.Second

// run runs a control instance until ctx is cancelled or it fails. It opens the
// listener first, so that a port in use is detected before the data folder is
// opened.
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
	node, err := agreement.Start(cfg.agreementConfig(), machine, agreement.NewTwirpTransport(env.PeerClient), env)
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
		PeerClient:            env.PeerClient,
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

// serve serves calls until ctx is cancelled, then waits up to stopTimeout for
// those in progress. A node that stops on its own has had a fatal error, which
// serve returns and which ends the process.
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
