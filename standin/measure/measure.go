// Package measure computes the figures of docs/design.md, section 1, from what
// callers saw and what the engines ran in one phase of a run.
package measure

import (
	"slices"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

// Figures of one phase. Lower is better, but for Goodput and Service.
type Figures struct {
	// GapP99 is the time between tokens that 99 in 100 stay under, in ms.
	GapP99 float64
	// Preemptions and StallMS are per generation, counted by the engines and by
	// the callers.
	Preemptions float64
	StallMS     float64
	// Goodput is the rate of tokens that came within the bounds of first token
	// and gap.
	Goodput float64
	// Service is the share of requests that ended whole and in their bounds.
	Service float64
	// Idle is the share of the engines' capacity that was free while requests
	// waited that it could have served.
	Idle float64
}

// Capacity says how many sequences an engine bears.
type Capacity struct {
	// Warm is the concurrency up to which a warm engine runs without preemptions.
	Warm int
	// Cold is what it bears in cold start.
	Cold int
}

// inTransit is how long a request may be under way before it counts as waiting,
// in microseconds.
const inTransit = 20_000

// sampleInterval of the idle integral, in microseconds.
const sampleInterval = 10_000

// Of computes the figures of one phase: the span in which requests arrived.
// Generations still count after it, until they end.
func Of(r loadgen.Report, engines []engine.Record, c Capacity, arrivalMicros int64) Figures {
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
	calls := r.Whole - r.WholeKinds[loadgen.KindGenerate]
	f.Service = float64(calls+r.GoodRequests) / float64(max(1, r.Requests))
	f.Idle = idle(r, engines, c, arrivalMicros)
	return f
}

// change is a step in a count over time.
type change struct {
	at    int64
	delta int
}

// counter gives a count at growing times.
type counter struct {
	changes []change
	count   int
}

func newCounter(changes []change) *counter {
	slices.SortFunc(changes, func(a, b change) int { return int(a.at - b.at) })
	return &counter{changes: changes}
}

func (c *counter) at(t int64) int {
	for len(c.changes) > 0 && c.changes[0].at <= t {
		c.count += c.changes[0].delta
		c.changes = c.changes[1:]
	}
	return c.count
}

// idle integrates min(free slots, waiting requests) over the arrivals.
func idle(r loadgen.Report, engines []engine.Record, c Capacity, arrivalMicros int64) float64 {
	from, until := r.StartedAt, r.StartedAt+arrivalMicros
	var waiting []change
	for _, g := range r.Generations {
		waiting = append(waiting, change{g.Due + inTransit, 1})
		if g.FirstToken == 0 {
			waiting = append(waiting, change{max(g.End, g.Due+inTransit), -1})
		}
	}
	running := make([]*counter, len(engines))
	for i, e := range engines {
		var mine []change
		for _, w := range e.Work {
			mine = append(mine, change{w.AcceptedAt, 1})
			if w.EndedAt != 0 {
				mine = append(mine, change{w.EndedAt, -1})
			}
			if w.AcceptedAt >= from && w.AcceptedAt <= r.EndedAt {
				waiting = append(waiting, change{w.AcceptedAt, -1})
			}
		}
		running[i] = newCounter(mine)
	}
	queue := newCounter(waiting)
	var lost, capacity int64
	for t := from; t < until; t += sampleInterval {
		free := 0
		for i, e := range engines {
			bears := c.Warm
			if coldAt(e, t) {
				bears = c.Cold
			}
			free += max(0, bears-running[i].at(t))
			capacity += int64(bears)
		}
		lost += int64(min(free, max(0, queue.at(t))))
	}
	return float64(lost) / float64(max(1, capacity))
}

func coldAt(e engine.Record, t int64) bool {
	return slices.ContainsFunc(e.Cold, func(p engine.Period) bool { return t >= p.From && (p.Until == 0 || t < p.Until) })
}
