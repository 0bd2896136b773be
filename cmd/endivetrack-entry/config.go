package main

import (
	"cmp"
	"time"

	"github.com/endivetrack/endivetrack/internal/entry"
	"github.com/endivetrack/endivetrack/internal/process"
)

// Defaults and maximum values of an entry instance's settings.
const (
	defaultAddressTTLMS   = 5_000
	maxAddressTTLMS       = 600_000
	defaultMaxRequests    = 4096
	maxMaxRequests        = 1_000_000
	defaultDrainTimeoutMS = 600_000
	maxDrainTimeoutMS     = 24 * 3_600_000
)

// config holds the settings of an entry instance's configuration file.
type config struct {
	process.Config
	// ControlAddresses are the IP:port of one or more control instances.
	ControlAddresses []string `toml:"control_addresses"`
	// AddressTTLMS is how long callers may cache the list of entry addresses, in
	// milliseconds. Default 5000.
	AddressTTLMS int `toml:"address_ttl_ms"`
	// Limits on the work that the instance accepts.
	Limits entry.Limits `toml:"limits"`
}

// loadConfig reads a configuration file, fills in defaults and validates it.
func loadConfig(file string) (*config, error) {
	var c config
	if err := process.DecodeFile(file, &c); err != nil {
		return nil, err
	}
	if err := c.Check(file); err != nil {
		return nil, err
	}
	c.AddressTTLMS = cmp.Or(c.AddressTTLMS, defaultAddressTTLMS)
	c.Limits.MaxRequests = cmp.Or(c.Limits.MaxRequests, defaultMaxRequests)
	c.Limits.DrainTimeoutMS = cmp.Or(c.Limits.DrainTimeoutMS, defaultDrainTimeoutMS)
	return &c, c.checkEntrySettings(file)
}

func (c *config) checkEntrySettings(file string) error {
	if len(c.ControlAddresses) == 0 {
		return process.InvalidSetting(file, "control_addresses", "[]", "needs at least one address")
	}
	for _, a := range c.ControlAddresses {
		if err := process.CheckAddress(a); err != nil {
			return process.InvalidSetting(file, "control_addresses", a, err.Error())
		}
	}
	for _, v := range []struct {
		key            string
		value, maximum int
	}{
		{"address_ttl_ms", c.AddressTTLMS, maxAddressTTLMS},
		{"limits.max_requests", c.Limits.MaxRequests, maxMaxRequests},
		{"limits.drain_timeout_ms", c.Limits.DrainTimeoutMS, maxDrainTimeoutMS},
	} {
		if v.value < 1 || v.value > v.maximum {
			return process.InvalidSetting(file, v.key, v.value, "must be positive and not exceed the maximum")
		}
	}
	return nil
}

func (c *config) addressTTL() time.Duration { return time.Duration(c.AddressTTLMS) * time.Millisecond }
