// Command endivetrack-slopes measures how control's cost grows with size and
// extrapolates it to the target size (docs/CAPACITY.md).
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/endivetrack/endivetrack/bench/slopes"
)

// maxRunTime bounds a whole run.
const maxRunTime = 8 * time.Minute

func main() {
	binDir := flag.String("bin", "bin", "folder with the built programs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	if err := slopes.Report(ctx, *binDir, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
