// Command bench-proxy serves a baseline policy in front of the stand-in targets,
// in place of the system's entry instances.
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
	policyName := flag.String("policy", "least-outstanding", "round-robin, least-outstanding, two-choices or fixed-concurrency")
	limit := flag.Int("limit", 16, "concurrent requests per target with policy fixed-concurrency")
	seed := flag.Uint64("seed", 1, "seed of the policy's random choices")
	flag.Parse()
	policy, ok := map[string]baseline.Policy{
		"round-robin":       &baseline.RoundRobin{},
		"least-outstanding": baseline.LeastOutstanding{},
		"two-choices":       baseline.TwoChoices{},
		"fixed-concurrency": baseline.FixedConcurrency{Limit: *limit},
	}[*policyName]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown policy %q\n", *policyName)
		os.Exit(2)
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	server := &http.Server{Handler: proxy.New(policy, *seed, listener.Addr().String()).Handler(), ReadHeaderTimeout: 5 * time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	os.Exit(1)
}
