// Command standin-engine is a stand-in for an inference engine
// (docs/targets.md).
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/host"
)

func main() {
	var o host.Options
	c := engine.DefaultConfig()
	o.RegisterFlags(flag.CommandLine)
	models := flag.String("models", "", "comma-separated list of the models served")
	flag.BoolVar(&c.ChecksFencing, "checks-fencing", true, "refuse orders with an outdated fencing token")
	flag.IntVar(&c.MaxRunning, "max-running", c.MaxRunning, "maximum number of sequences in a batch")
	flag.IntVar(&c.MaxWaiting, "max-waiting", c.MaxWaiting, "maximum number of sequences waiting for the batch")
	flag.IntVar(&c.MemoryTokens, "memory-tokens", c.MemoryTokens, "capacity of the memory in tokens")
	flag.IntVar(&c.CacheBlocks, "cache-blocks", c.CacheBlocks, "capacity of the prefix cache in blocks")
	flag.DurationVar(&c.StepBase, "step-base", c.StepBase, "fixed duration of a step")
	flag.DurationVar(&c.StepPerSequence, "step-per-sequence", c.StepPerSequence, "additional step duration per running sequence")
	flag.DurationVar(&c.StepPerKiloToken, "step-per-kilotoken", c.StepPerKiloToken, "additional step duration per 1,000 resident tokens")
	flag.DurationVar(&c.PrefillPerToken, "prefill-per-token", c.PrefillPerToken, "additional step duration per prompt token computed")
	flag.BoolVar(&c.WarmStart, "warm-start", false, "start without a cold start")
	flag.DurationVar(&c.ColdFor, "cold-for", c.ColdFor, "maximum duration of a cold start; 0 is unlimited")
	flag.IntVar(&c.ColdTokens, "cold-tokens", c.ColdTokens, "tokens after which a cold start ends; 0 is unlimited")
	flag.IntVar(&c.ColdConcurrency, "cold-bearable", c.ColdConcurrency, "running sequences that a cold engine supports without overload")
	flag.DurationVar(&c.MeanWarm, "mean-warm", c.MeanWarm, "mean time until a warm engine becomes cold without notice; 0 is never")
	flag.Float64Var(&c.CacheEventLoss, "cache-event-loss", c.CacheEventLoss, "fraction of cache events that are lost")
	flag.Parse()
	c.Team, c.Service, c.Target, c.Region, c.FailureDomain = o.Team, o.Service, o.Target, o.Region, o.FailureDomain
	c.Seed = o.Seed
	if *models != "" {
		c.Models = strings.Split(*models, ",")
	}
	err := host.Run(o, func(address string, hooks host.Hooks) host.Target {
		return engine.New(c, address, engine.Hooks(hooks))
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
