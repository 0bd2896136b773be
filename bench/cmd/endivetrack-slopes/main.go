// Command endivetrack-slopes measures how the cost of the control plane grows
// with the size of a deployment and extrapolates it to the full size
// (docs/CAPACITY.md).
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/endivetrack/endivetrack/bench/slopes"
)

// maxRunTime bounds all measurements together.
const maxRunTime = 8 * time.Minute

func main() {
	binDir := flag.String("bin", "bin", "directory of the built programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	if err := slopes.Report(ctx, *binDir, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
