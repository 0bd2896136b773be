package main

import (
	"slices"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
)

// maxVoters is the maximum number of initial voters in config.Bootstrap.
const maxVoters = 7

// config holds the settings of a control instance's configuration file.
type config struct {
	process.Config
	// DataDir is the folder of the log and snapshots. Without it, the instance
	// follows the group as a learner, which does not vote. Default: none.
	DataDir string `toml:"data_dir"`
	// Bootstrap lists the initial voters, and must be equal on all voters. It
	// is used only while the data folder is empty.
	Bootstrap []bootstrapMember `toml:"bootstrap"`
	// Operators lists the keys that may create a team's initial settings. Once
	// these are accepted, only the operator keys in them give access to the team.
	Operators []teamOperatorKeys `toml:"operators"`
}

// teamOperatorKeys lists the digests of the operator keys that may create a
// team's initial settings.
type teamOperatorKeys struct {
	Team      string   `toml:"team"`
	KeySHA256 []string `toml:"key_sha256"`
}

// bootstrapMember is one of the initial voters of the control group.
type bootstrapMember struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// loadConfig reads and validates a configuration file.
func loadConfig(file string) (*config, error) {
	var c config
	if err := process.DecodeFile(file, &c); err != nil {
		return nil, err
	}
	if err := c.Check(file); err != nil {
		return nil, err
	}
	if err := c.checkBootstrap(file); err != nil {
		return nil, err
	}
	for _, o := range c.Operators {
		if o.Team == "" {
			return nil, process.InvalidSetting(file, "operators.team", o.Team, "must be present")
		}
		for _, d := range o.KeySHA256 {
			if !peerauth.ValidDigest(d) {
				return nil, process.InvalidSetting(file, "operators.key_sha256", d, "must be a lower-case hex SHA-256 digest")
			}
		}
	}
	return &c, nil
}

// agreementConfig returns the configuration of this instance's node in the agreement
// group.
func (c *config) agreementConfig() agreement.Config {
	out := agreement.Config{Name: c.Name, Address: c.Advertise, DataDir: c.DataDir}
	for _, m := range c.Bootstrap {
		out.Bootstrap = append(out.Bootstrap, agreement.Member{Name: m.Name, Address: m.Address, Voter: true})
	}
	return out
}

// operatorKeys returns, by team, the digests of the operator keys that may create
// its initial settings.
func (c *config) operatorKeys() map[string][]string {
	out := map[string][]string{}
	for _, o := range c.Operators {
		out[o.Team] = append(out[o.Team], o.KeySHA256...)
	}
	return out
}

func (c *config) checkBootstrap(file string) error {
	if n := len(c.Bootstrap); n > maxVoters {
		return process.InvalidSetting(file, "bootstrap", "", "at most 7 voters")
	}
	var names []string
	for _, m := range c.Bootstrap {
		if m.Name == "" || slices.Contains(names, m.Name) {
			return process.InvalidSetting(file, "bootstrap.name", m.Name, "must be present and unique")
		}
		if err := process.CheckAddress(m.Address); err != nil {
			return process.InvalidSetting(file, "bootstrap.address", m.Address, err.Error())
		}
		names = append(names, m.Name)
	}
	return nil
}
