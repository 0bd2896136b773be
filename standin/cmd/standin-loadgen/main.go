// Command standin-loadgen sends load to a deployment and writes a JSON report of
// what its callers observed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/standin/loadgen"
)

type options struct {
	profile, entries, keys, out string
	caller                      string
	drain                       time.Duration
	maxTokens                   int
	load                        loadgen.Load
	bounds                      loadgen.Bounds
}

func main() {
	o := options{bounds: loadgen.DefaultBounds()}
	flag.StringVar(&o.profile, "profile", "", "path of the deployment's load.toml")
	flag.StringVar(&o.entries, "entries", "", "comma-separated list of entry instances to resolve addresses from")
	flag.StringVar(&o.keys, "keys", "", "directory with the key of each account in a file account-NAME")
	flag.StringVar(&o.caller, "caller", "both", "direct: plain HTTP calls; client: the client package; both: alternating by account")
	flag.StringVar(&o.out, "out", "", "file for the JSON report")
	flag.Uint64Var(&o.load.Seed, "seed", 1, "random seed of the arrivals")
	flag.DurationVar(&o.load.Duration, "duration", 10*time.Second, "duration of the arrivals")
	flag.DurationVar(&o.drain, "drain", 60*time.Second, "maximum wait for responses after the last arrival")
	flag.Float64Var(&o.load.GenerateRate, "generate-rate", 10, "generations per second")
	flag.Float64Var(&o.load.ReadRate, "read-rate", 10, "reads per second")
	flag.Float64Var(&o.load.WriteRate, "write-rate", 5, "protected writes per second")
	flag.Float64Var(&o.load.RepeatShare, "repeat-share", 0.1, "fraction of writes sent again with the same idempotency key")
	flag.Float64Var(&o.load.BurstFactor, "burst-factor", 2, "factor applied to the rates during bursts")
	flag.DurationVar(&o.load.BurstPeriod, "burst-period", 5*time.Second, "time between the starts of bursts")
	flag.DurationVar(&o.load.BurstLength, "burst-length", time.Second, "duration of a burst")
	flag.IntVar(&o.maxTokens, "max-tokens", 0, "upper limit on the output tokens of every class; 0 keeps the limits of the profile")
	flag.DurationVar(&o.bounds.Gap, "gap", o.bounds.Gap, "maximum time between tokens for a token to count as good")
	flag.DurationVar(&o.bounds.FirstToken, "first-token", o.bounds.FirstToken, "maximum time to the first token for it to count as good")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	p, err := loadgen.LoadProfile(o.profile)
	if err != nil {
		return err
	}
	for i := range p.Classes {
		if o.maxTokens > 0 {
			p.Classes[i].MaxTokens = min(p.Classes[i].MaxTokens, o.maxTokens)
		}
	}
	if o.entries == "" {
		return errors.New("flag -entries is required")
	}
	callers := make([]loadgen.Caller, len(p.Accounts))
	for i, a := range p.Accounts {
		key, err := os.ReadFile(filepath.Join(o.keys, "account-"+a.Name))
		if err != nil {
			return err
		}
		location := p.Locations[i%len(p.Locations)]
		caller, err := newCaller(o, i, location, strings.TrimSpace(string(key)))
		if err != nil {
			return err
		}
		defer caller.Close()
		callers[i] = caller
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.load.Duration+o.drain)
	defer cancel()
	report := loadgen.Run(ctx, p, o.load, o.bounds, callers)
	data, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	if o.out == "" {
		_, err = os.Stdout.Write(append(data, '\n'))
		return err
	}
	return os.WriteFile(o.out, data, 0o644)
}

// closingCaller is a caller whose connections must be closed.
type closingCaller interface {
	loadgen.Caller
	Close()
}

// newCaller returns the caller of account i, of the type selected by -caller.
func newCaller(o options, i int, p loadgen.Location, key string) (closingCaller, error) {
	seeds := strings.Split(o.entries, ",")
	if o.caller == "client" || o.caller == "both" && i%2 == 1 {
		return loadgen.NewClientCaller(seeds, p.Region, p.FailureDomain, key)
	}
	return loadgen.NewDirectCaller(seeds, p.Region, p.FailureDomain, key), nil
}
