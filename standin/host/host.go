// Package host runs a stand-in target as a process. It provides the listener, the
// journal, the announcements and the planned stop on SIGTERM.
package host

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/standin/netfault"
)

const (
	// dieExitCode is the exit status after an injected crash (fault "die").
	dieExitCode = 137
	// leaveTimeout limits how long Target.Leave may take in a planned stop.
	leaveTimeout = 2 * time.Minute
)

// Options holds the command line flags common to all stand-in targets.
type Options struct {
	Team, Service, Target, Region, FailureDomain string
	Listen, Entries, KeyFile, Journal            string
	Seed                                         uint64
}

// RegisterFlags defines the common flags on f.
func (o *Options) RegisterFlags(f *flag.FlagSet) {
	f.StringVar(&o.Team, "team", "", "team that the target belongs to")
	f.StringVar(&o.Service, "service", "", "service that the target belongs to")
	f.StringVar(&o.Target, "target", "", "name of the target")
	f.StringVar(&o.Region, "region", "", "region of the target")
	f.StringVar(&o.FailureDomain, "failure-domain", "", "failure domain of the target")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(&o.Entries, "entries", "", "entry instances to announce to, IP:port separated by commas")
	f.StringVar(&o.KeyFile, "key-file", "", "file with the target key of the service")
	f.StringVar(&o.Journal, "journal", "", "file to which each execution is appended")
	f.Uint64Var(&o.Seed, "seed", 1, "random seed")
}

// Target is a stand-in target that Run hosts. If it has a method
// Run(context.Context), this method runs in the background until Leave has returned.
type Target interface {
	Handler(*netfault.Listener) http.Handler
	Announce(ctx context.Context, entries []string, key string)
	Leave(ctx context.Context)
}

// Hooks are the process functions that a target may use: Die exits the process at
// once, and Journal, if not nil, is the journal file.
type Hooks struct {
	Die     func()
	Journal io.Writer
}

// Run builds a target with the address that it listens on, and announces and serves
// it until SIGTERM or SIGINT. Then it calls the target's Leave method and ends.
func Run(o Options, build func(address string, hooks Hooks) Target) error {
	key, err := readKey(o.KeyFile)
	if err != nil {
		return err
	}
	hooks := Hooks{Die: func() { os.Exit(dieExitCode) }}
	if o.Journal != "" {
		f, err := os.OpenFile(o.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		hooks.Journal = f
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	listener, err := netfault.NewListener(l)
	if err != nil {
		return err
	}
	return serve(o, build(l.Addr().String(), hooks), listener, key)
}

func serve(o Options, target Target, l *netfault.Listener, key string) error {
	stopCtx, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	if runner, ok := target.(interface{ Run(context.Context) }); ok {
		wg.Go(func() { runner.Run(runCtx) })
	}
	var entries []string
	if o.Entries != "" {
		entries = strings.Split(o.Entries, ",")
	}
	wg.Go(func() { target.Announce(runCtx, entries, key) })
	server := &http.Server{Handler: target.Handler(l), ConnContext: l.ConnContext, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	fmt.Printf("listening on %s\n", l.Addr())
	select {
	case err := <-failed:
		return err
	case <-stopCtx.Done():
	}
	leaveCtx, cancelLeave := context.WithTimeout(runCtx, leaveTimeout)
	defer cancelLeave()
	target.Leave(leaveCtx)
	cancel()
	wg.Wait()
	if err := server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	return strings.TrimSpace(string(data)), err
}
