package process

import (
	"context"
	"errors"
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

	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// Bounds of every HTTP server of the system.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
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

// logTimeFormat gives log lines milliseconds, so that those of several
// processes can be put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// logClockField holds the logical clock of a log line.
const logClockField = "clock"

// NewEnv builds the environment for a checked configuration.
func NewEnv(c Config, out io.Writer) (*Env, error) {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil || c.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = logTimeFormat
	clock := timeline.NewClock(time.Now)
	log := zerolog.New(out).Level(level).With().Timestamp().Str("instance", c.Name).Logger().Hook(stampLines(clock))
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

// stampLines adds the logical clock to each log line, so that the lines of
// several processes can be put in one order.
func stampLines(clock *timeline.Clock) zerolog.HookFunc {
	return func(e *zerolog.Event, _ zerolog.Level, _ string) { e.Str(logClockField, clock.Now().String()) }
}

// PeerClient returns an HTTP client for calls to the system's processes.
func PeerClient(peerKey string, clock *timeline.Clock) *http.Client {
	base := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return netconn.Dial(ctx, address) },
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // small binary messages; spares a header
	}
	return &http.Client{Transport: PeerTransport(peerKey, clock, freshAfterTimeout{base})}
}

// PeerTransport adds what calls between the system's processes carry to a
// transport: the peer key, the logical clock and no more headers than needed.
func PeerTransport(peerKey string, clock *timeline.Clock, base http.RoundTripper) http.RoundTripper {
	return leanHeaders{clock.Transport(peerauth.Transport(peerKey, peerFaults{base}))}
}

// leanHeaders drops the headers that no peer reads. A permit's calls carry
// about 200 bytes of content; headers were four fifths of their 1.3 kB.
type leanHeaders struct {
	next http.RoundTripper
}

// RoundTrip sends the request without optional headers.
func (t leanHeaders) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header["User-Agent"] = nil
	return t.next.RoundTrip(r)
}

// Fault points of calls to peers; the peer's address follows the prefix.
const (
	pointPeerSend    = "peer.send:"    // before the request leaves
	pointPeerReceive = "peer.receive:" // after the answer came, before it is used
)

// freshAfterTimeout closes the idle connections after a call that timed out.
// Connections can go silent for good while new ones work, and several of the
// pool go silent together; the next call must not try them one by one.
type freshAfterTimeout struct {
	base *http.Transport
}

// RoundTrip makes the call.
func (t freshAfterTimeout) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.base.CloseIdleConnections()
	}
	return resp, err
}

// peerFaults lets tests cut the way to or from one peer. A cut is silent: the
// caller learns of it by its own timeout only.
type peerFaults struct {
	next http.RoundTripper
}

// RoundTrip passes both fault points.
func (t peerFaults) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := faultpoint.Hit(faultpoint.Point(pointPeerSend + r.URL.Host)); err != nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := faultpoint.Hit(faultpoint.Point(pointPeerReceive + r.URL.Host)); err != nil {
		_ = resp.Body.Close()
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return resp, nil
}

// Counters returns the totals of all counters, for the metrics page.
func (e *Env) Counters() map[string]int64 { return e.totals.counterValues() }

// Gauges returns the last value of all gauges.
func (e *Env) Gauges() map[string]float64 { return e.totals.gaugeValues() }

// Close flushes metrics and closes the time line.
func (e *Env) Close() error {
	return trace.NewAggregate(e.close.Close(), e.Timeline.Close())
}

// faultsPath serves fault injection; test builds only.
const faultsPath = "/faults"

// NewServer returns an HTTP server with the bounds that all processes share.
func NewServer(handler http.Handler) *http.Server {
	if faults := faultpoint.Handler(); faults != nil {
		mux := http.NewServeMux()
		mux.Handle(faultsPath, faults)
		mux.Handle("/", handler)
		handler = mux
	}
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
