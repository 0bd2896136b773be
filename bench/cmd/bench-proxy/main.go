// Command bench-proxy runs a baseline policy in front of the stand-ins.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/endivetrack/endivetrack/bench/baseline"
	"github.com/endivetrack/endivetrack/bench/proxy"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "IP:port to listen on")
	name := flag.String("policy", "least-outstanding", "round-robin, least-outstanding, two-choices or fixed-concurrency")
	limit := flag.Int("limit", 16, "requests per target with fixed-concurrency")
	seed := flag.Uint64("seed", 1, "seed of the policy's random choices")
	flag.Parse()
	policy, ok := map[string]baseline.Policy{
		"round-robin":       &baseline.RoundRobin{},
		"least-outstanding": baseline.LeastOutstanding{},
		"two-choices":       baseline.TwoChoices{},
		"fixed-concurrency": baseline.FixedConcurrency{Limit: *limit},
	}[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown policy %q\n", *name)
		os.Exit(2)
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	server := &http.Server{Handler: proxy.New(policy, *seed, l.Addr().String()).Handler(), ReadHeaderTimeout: 5 * time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(l))
	os.Exit(1)
}
