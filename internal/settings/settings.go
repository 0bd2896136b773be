// Package settings defines and checks one team's subtree of settings: its
// services, client accounts, request classes and failure domains. Parse accepts
// only a complete, consistent subtree, so that everything behind it can rely on
// references being valid.
package settings

import (
	"time"
)

// Kind says how a service's targets are called.
type Kind string

// Kinds of services.
const (
	KindEngine Kind = "engine" // model engine: streamed generations
	KindPlain  Kind = "plain"  // plain HTTP service
)

// Team is one team's subtree of settings.
type Team struct {
	// Team is the subtree's name; it cannot change.
	Team string `toml:"team"`
	// OperatorKeySHA256 are the digests of keys that may read and change this
	// subtree. At least one.
	OperatorKeySHA256 []string `toml:"operator_key_sha256"`

	FailureDomains map[string]FailureDomain `toml:"failure_domains"`
	Services       map[string]Service       `toml:"services"`
	Classes        map[string]Class         `toml:"classes"`
	Accounts       map[string]ClientAccount `toml:"accounts"`
	Policy         Policy                   `toml:"policy"`
}

// FailureDomain is a place that can be taken out of service as a whole.
type FailureDomain struct {
	Region string `toml:"region"`
	// InService false: no new work goes to targets there. Default true.
	InService *bool `toml:"in_service"`
}

// Service is a named set of targets that announce themselves.
type Service struct {
	Kind Kind `toml:"kind"`
	// TargetKeySHA256 are the digests of keys with which targets announce.
	TargetKeySHA256 []string `toml:"target_key_sha256"`
	// Models that engines of this service may serve; engine services only.
	Models []string `toml:"models"`
	// Shards is the number of admission units per region, 1 to 256. Default 1.
	Shards int `toml:"shards"`
	// ProtectedPaths are path prefixes of calls that may run at most once;
	// plain services only.
	ProtectedPaths []string `toml:"protected_paths"`
	// MaxBodyBytes bounds a request body. Default 1 MiB, at most 16 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxInFlight bounds concurrent calls to one plain target. Default 32.
	MaxInFlight int `toml:"max_in_flight"`
	// CallTimeoutMS bounds one plain call. Default 10000.
	CallTimeoutMS int `toml:"call_timeout_ms"`
	// DrainedTargets get no new work.
	DrainedTargets []string `toml:"drained_targets"`
	// DesiredModels are loaded on each engine by order, if not already there.
	DesiredModels []string `toml:"desired_models"`
}

// Class is a kind of request with its own order of service.
type Class struct {
	// Priority 0 (lowest) to 9 (highest). Default 5.
	Priority int `toml:"priority"`
	// QueueTimeoutMS is how long a request may wait for a permit. Default 10000.
	QueueTimeoutMS int `toml:"queue_timeout_ms"`
	// MaxTokens bounds the output of a request in this class. Default 32768.
	MaxTokens int `toml:"max_tokens"`
	// Short marks classes whose outputs are a few tokens; they do not wait
	// behind long ones.
	Short bool `toml:"short"`
}

// ClientAccount is a caller with its own key and limits.
type ClientAccount struct {
	KeySHA256 []string `toml:"key_sha256"`
	// Weight is the account's share of a contended service. Default 1.
	Weight int `toml:"weight"`
	// RatePerSecond and Burst bound requests. Defaults 100 and 200. The rate
	// holds over all entry instances together; each enforces an equal share.
	RatePerSecond float64 `toml:"rate_per_second"`
	Burst         int     `toml:"burst"`
	// MaxInFlight bounds concurrent requests over all entry instances; each
	// enforces an equal share. Default 256.
	MaxInFlight int `toml:"max_in_flight"`
	// DefaultClass is used when a request names no class.
	DefaultClass string `toml:"default_class"`
	// Services the account may call; empty means all of the team.
	Services []string `toml:"services"`
}

// Policy tunes the team's routing.
type Policy struct {
	// TargetGapMS is the time between tokens that admission keeps for 95 in
	// 100 tokens. Default 31.
	TargetGapMS float64 `toml:"target_gap_ms"`
	// CrossRegionBytesPerSecond bounds what may be spent on the link between
	// regions for requests of this team. Default 1000000.
	CrossRegionBytesPerSecond int64 `toml:"cross_region_bytes_per_second"`
	// RetryPercent bounds retries as a share of requests. Default 10.
	RetryPercent int `toml:"retry_percent"`
	// QueueLimit bounds waiting requests per shard. Default 4096.
	QueueLimit int `toml:"queue_limit"`
	// MaxConcurrentLoads bounds weight loads of this team at one time. Default 2.
	MaxConcurrentLoads int `toml:"max_concurrent_loads"`
	// ReplayHours is how long answers of protected writes are kept. Default 24.
	ReplayHours int `toml:"replay_hours"`
}

// IsInService reports whether operators have the failure domain in service.
func (f FailureDomain) IsInService() bool { return f.InService == nil || *f.InService }

// FailureDomainInService reports whether new work may go to the named failure
// domain. Unknown failure domains are not in service.
func (t *Team) FailureDomainInService(name string) bool {
	f, ok := t.FailureDomains[name]
	return ok && f.IsInService()
}

// ServiceForModel returns the name of the engine service that serves model.
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

// Regions returns the regions named by the failure domains, each once.
func (t *Team) Regions() []string {
	seen := map[string]bool{}
	for _, f := range t.FailureDomains {
		seen[f.Region] = true
	}
	return sortedKeys(seen)
}

// CallTimeout returns the bound of one plain call.
func (s Service) CallTimeout() time.Duration {
	return time.Duration(s.CallTimeoutMS) * time.Millisecond
}

// QueueTimeout returns how long a request of the class may wait.
func (c Class) QueueTimeout() time.Duration {
	return time.Duration(c.QueueTimeoutMS) * time.Millisecond
}
