// Package client implements the protocol of docs/callers.md for callers of an
// endivetrack deployment. It discovers entry instances, resumes broken or
// stalled streams so that each token is delivered at most once, and retries
// requests only where that is safe.
package client

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Defaults of Config, and settings of connections.
const (
	defaultSilenceTimeout = 3 * time.Second
	defaultHeaderTimeout  = 30 * time.Second
	defaultAttempts       = 6
	dialTimeout           = time.Second
	idleTimeout           = time.Minute
	maxIdlePerInstance    = 64
)

// Headers of the protocol between callers and entry instances.
const (
	classHeader    = "X-Endivetrack-Class"
	codeHeader     = "X-Endivetrack-Code"
	idHeader       = "X-Generation-Id"
	keyHeader      = "Idempotency-Key"
	replayedHeader = "X-Endivetrack-Replayed"
)

// Config describes a deployment and the caller that uses it.
type Config struct {
	// Entries are the IP:port of one or more entry instances. Each returns the
	// addresses of all entry instances.
	Entries []string
	// Key is the key of the client account.
	Key string
	// Region and FailureDomain in which the caller runs; both may be empty.
	Region        string
	FailureDomain string
	// Silence is how long a stream may receive nothing before its connection is
	// closed and the stream resumed. Default 3 s.
	Silence time.Duration
	// HeaderTimeout is how long to wait for the header of a response. It must
	// exceed the queue timeouts of all classes in use. Default 30 s.
	HeaderTimeout time.Duration
	// Attempts is the maximum number of times to send a request. Default 6.
	Attempts int
}

// Client calls one deployment. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	// httpNoReuse opens a connection for each call and sends the calls that are
	// not repeatable. If it used an idle connection whose instance has ended or
	// whose path is interrupted, the outcome of the call would be unknown. A
	// failure to connect, on the other hand, proves that nothing ran.
	httpNoReuse  *http.Client
	transport    *http.Transport
	addressCache *addressCache
}

// New returns a client for cfg, which must have an entry address and a key.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 || cfg.Key == "" {
		return nil, errors.New("client: entry addresses and a key are required")
	}
	if cfg.Attempts < 0 {
		return nil, errors.New("client: the number of attempts must not be negative")
	}
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilenceTimeout
	}
	if cfg.HeaderTimeout == 0 {
		cfg.HeaderTimeout = defaultHeaderTimeout
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = defaultAttempts
	}
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ResponseHeaderTimeout: cfg.HeaderTimeout,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   maxIdlePerInstance,
		DisableCompression:    true,
	}
	noReuse := transport.Clone()
	noReuse.DisableKeepAlives = true
	c := &Client{
		cfg: cfg, transport: transport,
		http: &http.Client{Transport: transport}, httpNoReuse: &http.Client{Transport: noReuse},
	}
	c.addressCache = newAddressCache(cfg, c.http)
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
