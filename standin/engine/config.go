// Package engine is a stand-in for an inference engine as docs/targets.md
// describes it: continuous batching in bounded memory with preemption, a prompt
// prefix cache, cold start, resume, cancel, orders and announcements. It records
// what really ran, so that checks count from outside the system.
package engine

import "time"

// Config sizes one engine. Zero durations and shares switch a behaviour off.
type Config struct {
	Team, Service, Target string
	Region, FailureDomain string
	Models                []string
	ChecksFencing         bool
	// Seed drives everything that is drawn at random.
	Seed uint64

	MaxRunning   int // sequences in one batch
	MaxWaiting   int // sequences accepted beyond the batch; more get 503
	MemoryTokens int // resident tokens of prompts and outputs
	PrefillChunk int // prompt tokens computed in one step at most
	CacheBlocks  int // prefix blocks kept after their sequence ended

	// A step takes StepBase + StepPerSequence per running sequence +
	// StepPerKiloToken per 1,000 resident tokens + PrefillPerToken per prompt
	// token computed in it.
	StepBase         time.Duration
	StepPerSequence  time.Duration
	StepPerKiloToken time.Duration
	PrefillPerToken  time.Duration

	// WarmStart leaves out the cold start; the engine can turn cold later.
	WarmStart bool
	// Cold ends when ColdTokens have been served or ColdFor has passed.
	ColdFor      time.Duration
	ColdTokens   int
	ColdSlowdown float64 // factor on the step time while cold
	ColdBearable int     // running sequences that a cold engine bears
	// MeanWarm is the mean time until a warm engine turns cold without warning.
	MeanWarm time.Duration

	LoadReportLag   time.Duration
	CacheEventLag   time.Duration
	CacheEventLoss  float64 // share of cache events that are never published
	Heartbeat       time.Duration
	Retention       time.Duration // how long a finished generation can be read
	LeavingAccept   time.Duration // how long work is accepted after the leaving announcement
	MaxRecordedWork int
}

// DefaultConfig returns an engine that takes about 30 ms per step with 20
// sequences of the example deployments, at which its memory is nearly full.
func DefaultConfig() Config {
	return Config{
		Seed: 1, MaxRunning: 32, MaxWaiting: 16, MemoryTokens: 16_000, PrefillChunk: 512, CacheBlocks: 2048,
		StepBase: 6 * time.Millisecond, StepPerSequence: 500 * time.Microsecond,
		StepPerKiloToken: time.Millisecond, PrefillPerToken: 30 * time.Microsecond,
		ColdFor: 4 * time.Second, ColdTokens: 400, ColdSlowdown: 3, ColdBearable: 4,
		LoadReportLag: time.Second, CacheEventLag: time.Second, CacheEventLoss: 0.1,
		Heartbeat: 500 * time.Millisecond, Retention: 30 * time.Second, LeavingAccept: 3 * time.Second,
		MaxRecordedWork: 500_000,
	}
}
