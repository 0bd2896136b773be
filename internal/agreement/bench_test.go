package agreement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkCommit measures commits of 200-byte commands with real disks and
// loopback HTTP: one caller for latency, 64 callers for throughput with group
// commit.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/callers=%d", voters, callers), func(b *testing.B) {
				_, g, stop := startHTTPGroup(b, voters, Config{})
				defer stop()
				benchmarkCommit(b, g, callers)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, g *testGroup, callers int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	leader := g.leader(ctx)
	for _, m := range g.machines {
		m.discardCommands = true
	}
	command := make([]byte, 200)
	var mu sync.Mutex
	var latencies []time.Duration
	var workers sync.WaitGroup
	next := make(chan struct{}, callers)
	b.ResetTimer()
	for range callers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for range next {
				start := time.Now()
				_, err := leader.Propose(ctx, command)
				mu.Lock()
				if err == nil {
					latencies = append(latencies, time.Since(start))
				} else if !errors.Is(err, ErrOutcomeUnknown) {
					b.Log(err)
				}
				mu.Unlock()
			}
		}()
	}
	for range b.N {
		next <- struct{}{}
	}
	close(next)
	workers.Wait()
	b.StopTimer()
	if len(latencies) == 0 {
		b.Fatal("no command was committed")
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "commits/s")
}

// failoverTimes simulates one leader crash per seed with the default timeouts.
// It returns the sorted virtual times from the crash until the new leader
// commits an entry of its own term.
func failoverTimes(seeds int, voters int) []time.Duration {
	var out []time.Duration
	for seed := range uint64(seeds) {
		w := newSimWorld(seed, voters)
		for _, n := range w.nodes {
			w.start(n)
		}
		for w.leaderOr(nil) == nil || !w.allApplied(3) {
			w.run(simStep)
		}
		old := w.leaderOr(nil)
		w.crash(old, time.Hour)
		start := w.now
		for done := false; !done && w.now.Sub(start) < 10*time.Second; {
			w.run(simStep)
			if n := w.leaderOr(nil); n != nil {
				done = n.protocol.core.commit >= n.protocol.core.termStart
			}
		}
		out = append(out, w.now.Sub(start))
	}
	slices.Sort(out)
	return out
}

// Guards against a median failover time above 1 s, the limit in section 12 of
// the design, and against failovers that never complete.
func TestFailoverTime(t *testing.T) {
	for _, voters := range []int{3, 5} {
		times := failoverTimes(100, voters)
		p50, p90, worst := times[len(times)/2], times[len(times)*9/10], times[len(times)-1]
		t.Logf("%d voters, %d seeds: p50 %v, p90 %v, max %v", voters, len(times), p50, p90, worst)
		assert.Assert(t, p50 <= time.Second)
		assert.Assert(t, worst < 10*time.Second)
	}
}
