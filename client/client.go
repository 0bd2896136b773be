// Package client calls an endivetrack deployment as docs/callers.md describes:
// it asks for addresses, resumes broken or silent streams so that each token is
// delivered at most once, and sends a request again on its own only where that
// is safe.
package client

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Defaults of Config.
const (
	defaultSilence       = 3 * time.Second
	defaultHeaderTimeout = 30 * time.Second
	defaultAttempts      = 6
	dialTimeout          = time.Second
	idleTimeout          = time.Minute
	idlePerInstance      = 64
)

// Headers of the protocol.
const (
	classHeader    = "X-Endivetrack-Class"
	codeHeader     = "X-Endivetrack-Code"
	idHeader       = "X-Generation-Id"
	keyHeader      = "Idempotency-Key"
	replayedHeader = "X-Endivetrack-Replayed"
)

// Config describes a deployment and its caller.
type Config struct {
	// Entries are the IP:port of some entry instances; they are asked for the
	// addresses to use. At least one.
	Entries []string
	// Key is the client account's key.
	Key string
	// Region and FailureDomain are the caller's own place; both may be empty.
	Region        string
	FailureDomain string
	// Silence is how long a stream may carry nothing before it is abandoned
	// and resumed. Default 3 s.
	Silence time.Duration
	// HeaderTimeout is how long to wait for the beginning of an answer; it must
	// exceed the queue timeouts of the classes used. Default 30 s.
	HeaderTimeout time.Duration
	// Attempts bounds how often one request is sent. Default 6.
	Attempts int
}

// Client calls one deployment. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
	// fresh opens a connection for each call. A call that may not be sent
	// again must not go out on an idle connection: when the instance has gone
	// or the path has lost the connection, its outcome would be unknown, while
	// a new connection that is refused proves that nothing ran.
	fresh     *http.Client
	transport *http.Transport
	addresses *addresses
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 || cfg.Key == "" {
		return nil, errors.New("client: entry addresses and a key are required")
	}
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilence
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
		MaxIdleConnsPerHost:   idlePerInstance,
		DisableCompression:    true,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	c := &Client{
		cfg: cfg, transport: transport,
		http: &http.Client{Transport: transport}, fresh: &http.Client{Transport: single},
	}
	c.addresses = newAddresses(cfg, c.http)
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
