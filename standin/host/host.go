// Package host runs a stand-in target as a process: listener, journal,
// announcements, and the planned stop on SIGTERM.
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
	// dieCode is the exit status after the fault "die".
	dieCode = 137
	// leaveTimeout bounds a planned stop.
	leaveTimeout = 2 * time.Minute
)

// Options are the flags that all stand-in targets share.
type Options struct {
	Team, Service, Target, Region, FailureDomain string
	Listen, Entries, KeyFile, Journal            string
	Seed                                         uint64
}

// Register declares the shared flags.
func (o *Options) Register(f *flag.FlagSet) {
	f.StringVar(&o.Team, "team", "", "team that owns the target")
	f.StringVar(&o.Service, "service", "", "service of the target")
	f.StringVar(&o.Target, "target", "", "name of the target")
	f.StringVar(&o.Region, "region", "", "region of the target")
	f.StringVar(&o.FailureDomain, "failure-domain", "", "failure domain of the target")
	f.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port to listen on")
	f.StringVar(&o.Entries, "entries", "", "entry instances to announce to, IP:port separated by commas")
	f.StringVar(&o.KeyFile, "key-file", "", "file with the target key of the service")
	f.StringVar(&o.Journal, "journal", "", "file to which executions are appended as they happen")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of everything drawn at random")
}

// Target is a stand-in that a process hosts.
type Target interface {
	Handler(*netfault.Listener) http.Handler
	Announce(ctx context.Context, entries []string, key string)
	Leave(ctx context.Context)
}

// Hooks are what the process offers to its target.
type Hooks struct {
	Die     func()
	Journal io.Writer
}

// Run hosts the target until SIGTERM or SIGINT.
func Run(o Options, build func(address string, hooks Hooks) Target) error {
	key, err := readKey(o.KeyFile)
	if err != nil {
		return err
	}
	hooks := Hooks{Die: func() { os.Exit(dieCode) }}
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
	return serve(o, build(l.Addr().String(), hooks), netfault.NewListener(l), key)
}

func serve(o Options, target Target, l *netfault.Listener, key string) error {
	stop, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancelStop()
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	if runner, ok := target.(interface{ Run(context.Context) }); ok {
		wg.Go(func() { runner.Run(running) })
	}
	var entries []string
	if o.Entries != "" {
		entries = strings.Split(o.Entries, ",")
	}
	wg.Go(func() { target.Announce(running, entries, key) })
	server := &http.Server{Handler: target.Handler(l), ConnContext: l.ConnContext, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	fmt.Printf("listening on %s\n", l.Addr())
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	leaving, cancelLeaving := context.WithTimeout(running, leaveTimeout)
	defer cancelLeaving()
	target.Leave(leaving)
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
