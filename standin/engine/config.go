// Package engine is a stand-in for an inference engine as docs/targets.md
// describes it: continuous batching in bounded memory with preemption, a prompt
// prefix cache, cold start, resume, cancel, orders and announcements. It records
// the work it executed, so that checks do not depend on what the system reports.
package engine

import "time"

// Config holds the identity, capacity and timing of one engine. A duration or share
// of zero disables the behavior that it configures. A cold engine, such as a
// newly started one, runs slower and supports fewer sequences until it is warm.
type Config struct {
	Team, Service, Target string
	Region, FailureDomain string
	Models                []string
	ChecksFencing         bool
	// Seed makes step failures, cold periods and cache event loss reproducible.
	Seed uint64

	MaxRunning   int // maximum number of sequences in the batch
	MaxWaiting   int // maximum number of sequences accepted in addition to MaxRunning; further requests get 503
	MemoryTokens int // limit on the total number of prompt and output tokens in the batch
	PrefillChunk int // maximum number of prompt tokens computed in one step
	CacheBlocks  int // maximum number of prefix blocks in the cache, which outlive their sequences

	// A step takes StepBase + StepPerSequence per running sequence +
	// StepPerKiloToken per 1,000 resident tokens + PrefillPerToken per prompt
	// token computed in it.
	StepBase         time.Duration
	StepPerSequence  time.Duration
	StepPerKiloToken time.Duration
	PrefillPerToken  time.Duration

	// WarmStart skips the cold start; the engine can turn cold later.
	WarmStart bool
	// A cold period ends after ColdTokens generated tokens or after ColdFor.
	ColdFor         time.Duration
	ColdTokens      int
	ColdSlowdown    float64 // factor on the duration of a step while the engine is cold
	ColdConcurrency int     // number of running sequences above which a cold engine is overloaded
	// MeanWarm is the mean time until a warm engine turns cold, unannounced.
	MeanWarm time.Duration

	LoadReportLag   time.Duration
	CacheEventLag   time.Duration
	CacheEventLoss  float64 // share of cache events that are never announced
	Heartbeat       time.Duration
	Retention       time.Duration // how long a finished generation's tokens can still be read
	LeavingAccept   time.Duration // how long new work is accepted after the leaving announcement
	MaxRecordedWork int
}

// DefaultConfig returns the configuration of an engine whose steps take about 30 ms
// with 20 sequences of the example deployments, which nearly fill its memory.
func DefaultConfig() Config {
	return Config{
		Seed: 1, MaxRunning: 32, MaxWaiting: 16, MemoryTokens: 16_000, PrefillChunk: 512, CacheBlocks: 2048,
		StepBase: 6 * time.Millisecond, StepPerSequence: 500 * time.Microsecond,
		StepPerKiloToken: time.Millisecond, PrefillPerToken: 30 * time.Microsecond,
		ColdFor: 4 * time.Second, ColdTokens: 400, ColdSlowdown: 3, ColdConcurrency: 4,
		LoadReportLag: time.Second, CacheEventLag: time.Second, CacheEventLoss: 0.1,
		Heartbeat: 500 * time.Millisecond, Retention: 30 * time.Second, LeavingAccept: 3 * time.Second,
		MaxRecordedWork: 500_000,
	}
}
