// Package manifest is the routing configuration of a deployment whose callers
// send plain HTTP: routes, services, client accounts and limits, replaced as a
// whole. The highest version is in force.
package manifest

import (
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Kind says how often a request of a route may run.
type Kind int

// Kinds of requests.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once
	Streaming                     // a stream of events; runs at most once unless the route is resumable
)

// Manifest is one version of the configuration.
type Manifest struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []ClientAccount
	Limits   Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency objective: of the whole answer, or of the first
	// event of a stream.
	Objective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Split lists the services with their weights.
	Split []Share
	// MaxAttempts bounds the targets that one caller attempt may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target by a new run.
	Resumable bool
	// Regions are the only regions that may serve the route; empty: all.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Service is a named set of targets.
type Service struct {
	Name string
	// MaxConns bounds the connections to one target, summed over all instances.
	MaxConns int
	// ColdFor is how long a target that has just started is cold.
	ColdFor time.Duration
	// ColdPerSecond is the request rate that a cold target bears.
	ColdPerSecond float64
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the targets of a service that generate tokens.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// MemoryTokens is the memory for prompts and generations, in tokens.
	MemoryTokens int
	// BytesPerToken and LinkMbps give the time of a copy between targets.
	BytesPerToken int
	LinkMbps      float64
	// Moves and Backups say which orders the engines take.
	Moves, Backups bool
}

// CopyTime is how long the memory of some tokens takes over an engine's link.
func (e *Engine) CopyTime(tokens int) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens*e.BytesPerToken*8) / (e.LinkMbps * 1e6) * float64(time.Second))
}

// ClientAccount is a customer with its keys.
type ClientAccount struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the only regions that may serve the account; empty: all.
	Regions []string
}

// Limits bound what a caller may send. Zero means unbounded.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate refuses a manifest that cannot be put in force as a whole.
func (m *Manifest) Validate() error {
	services := map[string]bool{}
	for _, s := range m.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service %q: the name must be present and unique", s.Name)
		}
		services[s.Name] = true
	}
	places := map[string]bool{}
	for i := range m.Routes {
		r := &m.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.PathPrefix
		if places[place] {
			return invalid("route %q: another route has its host and prefix", r.Name)
		}
		places[place] = true
	}
	return m.validateAccounts()
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return invalid("route %q: the prefix %q must begin and end with a slash", r.Name, r.PathPrefix)
	case r.Kind < Idempotent || r.Kind > Streaming:
		return invalid("route %q: unknown kind", r.Name)
	case r.Timeout <= 0:
		return invalid("route %q: the timeout must be positive", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return invalid("route %q: unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q: negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (m *Manifest) validateAccounts() error {
	holder := map[string]string{}
	for _, a := range m.Accounts {
		for _, k := range a.Keys {
			if other, ok := holder[k]; ok && other != a.Name {
				return invalid("client accounts %q and %q share a key", other, a.Name)
			}
			holder[k] = a.Name
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return resultcode.Newf(resultcode.SettingsInvalid, format, args...)
}
