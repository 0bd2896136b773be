package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Limits on a team's settings, checked by Parse before the settings are accepted.
const (
	MaxBytes          = 1 << 20
	maxAccounts       = 10_000
	maxServices       = 256
	maxFailureDomains = 64
	maxShards         = 256
	maxBodyBytes      = 16 << 20
	maxPriority       = 9
	maxTokensLimit    = 1 << 20
)

// Defaults of keys whose zero is a value of its own.
const (
	defaultPriority     = 5
	defaultRetryPercent = 10
)

// namePattern matches valid names of teams, services, accounts, targets and other
// named settings.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether s is a valid name of a team, service, account or
// target: 1 to 63 lower-case letters, digits, dots, underscores and hyphens, where
// the first character is a letter or digit.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Parse decodes a team's settings from TOML, applies the defaults and validates
// the result. file is the name of the source in error messages. Errors have a
// result code and, as far as known, name the file, the key and the invalid value.
func Parse(file string, text []byte) (*Team, error) {
	if len(text) > MaxBytes {
		return nil, resultcode.Newf(resultcode.SettingsInvalid, "%s: %d bytes, at most %d", file, len(text), MaxBytes)
	}
	var t Team
	meta, err := toml.Decode(string(text), &t)
	if err != nil {
		return nil, decodeError(file, err)
	}
	if undecoded := meta.Undecoded(); len(undecoded) > 0 {
		return nil, resultcode.Newf(resultcode.SettingsUnknownKey, "%s: key %q is unknown", file, undecoded[0].String())
	}
	t.applyDefaults(meta)
	if err := (&checker{file: file}).checkTeam(&t); err != nil {
		return nil, err
	}
	return &t, nil
}

func decodeError(file string, err error) error {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return resultcode.Newf(resultcode.SettingsMalformed, "%s: line %d: key %q: %s", file, parseErr.Position.Line, parseErr.LastKey, parseErr.Message)
	}
	return resultcode.Newf(resultcode.SettingsMalformed, "%s: %v", file, err)
}

// applyDefaults sets the values that meta does not define. A zero is a value of its own
// where it is in range.
func (t *Team) applyDefaults(meta toml.MetaData) {
	for name, s := range t.Services {
		s.Shards = cmp.Or(s.Shards, 1)
		s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, 1<<20)
		s.MaxInFlight = cmp.Or(s.MaxInFlight, 32)
		s.CallTimeoutMS = cmp.Or(s.CallTimeoutMS, 10_000)
		t.Services[name] = s
	}
	for name, c := range t.Classes {
		c.QueueTimeoutMS = cmp.Or(c.QueueTimeoutMS, 10_000)
		c.MaxTokens = cmp.Or(c.MaxTokens, 32_768)
		if !meta.IsDefined("classes", name, "priority") {
			c.Priority = defaultPriority
		}
		t.Classes[name] = c
	}
	for name, a := range t.Accounts {
		a.Weight = cmp.Or(a.Weight, 1)
		a.RatePerSecond = cmp.Or(a.RatePerSecond, 100)
		a.Burst = cmp.Or(a.Burst, 200)
		a.MaxInFlight = cmp.Or(a.MaxInFlight, 256)
		t.Accounts[name] = a
	}
	p := &t.Policy
	p.TargetGapMS = cmp.Or(p.TargetGapMS, 31)
	p.CrossRegionBytesPerSecond = cmp.Or(p.CrossRegionBytesPerSecond, 1_000_000)
	if !meta.IsDefined("policy", "retry_percent") {
		p.RetryPercent = defaultRetryPercent
	}
	p.QueueLimit = cmp.Or(p.QueueLimit, 4096)
	p.MaxConcurrentLoads = cmp.Or(p.MaxConcurrentLoads, 2)
	p.ReplayHours = cmp.Or(p.ReplayHours, 24)
}

// checker validates settings. Its methods return an error for the first violation
// that they find. The error names the file, the key and the value.
type checker struct {
	file string
}

func (c *checker) invalidError(key string, value any, rule string) error {
	return resultcode.Newf(resultcode.SettingsInvalid, "%s: key %q: value %q: %s", c.file, key, fmt.Sprint(value), rule)
}

func (c *checker) checkRange(key string, v, lo, hi float64) error {
	if v < lo || v > hi || v != v {
		return c.invalidError(key, v, fmt.Sprintf("must be from %v to %v", lo, hi))
	}
	return nil
}

func (c *checker) checkDigests(key string, ds []string, required bool) error {
	if required && len(ds) == 0 {
		return c.invalidError(key, "", "needs at least one SHA-256 digest")
	}
	for _, d := range ds {
		if !peerauth.ValidDigest(d) {
			return c.invalidError(key, d, "must be a lower-case hex SHA-256 digest")
		}
	}
	return nil
}

func (c *checker) checkNames(prefix string, names []string, maxNames int) error {
	if len(names) > maxNames {
		return c.invalidError(prefix, len(names), fmt.Sprintf("at most %d entries", maxNames))
	}
	for _, n := range names {
		if !ValidName(n) {
			return c.invalidError(prefix, n, "must match "+namePattern.String())
		}
	}
	return nil
}

func (c *checker) checkTeam(t *Team) error {
	return firstError(
		func() error { return c.checkNames("team", []string{t.Team}, 1) },
		func() error { return c.checkDigests("operator_key_sha256", t.OperatorKeySHA256, true) },
		func() error { return c.checkFailureDomains(t) },
		func() error { return c.checkServices(t) },
		func() error { return c.checkClasses(t) },
		func() error { return c.checkAccounts(t) },
		func() error { return c.checkPolicy(t.Policy) },
	)
}

func (c *checker) checkFailureDomains(t *Team) error {
	names := sortedKeys(t.FailureDomains)
	if len(names) == 0 {
		return c.invalidError("failure_domains", "", "needs at least one")
	}
	if err := c.checkNames("failure_domains", names, maxFailureDomains); err != nil {
		return err
	}
	for _, n := range names {
		if err := c.checkNames("failure_domains."+n+".region", []string{t.FailureDomains[n].Region}, 1); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkServices(t *Team) error {
	names := sortedKeys(t.Services)
	if err := c.checkNames("services", names, maxServices); err != nil {
		return err
	}
	serviceOf := map[string]string{}
	for _, n := range names {
		if err := c.checkService("services."+n, t.Services[n]); err != nil {
			return err
		}
		for _, m := range t.Services[n].Models {
			if other, taken := serviceOf[m]; taken {
				return c.invalidError("services."+n+".models", m, "already served by service "+other)
			}
			serviceOf[m] = n
		}
	}
	return nil
}

func (c *checker) checkService(key string, s Service) error {
	if s.Kind != KindEngine && s.Kind != KindPlain {
		return c.invalidError(key+".kind", s.Kind, `must be "engine" or "plain"`)
	}
	if s.Kind == KindEngine && len(s.Models) == 0 {
		return c.invalidError(key+".models", "", "an engine service needs at least one model")
	}
	if s.Kind == KindEngine && len(s.ProtectedPaths) > 0 {
		return c.invalidError(key+".protected_paths", s.ProtectedPaths[0], "only plain services have protected paths")
	}
	for _, p := range s.ProtectedPaths {
		if !strings.HasPrefix(p, "/") {
			return c.invalidError(key+".protected_paths", p, "must start with /")
		}
	}
	for _, m := range s.DesiredModels {
		if !slices.Contains(s.Models, m) {
			return c.invalidError(key+".desired_models", m, "is not in models")
		}
	}
	return firstError(
		func() error { return c.checkDigests(key+".target_key_sha256", s.TargetKeySHA256, true) },
		func() error { return c.checkNames(key+".models", s.Models, maxServices) },
		func() error { return c.checkNames(key+".drained_targets", s.DrainedTargets, 4096) },
		func() error { return c.checkRange(key+".shards", float64(s.Shards), 1, maxShards) },
		func() error { return c.checkRange(key+".max_body_bytes", float64(s.MaxBodyBytes), 1, maxBodyBytes) },
		func() error { return c.checkRange(key+".max_in_flight", float64(s.MaxInFlight), 1, 100_000) },
		func() error { return c.checkRange(key+".call_timeout_ms", float64(s.CallTimeoutMS), 1, 600_000) },
	)
}

func (c *checker) checkClasses(t *Team) error {
	names := sortedKeys(t.Classes)
	if err := c.checkNames("classes", names, 256); err != nil {
		return err
	}
	for _, n := range names {
		cl, key := t.Classes[n], "classes."+n
		err := firstError(
			func() error { return c.checkRange(key+".priority", float64(cl.Priority), 0, maxPriority) },
			func() error { return c.checkRange(key+".queue_timeout_ms", float64(cl.QueueTimeoutMS), 1, 600_000) },
			func() error { return c.checkRange(key+".max_tokens", float64(cl.MaxTokens), 1, maxTokensLimit) },
		)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkAccounts(t *Team) error {
	names := sortedKeys(t.Accounts)
	if err := c.checkNames("accounts", names, maxAccounts); err != nil {
		return err
	}
	accountOf := map[string]string{}
	for _, n := range names {
		if err := c.checkAccount(t, n, t.Accounts[n]); err != nil {
			return err
		}
		for _, d := range t.Accounts[n].KeySHA256 {
			if other, taken := accountOf[d]; taken {
				return c.invalidError("accounts."+n+".key_sha256", d, "is also the key of account "+other)
			}
			accountOf[d] = n
		}
	}
	return nil
}

func (c *checker) checkAccount(t *Team, name string, a ClientAccount) error {
	key := "accounts." + name
	if _, ok := t.Classes[a.DefaultClass]; !ok {
		return c.invalidError(key+".default_class", a.DefaultClass, "is not a class")
	}
	for _, s := range a.Services {
		if _, ok := t.Services[s]; !ok {
			return c.invalidError(key+".services", s, "is not a service")
		}
	}
	return firstError(
		func() error { return c.checkDigests(key+".key_sha256", a.KeySHA256, true) },
		func() error { return c.checkRange(key+".weight", float64(a.Weight), 1, 1000) },
		func() error { return c.checkRange(key+".rate_per_second", a.RatePerSecond, 0.001, 1e6) },
		func() error { return c.checkRange(key+".burst", float64(a.Burst), 1, 1e6) },
		func() error { return c.checkRange(key+".max_in_flight", float64(a.MaxInFlight), 1, 1e6) },
	)
}

func (c *checker) checkPolicy(p Policy) error {
	return firstError(
		func() error { return c.checkRange("policy.target_gap_ms", p.TargetGapMS, 1, 10_000) },
		func() error {
			return c.checkRange("policy.cross_region_bytes_per_second", float64(p.CrossRegionBytesPerSecond), 1, 1e12)
		},
		func() error { return c.checkRange("policy.retry_percent", float64(p.RetryPercent), 0, 100) },
		func() error { return c.checkRange("policy.queue_limit", float64(p.QueueLimit), 1, 1_000_000) },
		func() error {
			return c.checkRange("policy.max_concurrent_loads", float64(p.MaxConcurrentLoads), 1, 1000)
		},
		func() error { return c.checkRange("policy.replay_hours", float64(p.ReplayHours), 1, 8760) },
	)
}

func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
