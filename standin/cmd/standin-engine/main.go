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
	o.Register(flag.CommandLine)
	models := flag.String("models", "", "models served, separated by commas")
	flag.BoolVar(&c.ChecksFencing, "checks-fencing", true, "refuse orders with an older fencing number")
	flag.IntVar(&c.MaxRunning, "max-running", c.MaxRunning, "sequences in one batch")
	flag.IntVar(&c.MaxWaiting, "max-waiting", c.MaxWaiting, "sequences accepted beyond the batch")
	flag.IntVar(&c.MemoryTokens, "memory-tokens", c.MemoryTokens, "tokens that fit in memory")
	flag.IntVar(&c.CacheBlocks, "cache-blocks", c.CacheBlocks, "prompt prefix blocks kept")
	flag.DurationVar(&c.StepBase, "step-base", c.StepBase, "fixed time of a step")
	flag.DurationVar(&c.StepPerSequence, "step-per-sequence", c.StepPerSequence, "step time per running sequence")
	flag.DurationVar(&c.StepPerKiloToken, "step-per-kilotoken", c.StepPerKiloToken, "step time per 1,000 resident tokens")
	flag.DurationVar(&c.PrefillPerToken, "prefill-per-token", c.PrefillPerToken, "step time per prompt token computed")
	flag.BoolVar(&c.WarmStart, "warm-start", false, "start warm")
	flag.DurationVar(&c.ColdFor, "cold-for", c.ColdFor, "longest cold start; 0 is no bound")
	flag.IntVar(&c.ColdTokens, "cold-tokens", c.ColdTokens, "tokens after which the engine is warm; 0 is no bound")
	flag.IntVar(&c.ColdBearable, "cold-bearable", c.ColdBearable, "sequences that the cold engine bears")
	flag.DurationVar(&c.MeanWarm, "mean-warm", c.MeanWarm, "mean time until the engine turns cold without warning; 0 is never")
	flag.Float64Var(&c.CacheEventLoss, "cache-event-loss", c.CacheEventLoss, "share of cache events that are lost")
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
