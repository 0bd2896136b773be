// Command standin-soak runs the soak test for a series of seeds, sequentially or
// in parallel, or measures the recovery time after a kill of all processes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/standin/soak"
)

type options struct {
	binDir     string
	seed       uint64
	seeds      int
	minutes    float64
	parallel   int
	seconds    float64
	recoveries int
	size       soak.Size
}

func main() {
	var o options
	flag.StringVar(&o.binDir, "bin", filepath.Dir(os.Args[0]), "directory of the system's programs")
	flag.Uint64Var(&o.seed, "seed", 1, "first seed; each further run increments it")
	flag.IntVar(&o.seeds, "seeds", 1, "number of seeds to run")
	flag.Float64Var(&o.minutes, "minutes", 0, "start runs with further seeds for this long, instead of -seeds")
	flag.IntVar(&o.parallel, "parallel", 1, "number of concurrent deployments")
	flag.Float64Var(&o.seconds, "seconds", 30, "duration of the load of each seed")
	flag.IntVar(&o.recoveries, "recoveries", 0, "measure this number of recoveries from a kill of all processes, instead of running seeds")
	flag.IntVar(&o.size.Controls, "controls", soak.DefaultSize.Controls, "number of control instances in a deployment")
	flag.IntVar(&o.size.Entries, "entries", soak.DefaultSize.Entries, "number of entry instances in a deployment")
	flag.IntVar(&o.size.Targets, "targets", soak.DefaultSize.Targets, "number of targets in a deployment")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.recoveries > 0 {
		return measureRecoveries(o)
	}
	until := time.Now().Add(time.Duration(o.minutes * float64(time.Minute)))
	var mu sync.Mutex
	next, failed, ran := o.seed, 0, 0
	nextSeed := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if o.minutes > 0 && time.Now().After(until) || o.minutes == 0 && next >= o.seed+uint64(o.seeds) {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var all sync.WaitGroup
	for worker := range o.parallel {
		all.Go(func() {
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
				passed := runSeed(o, seed, worker)
				mu.Lock()
				ran++
				if !passed {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	fmt.Printf("soak: seeds=%d failed=%d\n", ran, failed)
	if failed > 0 {
		return fmt.Errorf("%d seeds failed", failed)
	}
	return nil
}

// runSeed runs a seed and reports whether it passed. It prints the outcome with a
// single write, so that the output of parallel runs is not interleaved.
func runSeed(o options, seed uint64, worker int) bool {
	r, err := soak.Run(context.Background(), soak.Options{
		BinDir: o.binDir, Seed: seed, Size: o.size, LoadDuration: time.Duration(o.seconds * float64(time.Second)), NetworkPrefix: soak.NetworkPrefix(worker),
	})
	text := fmt.Sprintf("seed=%d requests=%d whole=%d refused=%d odd=%d recovery=%v disks_lost=%d faults=%v violations=%d %s\n",
		r.Seed, r.Requests, r.Complete, r.Refused, r.OddAnswers, r.RecoveryTime.Round(time.Millisecond), r.DisksLost, r.Faults, len(r.Violations), r.Dir)
	for _, v := range r.Violations {
		text += "  violation: " + v + "\n"
	}
	if len(r.Violations) > 0 {
		text += "  " + r.Host.String() + "\n"
	}
	if err != nil {
		text += "  error: " + err.Error() + "\n"
	}
	fmt.Print(text)
	return err == nil && len(r.Violations) == 0
}

func measureRecoveries(o options) error {
	var mu sync.Mutex
	var took []time.Duration
	var failed error
	var all sync.WaitGroup
	for worker := range o.parallel {
		all.Go(func() {
			times, err := soak.MeasureRecoveries(context.Background(), soak.Options{
				BinDir: o.binDir, Seed: o.seed + uint64(worker), Size: o.size, NetworkPrefix: soak.NetworkPrefix(worker),
			}, o.recoveries/o.parallel)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, times...)
			if err != nil {
				failed = err
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	if len(took) > 0 {
		fmt.Printf("recoveries: runs=%d p50=%v p95=%v worst=%v\n", len(took),
			took[len(took)/2].Round(time.Millisecond), took[len(took)*95/100].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond))
	}
	return failed
}
