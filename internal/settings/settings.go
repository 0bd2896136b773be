// Package settings defines and validates one team's settings: its services, client
// accounts, request classes and failure domains. Parse accepts only complete,
// consistent settings, so that other code can rely on valid references.
package settings

import (
	"time"
)

// Kind determines how the targets of a service are called.
type Kind string

// Kinds of services.
const (
	KindEngine Kind = "engine" // targets are model engines, which stream generations
	KindPlain  Kind = "plain"  // targets are plain HTTP services
)

// Team holds one team's settings. Operators read and change them as a unit.
type Team struct {
	// Team is the team's name; it cannot be changed.
	Team string `toml:"team"`
	// OperatorKeySHA256 lists the digests of the keys that may read and change
	// these settings. At least one is required.
	OperatorKeySHA256 []string `toml:"operator_key_sha256"`

	FailureDomains map[string]FailureDomain `toml:"failure_domains"`
	Services       map[string]Service       `toml:"services"`
	Classes        map[string]Class         `toml:"classes"`
	Accounts       map[string]ClientAccount `toml:"accounts"`
	Policy         Policy                   `toml:"policy"`
}

// FailureDomain is a location in a region whose targets can be taken out of
// service together.
type FailureDomain struct {
	Region string `toml:"region"`
	// InService is false if the domain's targets must get no new work. Default true.
	InService *bool `toml:"in_service"`
}

// Service is a named set of targets that register themselves by announcements.
type Service struct {
	Kind Kind `toml:"kind"`
	// TargetKeySHA256 lists the digests of the keys that targets announce with.
	TargetKeySHA256 []string `toml:"target_key_sha256"`
	// Models lists the models that this service may serve; engine services only.
	Models []string `toml:"models"`
	// Shards is the number of admission shards per region, 1 to 256. Default 1.
	Shards int `toml:"shards"`
	// ProtectedPaths lists path prefixes of calls that must run at most once;
	// plain services only.
	ProtectedPaths []string `toml:"protected_paths"`
	// MaxBodyBytes limits a request body. Default 1 MiB, at most 16 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxInFlight limits concurrent calls to one plain target. Default 32.
	MaxInFlight int `toml:"max_in_flight"`
	// CallTimeoutMS is the timeout of a call to a plain target. Default 10000.
	CallTimeoutMS int `toml:"call_timeout_ms"`
	// DrainedTargets lists the names of targets that get no new work.
	DrainedTargets []string `toml:"drained_targets"`
	// DesiredModels lists models that each engine is ordered to load if missing.
	DesiredModels []string `toml:"desired_models"`
}

// Class is a class of requests with its own priority and limits.
type Class struct {
	// Priority is 0 (lowest) to 9 (highest). Default 5.
	Priority int `toml:"priority"`
	// QueueTimeoutMS is the maximum wait for a permit. Default 10000.
	QueueTimeoutMS int `toml:"queue_timeout_ms"`
	// MaxTokens limits the output of a request in this class. Default 32768.
	MaxTokens int `toml:"max_tokens"`
	// Short marks a class whose outputs have only a few tokens. Its requests do
	// not wait behind long ones.
	Short bool `toml:"short"`
}

// ClientAccount is a caller with its own keys and limits.
type ClientAccount struct {
	KeySHA256 []string `toml:"key_sha256"`
	// Weight is the account's relative share of a contended service. Default 1.
	Weight int `toml:"weight"`
	// RatePerSecond and Burst limit requests. Defaults 100 and 200. The rate is a
	// total over all entry instances; each enforces an equal share.
	RatePerSecond float64 `toml:"rate_per_second"`
	Burst         int     `toml:"burst"`
	// MaxInFlight limits concurrent requests over all entry instances; each
	// enforces an equal share. Default 256.
	MaxInFlight int `toml:"max_in_flight"`
	// DefaultClass is the class of requests that name none.
	DefaultClass string `toml:"default_class"`
	// Services lists the services the account may call; empty means all services of the team.
	Services []string `toml:"services"`
}

// Policy holds the parameters of the team's routing.
type Policy struct {
	// TargetGapMS is the time between tokens, in milliseconds, that admission
	// keeps 95 % of tokens within. Default 31.
	TargetGapMS float64 `toml:"target_gap_ms"`
	// CrossRegionBytesPerSecond limits the traffic of this team's requests on
	// the link between regions. Default 1000000.
	CrossRegionBytesPerSecond int64 `toml:"cross_region_bytes_per_second"`
	// RetryPercent limits the team's retries, in percent of its requests. Default 10.
	RetryPercent int `toml:"retry_percent"`
	// QueueLimit limits waiting requests per shard. Default 4096.
	QueueLimit int `toml:"queue_limit"`
	// MaxConcurrentLoads limits this team's concurrent weight loads. Default 2.
	MaxConcurrentLoads int `toml:"max_concurrent_loads"`
	// ReplayHours is how many hours the response to a protected write is kept for replay. Default 24.
	ReplayHours int `toml:"replay_hours"`
}

// IsInService reports whether the failure domain is in service, which is the
// default.
func (f FailureDomain) IsInService() bool { return f.InService == nil || *f.InService }

// FailureDomainInService reports whether targets in the named failure domain may
// get new work. Unknown failure domains are not in service.
func (t *Team) FailureDomainInService(name string) bool {
	f, ok := t.FailureDomains[name]
	return ok && f.IsInService()
}

// ServiceForModel returns the name of the engine service that serves model, and
// whether there is one.
func (t *Team) ServiceForModel(model string) (string, bool) {
	for name, s := range t.Services {
		for _, m := range s.Models {
			if m == model {
				return name, true
			}
		}
	}
	return "", false
}

// Regions returns the distinct regions of the failure domains, sorted.
func (t *Team) Regions() []string {
	seen := map[string]bool{}
	for _, f := range t.FailureDomains {
		seen[f.Region] = true
	}
	return sortedKeys(seen)
}

// CallTimeout returns CallTimeoutMS as a duration.
func (s Service) CallTimeout() time.Duration {
	return time.Duration(s.CallTimeoutMS) * time.Millisecond
}

// QueueTimeout returns QueueTimeoutMS as a duration.
func (c Class) QueueTimeout() time.Duration {
	return time.Duration(c.QueueTimeoutMS) * time.Millisecond
}
