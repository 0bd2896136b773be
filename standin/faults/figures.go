package faults

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/standin/cluster"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

// Number of repetitions of each measurement, and duration of the load during an
// evacuation, in which a failure domain is taken out of service.
const (
	changeRepeats          = 100
	failoverRepeats        = 10
	handoverRepeats        = 6
	evacuationRepeats      = 5
	evacuationLoadDuration = 4 * time.Second
)

// figures measures how long the system takes to apply changes and to recover.
type figures struct {
	run
	out io.Writer
}

// MeasureFigures runs all measurements on one deployment and prints a line with the
// percentiles of each, in milliseconds.
func MeasureFigures(ctx context.Context, binDir string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "figures")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c, err := cluster.New(cluster.Options{
		BinDir: binDir, Dir: dir, Controls: controls, Entries: entries, Engines: engines, Services: services, Accounts: 2,
		EngineFlags: []string{"-cold-for", "0", "-cold-tokens", "0"},
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	f := &figures{run: run{cluster: c}, out: out}
	if err := f.start(ctx); err != nil {
		return err
	}
	for _, measure := range []func(context.Context) error{f.measureInForce, f.measureEvacuation, f.measureFailover, f.measureHandover} {
		if err := measure(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *figures) printPercentiles(what string, times []time.Duration) {
	slices.Sort(times)
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	fmt.Fprintf(f.out, "%-60s n=%d p50=%d p99=%d max=%d ms\n", what, len(times), ms(times[len(times)/2]),
		ms(times[min(len(times)-1, len(times)*99/100)]), ms(times[len(times)-1]))
}

// measureInForce measures the time from sending a change until it is in force on
// every instance.
func (f *figures) measureInForce(ctx context.Context) error {
	var times []time.Duration
	for range changeRepeats {
		_, d, err := f.cluster.SetInServiceAndWait(ctx, cluster.Locations[1].FailureDomain, true)
		if err != nil {
			return err
		}
		times = append(times, d)
	}
	f.printPercentiles("settings: sent to in force on every instance", times)
	return nil
}

// measureEvacuation measures, under load, the time from the acceptance of a change
// that takes a failure domain out of service until the last generation or call starts
// in that domain; 0 if none starts after the acceptance.
func (f *figures) measureEvacuation(ctx context.Context) error {
	const domain = 1
	var times []time.Duration
	for i := range evacuationRepeats {
		caller := loadgen.NewDirectCaller(cluster.Addresses(f.cluster.Entries), "dakar", "", f.cluster.AccountKeys[0])
		loadCtx, stop := context.WithTimeout(ctx, evacuationLoadDuration+20*time.Second)
		done := make(chan loadgen.Report, 1)
		go func() {
			done <- loadgen.Run(loadCtx, profile(), loadgen.Load{Seed: uint64(i + 1), Duration: evacuationLoadDuration, GenerateRate: 30, ReadRate: 30, WriteRate: 20},
				loadgen.DefaultBounds(), []loadgen.Caller{caller, caller})
		}()
		time.Sleep(time.Second)
		if err := f.cluster.SubmitInService(ctx, cluster.Locations[domain].FailureDomain, false); err != nil {
			stop()
			return err
		}
		accepted := time.Now().UnixMicro()
		time.Sleep(evacuationLoadDuration - time.Second)
		last := f.lastWorkTime(ctx, cluster.Locations[domain].FailureDomain)
		times = append(times, time.Duration(max(0, last-accepted))*time.Microsecond)
		if err := f.cluster.SubmitInService(ctx, cluster.Locations[domain].FailureDomain, true); err != nil {
			stop()
			return err
		}
		<-done
		stop()
		caller.Close()
	}
	f.printPercentiles("failure domain out: accepted to last new work there", times)
	return nil
}

// lastWorkTime returns when the newest generation or call in the failure domain
// started, in wall clock microseconds, or 0 if there was none.
func (f *figures) lastWorkTime(ctx context.Context, domain string) int64 {
	var last int64
	for _, e := range f.engineRecords(ctx) {
		for _, w := range e.Work {
			if e.FailureDomain == domain {
				last = max(last, w.AcceptedAt)
			}
		}
	}
	for _, s := range f.serviceRecords() {
		for _, e := range s.Executions {
			if s.FailureDomain == domain {
				last = max(last, e.At)
			}
		}
	}
	return last
}

// measureFailover measures the time from the kill of the control leader until the
// next change is accepted.
func (f *figures) measureFailover(ctx context.Context) error {
	var times []time.Duration
	for range failoverRepeats {
		leader, err := f.processForCell(ctx, Cell{Role: ControlLeader})
		if err != nil {
			return err
		}
		leader.Kill()
		start := time.Now()
		if err := f.cluster.ApplySettings(ctx); err != nil {
			return err
		}
		times = append(times, time.Since(start))
		if err := leader.Start(); err != nil {
			return err
		}
		if err := f.waitServing(ctx); err != nil {
			return err
		}
	}
	f.printPercentiles("control leader killed: to the next accepted change", times)
	return nil
}

// measureHandover measures the time from the kill of the owner of the engines'
// shard until another entry instance of the region serves a generation.
func (f *figures) measureHandover(ctx context.Context) error {
	var times []time.Duration
	for i := range handoverRepeats {
		owner, err := f.processForCell(ctx, Cell{Role: Owner})
		if err != nil {
			return err
		}
		owner.Kill()
		start := time.Now()
		caller := loadgen.NewDirectCaller(cluster.Addresses(f.cluster.Entries), "dakar", "", f.cluster.AccountKeys[0])
		err = cluster.WaitUntil(ctx, "a generation after the shard owner was killed", func() bool {
			return serves(ctx, caller, fmt.Sprintf("handover-%d-%d", i, time.Now().UnixNano()))
		})
		caller.Close()
		if err != nil {
			return err
		}
		times = append(times, time.Since(start))
		if err := owner.Start(); err != nil {
			return err
		}
		if err := f.waitServing(ctx); err != nil {
			return err
		}
	}
	f.printPercentiles("shard owner killed: to the next generation, read and write", times)
	return nil
}
