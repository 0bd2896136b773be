package main

import (
	"testing"

	"github.com/endivetrack/endivetrack/bench/workload"
)

// BenchmarkShard simulates 240 s of one shard of 20 targets under the system's
// own decisions. cpu_% is the share of one core that the decisions and the
// simulation of the engines take.
func BenchmarkShard(b *testing.B) {
	p := workload.BalleSahel()
	for name, load := range map[string]float64{"85": 0.85, "130": 1.3} {
		b.Run(name, func(b *testing.B) {
			rate := estimateCapacity(p, defaultModel, 1).rate * float64(p.Targets) * load
			for b.Loop() {
				simulate(p, defaultModel, 1, rate, newShardPolicy(p))
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/runTime.Seconds(), "cpu_%")
		})
	}
}
