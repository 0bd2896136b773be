// Command standin-loadgen sends the load of a deployment and writes a report of
// what its callers saw.
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
	flag.StringVar(&o.profile, "profile", "", "load.toml of the deployment")
	flag.StringVar(&o.entries, "entries", "", "entry instances to ask for addresses, separated by commas")
	flag.StringVar(&o.keys, "keys", "", "folder with the key of each account in a file account-NAME")
	flag.StringVar(&o.caller, "caller", "both", "direct: own HTTP calls; client: the client package; both: in turn by account")
	flag.StringVar(&o.out, "out", "", "file for the JSON report")
	flag.Uint64Var(&o.load.Seed, "seed", 1, "seed of the arrivals")
	flag.DurationVar(&o.load.Duration, "duration", 10*time.Second, "span in which requests arrive")
	flag.DurationVar(&o.drain, "drain", 60*time.Second, "longest wait for answers after the last arrival")
	flag.Float64Var(&o.load.GenerateRate, "generate-rate", 10, "generations per second")
	flag.Float64Var(&o.load.ReadRate, "read-rate", 10, "reads per second")
	flag.Float64Var(&o.load.WriteRate, "write-rate", 5, "protected writes per second")
	flag.Float64Var(&o.load.RepeatShare, "repeat-share", 0.1, "share of writes sent again with the same key")
	flag.Float64Var(&o.load.BurstFactor, "burst-factor", 2, "factor on the rates in bursts")
	flag.DurationVar(&o.load.BurstPeriod, "burst-period", 5*time.Second, "time from burst to burst")
	flag.DurationVar(&o.load.BurstLength, "burst-length", time.Second, "length of a burst")
	flag.IntVar(&o.maxTokens, "max-tokens", 0, "bound on the output of every class, below that of the profile; 0 is none")
	flag.DurationVar(&o.bounds.Gap, "gap", o.bounds.Gap, "time between tokens that is good")
	flag.DurationVar(&o.bounds.FirstToken, "first-token", o.bounds.FirstToken, "time to the first token that is good")
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
		return errors.New("needs -entries")
	}
	callers := make([]loadgen.Caller, len(p.Accounts))
	for i, a := range p.Accounts {
		key, err := os.ReadFile(filepath.Join(o.keys, "account-"+a.Name))
		if err != nil {
			return err
		}
		place := p.Places[i%len(p.Places)]
		caller, err := newCaller(o, i, place, strings.TrimSpace(string(key)))
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

// closingCaller is a caller that keeps connections.
type closingCaller interface {
	loadgen.Caller
	Close()
}

// newCaller returns the caller of account i.
func newCaller(o options, i int, p loadgen.Place, key string) (closingCaller, error) {
	seeds := strings.Split(o.entries, ",")
	if o.caller == "client" || o.caller == "both" && i%2 == 1 {
		return loadgen.NewProduct(seeds, p.Region, p.FailureDomain, key)
	}
	return loadgen.NewDirect(seeds, p.Region, p.FailureDomain, key), nil
}
