// Command standin-faults runs the fault matrix on real processes. It exits
// non-zero if a cell fails that is not listed in KNOWN-RED.txt.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/cluster"
	"github.com/endivetrack/endivetrack/standin/faults"
)

type options struct {
	seed     uint64
	minutes  float64
	parallel int
	cell     string
	list     bool
	figures  bool
	knownRed string
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "seed", 1, "random seed of cell order, fault points, injection times and load")
	flag.Float64Var(&o.minutes, "minutes", 2, "duration of the run; 0 runs each single cell once")
	flag.IntVar(&o.parallel, "parallel", 3, "number of concurrent deployments, 15 processes each")
	flag.StringVar(&o.cell, "cell", "", "run only this cell, or two joined by +")
	flag.BoolVar(&o.list, "list", false, "list the cells")
	flag.BoolVar(&o.figures, "figures", false, "measure the times to apply changes and to recover instead")
	flag.StringVar(&o.knownRed, "known-red", "KNOWN-RED.txt", "file that lists known failures")
	flag.Parse()
	if o.list {
		for _, c := range faults.Cells() {
			fmt.Println(c.Name())
		}
		return
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx := context.Background()
	binDir, err := os.MkdirTemp("", "faults-bin")
	if err != nil {
		return err
	}
	defer os.RemoveAll(binDir)
	if err := cluster.Build(ctx, ".", binDir); err != nil {
		return err
	}
	if o.figures {
		return faults.MeasureFigures(ctx, binDir, os.Stdout)
	}
	if o.cell != "" {
		return runCell(ctx, o, binDir)
	}
	known, err := readKnownFailures(o.knownRed)
	if err != nil {
		return err
	}
	m := faults.Matrix{BinDir: binDir, Seed: o.seed, Parallel: o.parallel, KnownFailures: known, Out: os.Stdout}
	if o.minutes > 0 {
		m.Until = time.Now().Add(time.Duration(o.minutes * float64(time.Minute)))
	}
	s := m.Run(ctx)
	fmt.Printf("fault points not reached in %d cells\n", s.NotReached)
	fmt.Printf("faults: cells=%d failed=%d known-red=%d\n", s.Cells, s.Failed, s.KnownFailed)
	if s.Failed > 0 {
		return fmt.Errorf("%d cells failed", s.Failed)
	}
	return nil
}

func runCell(ctx context.Context, o options, binDir string) error {
	cells, err := faults.ParseCells(o.cell)
	if err != nil {
		return err
	}
	r, err := faults.Run(ctx, binDir, o.seed, cells...)
	if err != nil {
		return err
	}
	v := r.Verdict
	fmt.Printf("%s seed=%d reached=%t requests=%d whole=%d refused=%d cut=%d lost=%d read_late=%d broken_streams=%d recovered=%v errors=%v\n",
		r.Name(), r.Seed, r.Reached, v.Requests, v.Complete, v.Refused, v.Cut, v.Lost, v.RanLate, r.BrokenStreams, r.RecoveryTime.Round(time.Millisecond), r.Errors)
	for _, text := range r.Violations {
		fmt.Println("  violation:", text)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d violations", len(r.Violations))
	}
	return nil
}

// readKnownFailures returns the names of the cells listed in file as "cell: NAME".
// A missing file lists none.
func readKnownFailures(file string) (map[string]bool, error) {
	known := map[string]bool{}
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(strings.TrimSpace(lines.Text()), "cell: "); ok {
			known[name] = true
		}
	}
	return known, lines.Err()
}
