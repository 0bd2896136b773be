// Package measure computes the figures defined in docs/design.md, section 1, from
// the callers' report and the engines' records of one phase of a run.
package measure

import (
	"slices"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

// Figures holds the results of one phase. Lower is better, except for Goodput and
// GoodRequestShare.
type Figures struct {
	// GapP99 is the 99th percentile of the time between tokens, in ms.
	GapP99 float64
	// Preemptions, counted by the engines, and StallMS, measured by the callers,
	// are means per generation.
	Preemptions float64
	StallMS     float64
	// Goodput is the number of tokens per second that arrived within the bounds
	// on the time to the first token and between tokens.
	Goodput float64
	// GoodRequestShare is the share of requests that completed, where generations must also be good.
	GoodRequestShare float64
	// IdleShare is the share of the engines' capacity that was unused although waiting
	// requests could have used it.
	IdleShare float64
}

// Capacity is the number of sequences that an engine can run at once.
type Capacity struct {
	// Warm is the highest concurrency of a warm engine without preemptions.
	Warm int
	// Cold is the highest concurrency of a cold engine without overload.
	Cold int
}

// transitMicros is how long a request may be in transit to an engine before it
// counts as waiting.
const transitMicros = 20_000

// sampleMicros is the interval between the samples from which idleShare is computed.
const sampleMicros = 10_000

// Compute computes the figures of one phase. arrivalMicros is the length of the span in
// which its requests arrived. Generations that end after this span count in full.
func Compute(r loadgen.Report, engines []engine.Record, c Capacity, arrivalMicros int64) Figures {
	f := Figures{GapP99: r.Gap["all"].P99}
	preemptions, generations := 0, len(r.Generations)
	for _, e := range engines {
		for _, w := range e.Work {
			if w.AcceptedAt >= r.StartedAt && w.AcceptedAt <= r.EndedAt {
				preemptions += w.Preemptions
			}
		}
	}
	f.Preemptions = float64(preemptions) / float64(max(1, generations))
	f.StallMS = r.StallMS / float64(max(1, generations))
	f.Goodput = float64(r.GoodTokens) / (float64(arrivalMicros) / 1e6)
	calls := r.Complete - r.CompleteByKind[loadgen.KindGenerate]
	f.GoodRequestShare = float64(calls+r.GoodRequests) / float64(max(1, r.Requests))
	f.IdleShare = idleShare(r, engines, c, arrivalMicros)
	return f
}

// countChange is a change of a count at a time in wall clock microseconds.
type countChange struct {
	time  int64
	delta int
}

// countOverTime evaluates a changing count at ascending times.
type countOverTime struct {
	changes []countChange
	count   int
}

func newCountOverTime(changes []countChange) *countOverTime {
	slices.SortFunc(changes, func(a, b countChange) int { return int(a.time - b.time) })
	return &countOverTime{changes: changes}
}

// valueAt returns the count at t. Each call must pass a t that is not
// before that of the previous call.
func (c *countOverTime) valueAt(t int64) int {
	for len(c.changes) > 0 && c.changes[0].time <= t {
		c.count += c.changes[0].delta
		c.changes = c.changes[1:]
	}
	return c.count
}

// idleShare integrates min(free slots, waiting requests) over the arrival span and
// divides it by the integral of all engines' slots, free or not. A slot is room for one
// running sequence.
func idleShare(r loadgen.Report, engines []engine.Record, c Capacity, arrivalMicros int64) float64 {
	from, until := r.StartedAt, r.StartedAt+arrivalMicros
	var waiting []countChange
	for _, g := range r.Generations {
		waiting = append(waiting, countChange{g.Due + transitMicros, 1})
		if g.FirstToken == 0 {
			waiting = append(waiting, countChange{max(g.End, g.Due+transitMicros), -1})
		}
	}
	running := make([]*countOverTime, len(engines))
	for i, e := range engines {
		var changes []countChange
		for _, w := range e.Work {
			changes = append(changes, countChange{w.AcceptedAt, 1})
			if w.EndedAt != 0 {
				changes = append(changes, countChange{w.EndedAt, -1})
			}
			if w.AcceptedAt >= from && w.AcceptedAt <= r.EndedAt {
				waiting = append(waiting, countChange{w.AcceptedAt, -1})
			}
		}
		running[i] = newCountOverTime(changes)
	}
	waitingCount := newCountOverTime(waiting)
	var idleSlots, totalSlots int64
	for t := from; t < until; t += sampleMicros {
		freeSlots := 0
		for i, e := range engines {
			slots := c.Warm
			if isColdAt(e, t) {
				slots = c.Cold
			}
			freeSlots += max(0, slots-running[i].valueAt(t))
			totalSlots += int64(slots)
		}
		idleSlots += int64(min(freeSlots, max(0, waitingCount.valueAt(t))))
	}
	return float64(idleSlots) / float64(max(1, totalSlots))
}

func isColdAt(e engine.Record, t int64) bool {
	return slices.ContainsFunc(e.Cold, func(p engine.Period) bool { return t >= p.From && (p.Until == 0 || t < p.Until) })
}
