// Command standin-service is a stand-in for a plain service (docs/targets.md).
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/endivetrack/endivetrack/standin/host"
	"github.com/endivetrack/endivetrack/standin/service"
)

func main() {
	var o host.Options
	o.RegisterFlags(flag.CommandLine)
	latency := flag.Duration("latency", 5*time.Millisecond, "duration of each call")
	leaving := flag.Duration("leaving-accept", 3*time.Second, "how long calls are accepted after the target has announced that it leaves")
	flag.Parse()
	c := service.Config{
		Team: o.Team, Service: o.Service, Target: o.Target, Region: o.Region, FailureDomain: o.FailureDomain,
		Seed: o.Seed, Latency: *latency, LeavingAccept: *leaving,
	}
	err := host.Run(o, func(address string, hooks host.Hooks) host.Target {
		return service.New(c, address, service.Hooks(hooks))
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
