// Package process holds what all binaries share: configuration files, logs,
// metrics, the HTTP server and its shutdown.
package process

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Config is the part of a process's configuration file that entry and control
// instances share.
type Config struct {
	// Name identifies the instance; unique over the deployment.
	Name string `toml:"name"`
	// Region and FailureDomain say where the instance runs.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	// Listen is the IP:port the process listens on.
	Listen string `toml:"listen"`
	// Advertise is the IP:port others connect to. Default: Listen.
	Advertise string `toml:"advertise"`
	// PeerKeyFile holds the shared key of the system's own processes.
	PeerKeyFile string `toml:"peer_key_file"`
	// EventsDir receives the time line file. Default: none, memory only.
	EventsDir string `toml:"events_dir"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `toml:"log_level"`

	// PeerKey is the content of PeerKeyFile.
	PeerKey string `toml:"-"`
}

// Load decodes a TOML configuration file into out and refuses unknown keys.
func Load(file string, out any) error {
	meta, err := toml.DecodeFile(file, out)
	if err != nil {
		return trace.Wrap(resultcode.Newf(resultcode.SettingsMalformed, "%s: %v", file, err))
	}
	if u := meta.Undecoded(); len(u) > 0 {
		return trace.Wrap(resultcode.Newf(resultcode.SettingsUnknownKey, "%s: key %q is unknown", file, u[0].String()))
	}
	return nil
}

// Check validates the shared fields, fills defaults and reads the peer key.
func (c *Config) Check(file string) error {
	for key, v := range map[string]string{"name": c.Name, "region": c.Region, "failure_domain": c.FailureDomain} {
		if v == "" || strings.ContainsAny(v, "/ \t\n") {
			return Invalid(file, key, v, "must be a non-empty word")
		}
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	for key, v := range map[string]string{"listen": c.Listen, "advertise": c.Advertise} {
		if err := CheckAddress(v); err != nil {
			return Invalid(file, key, v, err.Error())
		}
	}
	key, err := os.ReadFile(c.PeerKeyFile)
	if err != nil {
		return Invalid(file, "peer_key_file", c.PeerKeyFile, err.Error())
	}
	c.PeerKey = strings.TrimSpace(string(key))
	if len(c.PeerKey) < peerauth.MinKeyBytes {
		return Invalid(file, "peer_key_file", c.PeerKeyFile, fmt.Sprintf("the key needs at least %d characters", peerauth.MinKeyBytes))
	}
	return nil
}

// CheckAddress accepts only IP:port, since instances find each other by IP
// number.
func CheckAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("must be IP:port")
	}
	return nil
}

// Invalid returns the error for a value of a configuration file that breaks a
// rule.
func Invalid(file, key string, value any, rule string) error {
	return trace.Wrap(resultcode.Newf(resultcode.SettingsInvalid, "%s: key %q: value %q: %s", file, key, fmt.Sprint(value), rule))
}
