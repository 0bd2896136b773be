package process

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
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

// Limits of every HTTP server and idle connection in the system.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Env holds the facilities that the components of one process share.
type Env struct {
	Log      zerolog.Logger
	Metrics  tally.Scope
	Timeline *timeline.Recorder
	// PeerClient is the client for calls to the system's other processes; it adds
	// the peer key and the logical clock to each request.
	PeerClient *http.Client

	metricStore   *metricStore
	metricsCloser io.Closer
}

// logTimeFormat includes milliseconds, so that the lines of several processes
// can be sorted by time.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// setLogTimeFormat sets zerolog's format, which all loggers of the process share.
var setLogTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = logTimeFormat })

// logClockField is the field with the logical clock of a log line.
const logClockField = "clock"

// NewEnv returns the environment for a configuration that Check has validated. Its
// log lines go to out. An unknown log level counts as info. The caller must call
// Close.
func NewEnv(c Config, out io.Writer) (*Env, error) {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil || c.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	setLogTimeFormat()
	clock := timeline.NewClock(time.Now)
	log := zerolog.New(out).Level(level).With().Timestamp().Str("instance", c.Name).Logger().Hook(logClockHook(clock))
	recorder, err := timeline.NewRecorder(clock, c.Name, c.EventsDir)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	store := newMetricStore()
	scope, metricsCloser := tally.NewRootScope(tally.ScopeOptions{Reporter: store, OmitCardinalityMetrics: true}, reportInterval)
	return &Env{
		Log:           log,
		Metrics:       scope,
		Timeline:      recorder,
		PeerClient:    PeerClient(c.PeerKey, clock),
		metricStore:   store,
		metricsCloser: metricsCloser,
	}, nil
}

// logClockHook adds the logical clock to each log line, so that the lines of
// several processes can be sorted with causes before their effects.
func logClockHook(clock *timeline.Clock) zerolog.HookFunc {
	return func(e *zerolog.Event, _ zerolog.Level, _ string) { e.Str(logClockField, clock.Now().String()) }
}

// PeerClient returns an HTTP client for calls to the system's other processes.
func PeerClient(peerKey string, clock *timeline.Clock) *http.Client {
	base := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return netconn.Dial(ctx, address) },
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // saves the Accept-Encoding header, because messages are small and binary

		MaxResponseHeaderBytes: maxPeerHeadBytes,
	}
	return &http.Client{Transport: PeerTransport(peerKey, clock, idleConnectionCloser{base})}
}

// PeerTransport wraps base for calls between the system's processes: it adds
// the peer key and the logical clock, removes the headers that no peer reads, and refuses
// successes of servers that are no peers.
func PeerTransport(peerKey string, clock *timeline.Clock, base http.RoundTripper) http.RoundTripper {
	return headerTrimmer{clock.Transport(peerauth.Transport(peerKey, faultTransport{peerChecker{base}}))}
}

// peerContentType is the content type of every success of a peer.
const peerContentType = "application/protobuf"

// errNotAPeer means that the server at a peer's address is none of the system's processes.
var errNotAPeer = errors.New("the response is not that of a peer")

// Bounds of what is read of a response, in bytes. Another server may run at an address that
// a peer had, and send without end until the connection is closed.
const (
	maxPeerHeadBytes = 64 << 10
	// maxPeerResponseBytes exceeds the largest document that peers send.
	maxPeerResponseBytes = 16 << 20
	// maxPeerErrorBytes bounds the body of a response that is no success.
	maxPeerErrorBytes = 64 << 10
)

// peerChecker bounds the bodies of responses and refuses successes that are not a peer's:
// an empty body of another server decodes as any message.
type peerChecker struct {
	next http.RoundTripper
}

// RoundTrip sends the request and checks the content type of a success. A body over its
// bound ends with an error.
func (t peerChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Content-Type") != peerContentType {
		_ = resp.Body.Close() // an error of Close changes nothing because the response is refused
		return nil, errNotAPeer
	}
	if err == nil {
		limit := int64(maxPeerErrorBytes)
		if resp.StatusCode == http.StatusOK {
			limit = maxPeerResponseBytes
		}
		resp.Body = http.MaxBytesReader(nil, resp.Body, limit)
	}
	return resp, err
}

// headerTrimmer removes the headers that no peer reads. The calls for one
// permit have about 200 bytes of content. With these headers, they take 1.3 kB,
// four fifths of it headers.
type headerTrimmer struct {
	next http.RoundTripper
}

// RoundTrip sends a copy of the request without the headers that no peer reads.
func (t headerTrimmer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header["User-Agent"] = nil
	return t.next.RoundTrip(r)
}

// Prefixes of the fault points in calls to peers; the peer's address follows.
const (
	pointPeerSend    = "peer.send:"    // reached before a request is sent
	pointPeerReceive = "peer.receive:" // reached after a response was received, before it is returned
)

// idleConnectionCloser closes all idle connections after a call that timed out. Several
// pooled connections can stop passing data at once and for good, while new ones
// work. Otherwise the next calls would time out on each of them in turn.
type idleConnectionCloser struct {
	base *http.Transport
}

// RoundTrip sends the request and, after a timeout, empties the pool.
func (t idleConnectionCloser) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.base.CloseIdleConnections()
	}
	return resp, err
}

// faultTransport lets tests drop the requests to, or the responses from, one
// peer. The caller of a dropped call gets no error before its own timeout.
type faultTransport struct {
	next http.RoundTripper
}

// RoundTrip sends the request unless a fault point drops it.
func (t faultTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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

// Counters returns a copy of the totals of all counters.
func (e *Env) Counters() map[string]int64 { return e.metricStore.counterValues() }

// Gauges returns a copy of the latest values of all gauges.
func (e *Env) Gauges() map[string]float64 { return e.metricStore.gaugeValues() }

// Close reports the metrics a last time and closes the timeline.
func (e *Env) Close() error {
	return trace.NewAggregate(e.metricsCloser.Close(), e.Timeline.Close())
}

// faultsPath is the endpoint for fault injection, served in test builds only.
const faultsPath = "/faults"

// NewServer returns an HTTP server for handler with the limits that all
// processes share. In test builds it also serves fault injection.
func NewServer(handler http.Handler) *http.Server {
	if faults := faultpoint.Handler(); faults != nil {
		mux := http.NewServeMux()
		mux.Handle(faultsPath, faults)
		mux.Handle("/", handler)
		handler = mux
	}
	return &http.Server{
		Handler:           netconn.ResetIncomplete(handler),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       netconn.ConnContext,
	}
}

// SignalContext returns a context that the first SIGTERM or SIGINT cancels, to
// request a graceful stop. A second signal exits the process at once with
// status 130.
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
