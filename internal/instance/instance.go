// Package instance assembles the processes of a deployment whose callers send
// plain HTTP: an entry instance, which serves callers, and a control instance,
// which holds the shared state.
package instance

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/process"
)

// memoryShare is the part of the memory limit at which the collector works
// harder; the rest is for stacks, buffers in the kernel and the C library.
const memoryShare = 0.7

// Common is what every instance is told.
type Common struct {
	Name          string
	Region        string
	FailureDomain string
	// Internal is the address for traffic between instances.
	Internal string
	// Seeds are internal addresses of control instances.
	Seeds []string
	// MemoryBytes bounds the process; 0: unbounded.
	MemoryBytes int64
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// Metrics is the address of the metrics page; empty: none.
	Metrics string
	// Reload returns the seeds of the present settings.
	Reload func() ([]string, error)
}

// limitMemory makes the garbage collector keep to the memory limit.
func (c *Common) limitMemory() {
	if c.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(c.MemoryBytes)))
	}
}

// environment builds the logger, metrics and clients of a process.
func (c *Common) environment() (*process.Env, *process.LogWriter, error) {
	out := process.NewLogWriter(os.Stdout)
	env, err := process.NewEnv(process.Config{Name: c.Name}, out)
	return env, out, err
}

// watchReloads calls reloaded with the seeds whenever SIGHUP arrives.
func (c *Common) watchReloads(ctx context.Context, env *process.Env, reloaded func([]string)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		seeds, err := c.Reload()
		if err != nil {
			env.Log.Error().Err(err).Msg("settings not reloaded")
			continue
		}
		env.Log.Info().Strs("seeds", seeds).Msg("settings reloaded")
		reloaded(seeds)
	}
}

// servers are the HTTP servers of a process.
type servers struct {
	running []*http.Server
	failed  chan error
}

func newServers() *servers { return &servers{failed: make(chan error, 1)} }

// start serves a handler at an address.
func (s *servers) start(ctx context.Context, address string, handler http.Handler, configure func(*http.Server)) error {
	l, err := netconn.Listen(ctx, address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := process.NewServer(handler)
	if configure != nil {
		configure(server)
	}
	s.running = append(s.running, server)
	go func(l net.Listener) {
		if err := server.Serve(l); err != http.ErrServerClosed {
			select {
			case s.failed <- err:
			default:
			}
		}
	}(l)
	return nil
}

// shutdown lets the requests in progress finish until ctx ends, then closes
// what is left.
func (s *servers) shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, server := range s.running {
		wg.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close() // the time is over
			}
		})
	}
	wg.Wait()
}

// InternalAddress is the address for traffic between instances on a host.
func InternalAddress(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}
