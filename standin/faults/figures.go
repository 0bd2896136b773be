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

// Repetitions of each figure.
const (
	changeRepeats   = 100
	failoverRepeats = 10
	handoverRepeats = 6
	outRepeats      = 5
	outLasts        = 4 * time.Second
)

// figures measures how long the system takes to obey and to recover.
type figures struct {
	run
	out io.Writer
}

// Figures measures on one deployment and prints a line for each figure: times
// in milliseconds.
func Figures(ctx context.Context, binDir string, out io.Writer) error {
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
	for _, measure := range []func(context.Context) error{f.inForce, f.failureDomainOut, f.failover, f.handover} {
		if err := measure(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *figures) print(what string, times []time.Duration) {
	slices.Sort(times)
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	fmt.Fprintf(f.out, "%-60s n=%d p50=%d p99=%d max=%d ms\n", what, len(times), ms(times[len(times)/2]),
		ms(times[min(len(times)-1, len(times)*99/100)]), ms(times[len(times)-1]))
}

// inForce measures from sending a change to its being in force everywhere.
func (f *figures) inForce(ctx context.Context) error {
	var times []time.Duration
	for range changeRepeats {
		_, d, err := f.cluster.SetInService(ctx, cluster.Places[1].FailureDomain, true)
		if err != nil {
			return err
		}
		times = append(times, d)
	}
	f.print("settings: sent to in force on every instance", times)
	return nil
}

// failureDomainOut measures from the acceptance of "out of service" to the
// last new work there, under load; 0 when none came after it.
func (f *figures) failureDomainOut(ctx context.Context) error {
	const domain = 1
	var times []time.Duration
	for i := range outRepeats {
		caller := loadgen.NewDirect(cluster.Addresses(f.cluster.Entries), "dakar", "", f.cluster.AccountKeys[0])
		loadCtx, stop := context.WithTimeout(ctx, outLasts+20*time.Second)
		done := make(chan loadgen.Report, 1)
		go func() {
			done <- loadgen.Run(loadCtx, profile(), loadgen.Load{Seed: uint64(i + 1), Duration: outLasts, GenerateRate: 30, ReadRate: 30, WriteRate: 20},
				loadgen.DefaultBounds(), []loadgen.Caller{caller, caller})
		}()
		time.Sleep(time.Second)
		if err := f.cluster.SetAccepted(ctx, cluster.Places[domain].FailureDomain, false); err != nil {
			stop()
			return err
		}
		accepted := time.Now().UnixMicro()
		time.Sleep(outLasts - time.Second)
		last := f.lastWorkIn(ctx, cluster.Places[domain].FailureDomain)
		times = append(times, time.Duration(max(0, last-accepted))*time.Microsecond)
		if err := f.cluster.SetAccepted(ctx, cluster.Places[domain].FailureDomain, true); err != nil {
			stop()
			return err
		}
		<-done
		stop()
		caller.Close()
	}
	f.print("failure domain out: accepted to last new work there", times)
	return nil
}

func (f *figures) lastWorkIn(ctx context.Context, domain string) int64 {
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

// failover measures from the kill of the leader to the next accepted change.
func (f *figures) failover(ctx context.Context) error {
	var times []time.Duration
	for range failoverRepeats {
		leader, err := f.processOf(ctx, Cell{Role: ControlLeader})
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
	f.print("control leader killed: to the next accepted change", times)
	return nil
}

// handover measures from the kill of the engines' shard owner until another
// entry instance of the region serves a generation.
func (f *figures) handover(ctx context.Context) error {
	var times []time.Duration
	for i := range handoverRepeats {
		owner, err := f.processOf(ctx, Cell{Role: Owner})
		if err != nil {
			return err
		}
		owner.Kill()
		start := time.Now()
		caller := loadgen.NewDirect(cluster.Addresses(f.cluster.Entries), "dakar", "", f.cluster.AccountKeys[0])
		err = cluster.WaitUntil(ctx, "a generation after the owner's death", func() bool {
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
	f.print("shard owner killed: to the next generation, read and write", times)
	return nil
}
