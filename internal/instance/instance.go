// Package instance assembles and runs the processes of a deployment whose
// callers send plain HTTP: entry instances, which serve callers, and control
// instances, which hold the shared state.
package instance

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/process"
)

// heapMemoryShare is the part of the memory limit above which the garbage
// collector runs more often. The rest is for stacks, kernel buffers and the C
// library.
const heapMemoryShare = 0.7

// Common is the configuration that entry and control instances share.
type Common struct {
	Name          string
	Region        string
	FailureDomain string
	// InternalAddress is this instance's address for traffic between instances.
	InternalAddress string
	// Seeds are the internal addresses of configured control instances.
	Seeds []string
	// MemoryBytes is the memory limit of the process; 0 means no limit.
	MemoryBytes int64
	// Grace is the time from the stop signal to the forced end of the process.
	Grace time.Duration
	// MetricsAddress is the address of the metrics endpoint; empty disables it.
	MetricsAddress string
	// Reload reads the settings again and returns their seeds.
	Reload func() ([]string, error)
}

// limitMemory sets the garbage collector's soft limit from MemoryBytes.
func (c *Common) limitMemory() {
	if c.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(c.MemoryBytes)))
	}
}

// environment creates the process's logger, metrics and clients. The caller must
// close the returned LogWriter.
func (c *Common) environment() (*process.Env, *process.LogWriter, error) {
	logOutput := process.NewLogWriter(os.Stdout)
	env, err := process.NewEnv(process.Config{Name: c.Name}, logOutput)
	return env, logOutput, err
}

// reloadInterval is the time between two readings of the settings without a signal: the
// platform may change them without one.
const reloadInterval = 5 * time.Second

// reloads receives SIGHUP from the first moment of the process on: without a receiver the
// signal would end it.
var reloads = func() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}()

// watchReloads reads the settings again on each SIGHUP and every interval and calls setSeeds
// if the seeds have changed, until ctx ends. If a reload fails, the old seeds stay in use.
func (c *Common) watchReloads(ctx context.Context, interval time.Duration, env *process.Env, setSeeds func([]string)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	current, failed := c.Seeds, false
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			signaled = true
		case <-ticker.C:
		}
		seeds, err := c.Reload()
		if err != nil {
			if signaled || !failed {
				env.Log.Error().Err(err).Msg("settings not reloaded")
			}
			failed = true
			continue
		}
		failed = false
		changed := !slices.Equal(seeds, current)
		if signaled || changed {
			env.Log.Info().Strs("seeds", seeds).Bool("signaled", signaled).Msg("settings reloaded")
		}
		if changed {
			setSeeds(seeds)
			current = seeds
		}
	}
}

// servers is the set of HTTP servers of a process. The first error that ends a
// server is sent to failed.
type servers struct {
	started []*http.Server
	failed  chan error
}

func newServers() *servers { return &servers{failed: make(chan error, 1)} }

// start listens on an address and serves the handler in the background. If
// configure is not nil, it is called before the server starts.
func (s *servers) start(ctx context.Context, address string, handler http.Handler, configure func(*http.Server)) error {
	listener, err := netconn.Listen(ctx, address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := process.NewServer(handler)
	if configure != nil {
		configure(server)
	}
	s.started = append(s.started, server)
	go func(listener net.Listener) {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			select {
			case s.failed <- err:
			default:
			}
		}
	}(listener)
	return nil
}

// shutdown stops all servers gracefully. Connections that are still in use when
// ctx ends are closed.
func (s *servers) shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, server := range s.started {
		wg.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close() // ctx ended before the requests in progress did
			}
		})
	}
	wg.Wait()
}

// InternalAddress joins a host and the port for traffic between instances.
func InternalAddress(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}
