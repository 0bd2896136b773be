package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against wrong defaults and against an invalid configuration file that
// is accepted at start.
func TestLoadConfig(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "peer.key")
	assert.NilError(t, os.WriteFile(key, []byte("0123456789abcdef0123456789abcdef\n"), 0o600))
	load := func(rest string) (*config, error) {
		file := filepath.Join(dir, "entry.toml")
		text := fmt.Sprintf("name = \"e1\"\nregion = \"r\"\nfailure_domain = \"a\"\nlisten = \"127.0.0.1:1\"\npeer_key_file = %q\n%s", key, rest)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return loadConfig(file)
	}
	c, err := load(`control_addresses = ["127.0.0.1:2"]`)
	assert.NilError(t, err)
	assert.Equal(t, c.addressTTL(), 5*time.Second)
	assert.Equal(t, c.Limits.MaxRequests, 4096)
	assert.Equal(t, c.Limits.DrainTimeoutMS, 600_000)
	for rest, want := range map[string]string{
		``:                                    "control_addresses",
		`control_addresses = ["localhost:2"]`: "control_addresses",
		"control_addresses = [\"127.0.0.1:2\"]\naddress_ttl_ms = -1":              "address_ttl_ms",
		"control_addresses = [\"127.0.0.1:2\"]\n[limits]\nmax_requests = 2000000": "limits.max_requests",
		"control_addresses = [\"127.0.0.1:2\"]\nunknown = 1":                      "unknown",
	} {
		_, err := load(rest)
		assert.ErrorContains(t, err, want)
	}
}
