// Package verify compares what callers saw with what the stand-ins ran. It uses
// no figure that the system itself reports.
package verify

import (
	"fmt"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/service"
)

// NoNewWorkAfter is the time within which a failure domain that was taken out,
// or a target that leaves, must stop receiving new work (docs/design.md, P3, P7).
const NoNewWorkAfter = 3_000_000 // microseconds

// Window is the time in which a failure domain was out of service, in wall
// clock microseconds: from the acceptance of the change to the sending of the
// next one.
type Window struct {
	FailureDomain string
	From, Until   int64
}

// Verdict counts what callers and stand-ins saw together.
type Verdict struct {
	Requests, Whole, Refused int
	// Cut are streams interrupted by a lost connection, as callers or engines
	// counted them, resumed or not.
	Cut int
	// Lost are answers, tokens or acknowledged writes that are missing.
	Lost int
	// Duplicated are tokens delivered twice, writes that ran twice and
	// generations that ran at two engines under one id.
	Duplicated int
	// FalseNotRun are writes reported as not run that ran.
	FalseNotRun int
	// LateWork is new work in a failure domain that was out or at a target that
	// was leaving, after NoNewWorkAfter.
	LateWork int
	// ReadLate is work that a target received in time and, being stopped, ran
	// after NoNewWorkAfter. It breaks no promise.
	ReadLate int
	// OutWindowWork is all new work in windows, before NoNewWorkAfter too.
	OutWindowWork int
	Foreign       int

	// OverloadSteps are steps of engines that were given more while cold than
	// they bear (docs/design.md, P2).
	OverloadSteps int

	Generations, Preemptions, Failed, Cancelled int
	StallSeconds, RunningSeconds, BusySeconds   float64
	Executions                                  int
	Notes                                       []string
}

const maxNotes = 20

func (v *Verdict) note(format string, args ...any) {
	if len(v.Notes) < maxNotes {
		v.Notes = append(v.Notes, fmt.Sprintf(format, args...))
	}
}

// Compare joins the callers' report with the records.
func Compare(r loadgen.Report, engines []engine.Record, services []service.Record, windows []Window) Verdict {
	v := Verdict{
		Requests: r.Requests, Whole: r.Whole, Refused: r.Refused, Cut: r.Cut,
		Lost: r.Lost, Duplicated: r.Duplicated, Foreign: r.Foreign,
	}
	v.writes(r, services)
	v.generations(engines, windows)
	v.calls(services, windows)
	return v
}

// writes compares each write's outcome with its executions over all services.
func (v *Verdict) writes(r loadgen.Report, services []service.Record) {
	ran := map[string]int{}
	for _, s := range services {
		for key, n := range s.PerKey {
			ran[key] += n
		}
	}
	for _, w := range r.Writes {
		n := ran[w.Key]
		switch {
		case n > 1:
			v.Duplicated++
			v.note("write %s ran %d times", w.Key, n)
		case n == 0 && w.Outcome == loadgen.OutcomeAnswered:
			v.Lost++
			v.note("write %s was answered but did not run", w.Key)
		case n > 0 && w.Outcome == loadgen.OutcomeNotRun:
			v.FalseNotRun++
			v.note("write %s was reported as not run but ran", w.Key)
		}
	}
}

func (v *Verdict) generations(engines []engine.Record, windows []Window) {
	ran := map[string]string{}
	resumes := 0
	for _, e := range engines {
		v.Preemptions += e.Preemptions
		v.Failed += e.Failed
		v.Cancelled += e.Cancelled
		v.OverloadSteps += e.OverloadSteps
		if e.OverloadSteps > 0 {
			v.note("%s was given up to %d sequences while cold and fell over for %d steps", e.Target, e.PeakColdActive, e.OverloadSteps)
		}
		v.RunningSeconds += e.RunningSeconds
		v.BusySeconds += e.BusySeconds
		for _, w := range e.Work {
			v.Generations++
			resumes += w.Resumes
			v.StallSeconds += float64(w.StallMicros) / 1e6
			if other, twice := ran[w.ID]; twice {
				v.Duplicated++
				v.note("generation %s ran at %s and %s", w.ID, other, e.Target)
			}
			ran[w.ID] = e.Target
			v.placed(e.Target, e.FailureDomain, workTimes{w.ArrivedAt, w.AcceptedAt}, e.LeavingAt, windows)
		}
	}
	// A caller's resume reaches the engine too, so the larger count holds both.
	v.Cut = max(v.Cut, resumes)
}

func (v *Verdict) calls(services []service.Record, windows []Window) {
	for _, s := range services {
		v.Executions += len(s.Executions)
		for _, e := range s.Executions {
			v.placed(s.Target, s.FailureDomain, workTimes{e.ArrivedAt, e.At}, s.LeavingAt, windows)
		}
	}
}

// workTimes are the times of one piece of work in wall clock microseconds. A
// target that was stopped runs work later than its kernel received it, and
// nobody can call that back.
type workTimes struct {
	arrived int64 // 0 if not known
	ran     int64
}

// received is the time that the promises bind.
func (t workTimes) received() int64 {
	if t.arrived > 0 {
		return t.arrived
	}
	return t.ran
}

// placed checks one piece of new work against the windows and the target's
// leaving announcement.
func (v *Verdict) placed(target, domain string, at workTimes, leavingAt int64, windows []Window) {
	received := at.received()
	for _, w := range windows {
		if w.FailureDomain == domain && received >= w.From && received <= w.Until {
			v.OutWindowWork++
		}
	}
	switch {
	case isLate(domain, received, leavingAt, windows):
		v.LateWork++
		v.note("new work at %s in %s at %d although it was out of service or leaving", target, domain, received)
	case isLate(domain, at.ran, leavingAt, windows):
		v.ReadLate++
	}
}

// isLate reports whether work at a time is new work at a target that should
// have had none any more.
func isLate(domain string, at, leavingAt int64, windows []Window) bool {
	if leavingAt > 0 && at > leavingAt+NoNewWorkAfter {
		return true
	}
	for _, w := range windows {
		if w.FailureDomain == domain && at > w.From+NoNewWorkAfter && at <= w.Until {
			return true
		}
	}
	return false
}

// Ok reports whether every request was answered whole and no promise broke.
func (v *Verdict) Ok() bool {
	return v.Requests > 0 && v.Whole == v.Requests &&
		v.Lost+v.Duplicated+v.Cut+v.FalseNotRun+v.LateWork+v.Foreign+v.OverloadSteps == 0
}

// Add adds the counts of another deployment.
func (v *Verdict) Add(o Verdict) {
	v.Requests += o.Requests
	v.Whole += o.Whole
	v.Refused += o.Refused
	v.Cut += o.Cut
	v.Lost += o.Lost
	v.Duplicated += o.Duplicated
	v.FalseNotRun += o.FalseNotRun
	v.LateWork += o.LateWork
	v.ReadLate += o.ReadLate
	v.Foreign += o.Foreign
	v.OverloadSteps += o.OverloadSteps
}
