package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the property tests to 1 unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}
