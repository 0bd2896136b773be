package main

import (
	"testing"

	"github.com/endivetrack/endivetrack/bench/workload"
)

// BenchmarkOverload simulates 240 s at 130% load with the system's decisions.
func BenchmarkOverload(b *testing.B) {
	p := workload.BalleSahel()
	rate := capacityOf(p, defaultModel, 1).rate * float64(p.Targets) * 1.3
	for b.Loop() {
		simulate(p, defaultModel, 1, rate, newOurs(p))
	}
}
