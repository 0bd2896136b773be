// Package process contains what all binaries share: configuration files,
// logging, metrics, HTTP servers and clients, and the command line.
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

// Config holds the settings that the configuration files of entry and control
// instances have in common.
type Config struct {
	// Name of the instance; unique within the deployment.
	Name string `toml:"name"`
	// Region and FailureDomain in which the instance runs.
	Region        string `toml:"region"`
	FailureDomain string `toml:"failure_domain"`
	// Listen is the IP:port on which the process listens.
	Listen string `toml:"listen"`
	// Advertise is the IP:port to which others connect. Default: Listen.
	Advertise string `toml:"advertise"`
	// PeerKeyFile is the file with the key that the system's processes share.
	PeerKeyFile string `toml:"peer_key_file"`
	// EventsDir is the folder of the timeline file. Default: events stay in memory.
	EventsDir string `toml:"events_dir"`
	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string `toml:"log_level"`

	// PeerKey is the key read from PeerKeyFile.
	PeerKey string `toml:"-"`
}

// DecodeFile decodes a TOML configuration file into out. It returns SettingsMalformed
// for a file that cannot be read or decoded, SettingsUnknownKey for a key that
// out does not have.
func DecodeFile(file string, out any) error {
	meta, err := toml.DecodeFile(file, out)
	if err != nil {
		return trace.Wrap(resultcode.Newf(resultcode.SettingsMalformed, "%s: %v", file, err))
	}
	if u := meta.Undecoded(); len(u) > 0 {
		return trace.Wrap(resultcode.Newf(resultcode.SettingsUnknownKey, "%s: key %q is unknown", file, u[0].String()))
	}
	return nil
}

// Check validates the shared settings, fills in defaults and reads the peer
// key. Its errors name file, the configuration file.
func (c *Config) Check(file string) error {
	for key, v := range map[string]string{"name": c.Name, "region": c.Region, "failure_domain": c.FailureDomain} {
		if v == "" || strings.ContainsAny(v, "/ \t\n") {
			return InvalidSetting(file, key, v, "must not be empty and must not contain a slash or white space")
		}
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	for key, v := range map[string]string{"listen": c.Listen, "advertise": c.Advertise} {
		if err := CheckAddress(v); err != nil {
			return InvalidSetting(file, key, v, err.Error())
		}
	}
	key, err := os.ReadFile(c.PeerKeyFile)
	if err != nil {
		return InvalidSetting(file, "peer_key_file", c.PeerKeyFile, err.Error())
	}
	c.PeerKey = strings.TrimSpace(string(key))
	if len(c.PeerKey) < peerauth.MinKeyBytes {
		return InvalidSetting(file, "peer_key_file", c.PeerKeyFile, fmt.Sprintf("the key needs at least %d characters", peerauth.MinKeyBytes))
	}
	return nil
}

// CheckAddress returns an error unless s is IP:port. Host names are refused,
// since instances connect to each other by IP address.
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

// InvalidSetting returns a SettingsInvalid error for the value of key in a
// configuration file; rule states the requirement that the value violates.
func InvalidSetting(file, key string, value any, rule string) error {
	return trace.Wrap(resultcode.Newf(resultcode.SettingsInvalid, "%s: key %q: value %q: %s", file, key, fmt.Sprint(value), rule))
}
