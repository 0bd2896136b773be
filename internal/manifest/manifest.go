// Package manifest defines the routing configuration of a deployment whose
// callers send plain HTTP: routes, services, client accounts and limits. A
// manifest is replaced as a whole, and the highest version is in force.
package manifest

import (
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Kind specifies how often a request of a route may be executed.
type Kind int

// Kinds of requests.
const (
	Idempotent    Kind = iota + 1 // the request may be executed more than once
	NonIdempotent                 // the request is executed at most once
	Streaming                     // the response is a stream of events; the request is executed at most once unless the route is resumable
)

// Manifest is one version of the routing configuration.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []ClientAccount
	Limits   Limits
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout bounds how long a caller waits.
	Timeout time.Duration
	// Objective is the latency objective for the complete response or, for a
	// stream, for its first event.
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Split lists the services and their weights.
	Split []Share
	// Unused lists services that the route names without leading there.
	Unused []string
	// MaxAttempts bounds the number of targets that one attempt of a caller may run on.
	MaxAttempts int
	// Public is set if requests need no key.
	Public bool
	// Resumable is set if a new run on another target may continue a stream.
	Resumable bool
	// Regions lists the regions that may serve the route; empty means all.
	Regions []string
}

// Repeatable reports whether a request of the route may be executed more than
// once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  float64
}

// Service is a named set of targets.
type Service struct {
	Name string
	// MaxConns bounds the connections to one target, summed over all instances.
	MaxConns int
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the request rate that a cold target can sustain.
	ColdPerSecond float64
	// Engine describes the targets if they are model engines, and is nil if not.
	Engine *Engine
}

// Engine describes the targets of a service that generate tokens.
type Engine struct {
	// Slots is the number of requests that run concurrently on one target.
	Slots int
	// MemoryTokens is the capacity for prompts and generations, in tokens.
	MemoryTokens int
	// BytesPerToken and LinkMbps determine the time to copy a run between targets.
	BytesPerToken int
	LinkMbps      float64
	// Moves and Backups specify which orders the engines accept.
	Moves, Backups bool
}

// maxCopyTime bounds CopyTime, so that no manifest makes it overflow.
const maxCopyTime = 24 * time.Hour

// CopyTime returns the time to copy the memory of the given number of tokens
// over the engine's link; 0 if the speed of the link is not known.
func (e *Engine) CopyTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(e.BytesPerToken) * 8 / (e.LinkMbps * 1e6)
	return time.Duration(min(seconds, maxCopyTime.Seconds()) * float64(time.Second))
}

// ClientAccount is a customer and its API keys.
type ClientAccount struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions lists the regions that may serve the account; empty means all.
	Regions []string
}

// Limits bounds callers' requests and connections. Zero means that the manifest
// sets no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate returns an error with code SettingsInvalid if any part of the
// manifest is invalid.
func (m *Manifest) Validate() error {
	services := map[string]bool{}
	for _, s := range m.Services {
		if s.Name == "" || services[s.Name] {
			return invalidError("service %q: the name must be present and unique", s.Name)
		}
		services[s.Name] = true
	}
	locations := map[string]bool{}
	for i := range m.Routes {
		r := &m.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		location := strings.ToLower(r.Host) + r.PathPrefix
		if locations[location] {
			return invalidError("route %q: another route has the same host and path prefix", r.Name)
		}
		locations[location] = true
	}
	return m.validateAccounts()
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalidError("route %q: the prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	case r.Kind < Idempotent || r.Kind > Streaming:
		return invalidError("route %q: unknown kind", r.Name)
	case r.Timeout <= 0:
		return invalidError("route %q: the timeout must be positive", r.Name)
	}
	total := 0.0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalidError("route %q: unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalidError("route %q: negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalidError("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (m *Manifest) validateAccounts() error {
	accountOf := map[string]string{}
	for _, a := range m.Accounts {
		for _, k := range a.Keys {
			if other, ok := accountOf[k]; ok && other != a.Name { // ValidateNew refuses more
				return invalidError("client accounts %q and %q share a key", other, a.Name)
			}
			accountOf[k] = a.Name
		}
	}
	return nil
}

// invalidError returns an error with code SettingsInvalid.
func invalidError(format string, args ...any) error {
	return resultcode.Newf(resultcode.SettingsInvalid, format, args...)
}
