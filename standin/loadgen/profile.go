package loadgen

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// LoadProfile reads a deployment's load file. Unknown keys and missing locations,
// classes, accounts or paths are errors.
func LoadProfile(file string) (Profile, error) {
	var p Profile
	meta, err := toml.DecodeFile(file, &p)
	if err != nil {
		return p, fmt.Errorf("%s: %w", file, err)
	}
	if u := meta.Undecoded(); len(u) > 0 {
		return p, fmt.Errorf("%s: key %q is unknown", file, u[0].String())
	}
	if len(p.Locations) == 0 || len(p.Classes) == 0 || len(p.Accounts) == 0 || len(p.ReadPaths) == 0 || len(p.WritePaths) == 0 {
		return p, fmt.Errorf("%s: needs places, classes, accounts, read_paths and write_paths", file)
	}
	return p, nil
}
