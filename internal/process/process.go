package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// Bounds of every HTTP server of the system.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	peerDialTimeout   = time.Second
)

// Env is what a process hands to its parts.
type Env struct {
	Log      zerolog.Logger
	Metrics  tally.Scope
	Timeline *timeline.Recorder
	// Peers calls the other processes of the system: it adds the peer key and
	// the logical clock.
	Peers *http.Client

	totals *totals
	close  io.Closer
}

// NewEnv builds the environment for a checked configuration.
func NewEnv(c Config, out io.Writer) (*Env, error) {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil || c.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(out).Level(level).With().Timestamp().Str("instance", c.Name).Logger()
	clock := timeline.NewClock(time.Now)
	recorder, err := timeline.NewRecorder(clock, c.Name, c.EventsDir)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	totals := newTotals()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: totals, OmitCardinalityMetrics: true}, reportInterval)
	return &Env{
		Log:      log,
		Metrics:  scope,
		Timeline: recorder,
		Peers:    PeerClient(c.PeerKey, clock),
		totals:   totals,
		close:    closer,
	}, nil
}

// PeerClient returns an HTTP client for calls to the system's processes.
func PeerClient(peerKey string, clock *timeline.Clock) *http.Client {
	base := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{Transport: clock.Transport(peerauth.Transport(peerKey, base))}
}

// Counters returns the totals of all counters, for the metrics page.
func (e *Env) Counters() map[string]int64 { return e.totals.counterValues() }

// Gauges returns the last value of all gauges.
func (e *Env) Gauges() map[string]float64 { return e.totals.gaugeValues() }

// Close flushes metrics and closes the time line.
func (e *Env) Close() error {
	return trace.NewAggregate(e.close.Close(), e.Timeline.Close())
}

// NewServer returns an HTTP server with the bounds that all processes share.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// SignalContext is cancelled by the first SIGTERM or SIGINT, which ask for a
// planned stop; a second one ends the process at once.
func SignalContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(130)
	}()
	return ctx, cancel
}
