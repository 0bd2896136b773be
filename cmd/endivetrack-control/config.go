package main

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// maxVoters bounds the first members of the group.
const maxVoters = 7

// config is the configuration file of a control instance.
type config struct {
	process.Config
	// DataDir keeps the log and snapshots. Default: none, the instance follows
	// as a non-voting learner.
	DataDir string `toml:"data_dir"`
	// BootstrapMembers are the first voters, equal on all of them. They count
	// only while the data folder is empty.
	BootstrapMembers []member `toml:"bootstrap_members"`
	// BootstrapOperatorKeySHA256 are digests of operator keys by team. They
	// open a team only until its first settings are accepted.
	BootstrapOperatorKeySHA256 map[string][]string `toml:"bootstrap_operator_key_sha256"`
}

// member is one of the first voters.
type member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// loadConfig reads and checks a configuration file.
func loadConfig(file string) (*config, error) {
	var c config
	if err := process.Load(file, &c); err != nil {
		return nil, err
	}
	if err := c.Check(file); err != nil {
		return nil, err
	}
	if err := c.checkMembers(file); err != nil {
		return nil, err
	}
	for team, digests := range c.BootstrapOperatorKeySHA256 {
		for _, d := range digests {
			if !peerauth.ValidDigest(d) {
				return nil, invalid(file, "bootstrap_operator_key_sha256."+team, d, "must be a lower-case hex SHA-256 digest")
			}
		}
	}
	return &c, nil
}

func (c *config) checkMembers(file string) error {
	if n := len(c.BootstrapMembers); n > maxVoters {
		return invalid(file, "bootstrap_members", "", "at most 7 voters")
	}
	var names []string
	for _, m := range c.BootstrapMembers {
		if m.Name == "" || slices.Contains(names, m.Name) {
			return invalid(file, "bootstrap_members.name", m.Name, "must be present and unique")
		}
		if err := process.CheckAddress(m.Address); err != nil {
			return invalid(file, "bootstrap_members.address", m.Address, err.Error())
		}
		names = append(names, m.Name)
	}
	return nil
}

func invalid(file, key, value, rule string) error {
	return trace.Wrap(resultcode.Newf(resultcode.SettingsInvalid, "%s: key %q: value %q: %s", file, key, value, rule))
}
