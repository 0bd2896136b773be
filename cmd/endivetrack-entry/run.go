package main

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/controlclient"
	"github.com/endivetrack/endivetrack/internal/entry"
	"github.com/endivetrack/endivetrack/internal/entry/command"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/owner"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// run runs an entry instance until ctx is cancelled. The session with the control
// group is closed last, since the graceful stop needs it to hand the shards over.
func run(ctx context.Context, cfg *config) error {
	env, err := process.NewEnv(cfg.Config, os.Stderr)
	if err != nil {
		return trace.Wrap(err)
	}
	defer env.Close()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	controlSession := session.New(session.Config{
		Instance: &api.Instance{
			Name: cfg.Name, Incarnation: stream.RandomID(), Region: cfg.Region,
			FailureDomain: cfg.FailureDomain, Address: cfg.Advertise,
		},
		ControlAddresses: cfg.ControlAddresses,
		PeerClient:       env.PeerClient, Logger: env.Log, Metrics: env.Metrics, Timeline: env.Timeline,
	})
	sessionCtx, closeSession := context.WithCancel(context.Background())
	var sessionLoop sync.WaitGroup
	sessionLoop.Go(func() { controlSession.Run(sessionCtx) })
	defer sessionLoop.Wait()
	defer closeSession()

	control := controlclient.New(controlSession, cfg.ControlAddresses, env.PeerClient)
	shards := owner.New(owner.Config{Source: controlSession, Env: env, Control: control})
	shards.Start()
	defer shards.Stop()
	instance := entry.New(entry.Config{
		Process: cfg.Config, Limits: cfg.Limits, AddressTTL: cfg.addressTTL(),
		Source: controlSession, Control: control, Owner: shards, Env: env,
		Timing: command.DefaultTiming, PermitTiming: permit.DefaultTiming,
	})
	env.Timeline.Record("started")
	return instance.Run(ctx, listener)
}
