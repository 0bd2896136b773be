// Package verify compares what callers saw with what the stand-ins executed. It
// uses no figure that the system itself reports.
package verify

import (
	"fmt"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/service"
)

// NoNewWorkAfterMicros is the time after which a leaving target, or a failure domain
// taken out of service, must not receive new work (docs/design.md, section 1).
const NoNewWorkAfterMicros = 3_000_000 // 3 s

// Window is a time span in which a failure domain was out of service, in wall clock
// microseconds. It starts when the change that took the domain out of service was
// accepted and ends when the next change was sent.
type Window struct {
	FailureDomain string
	From, Until   int64
}

// Verdict holds the combined counts of callers and stand-ins, and the violations
// found by comparing them.
type Verdict struct {
	Requests, Complete, Refused int
	// Cut counts streams interrupted by a lost connection, whether or not resumed: the
	// larger of the callers' and the engines' counts.
	Cut int
	// Lost counts missing responses and tokens, and answered writes that did not run.
	Lost int
	// Duplicated counts tokens delivered twice, writes that ran more than once and
	// generations that ran at two engines under one id.
	Duplicated int
	// FalseNotRun counts writes that ran although they were reported as not run.
	FalseNotRun int
	// LateWork counts new work that reached a failure domain out of service, or a
	// leaving target, after NoNewWorkAfterMicros.
	LateWork int
	// RanLate counts work that a target received in time but ran after
	// NoNewWorkAfterMicros, because its process was stopped. It violates no guarantee.
	RanLate int
	// WorkInWindows counts all new work in a Window, also before NoNewWorkAfterMicros.
	WorkInWindows int
	Foreign       int

	// OverloadSteps counts steps of cold engines that received more sequences than
	// a cold engine can run (docs/design.md, section 1).
	OverloadSteps int

	Generations, Preemptions, Failed, Cancelled int
	StallSeconds, RunningSeconds, BusySeconds   float64
	Executions                                  int
	Notes                                       []string
}

const maxNotes = 20

func (v *Verdict) addNote(format string, args ...any) {
	if len(v.Notes) < maxNotes {
		v.Notes = append(v.Notes, fmt.Sprintf(format, args...))
	}
}

// Compare checks the callers' report against the records of the stand-ins. windows
// are the time spans in which failure domains were out of service.
func Compare(r loadgen.Report, engines []engine.Record, services []service.Record, windows []Window) Verdict {
	v := Verdict{
		Requests: r.Requests, Complete: r.Complete, Refused: r.Refused, Cut: r.Cut,
		Lost: r.Lost, Duplicated: r.Duplicated, Foreign: r.Foreign,
	}
	v.checkWrites(r, services)
	v.checkGenerations(engines, windows)
	v.checkCalls(services, windows)
	return v
}

// checkWrites compares each write's outcome with its executions at all services.
func (v *Verdict) checkWrites(r loadgen.Report, services []service.Record) {
	executions := map[string]int{}
	for _, s := range services {
		for key, n := range s.PerKey {
			executions[key] += n
		}
	}
	for _, w := range r.Writes {
		n := executions[w.Key]
		switch {
		case n > 1:
			v.Duplicated++
			v.addNote("write %s ran %d times", w.Key, n)
		case n == 0 && w.Outcome == loadgen.OutcomeAnswered:
			v.Lost++
			v.addNote("write %s was answered but did not run", w.Key)
		case n > 0 && w.Outcome == loadgen.OutcomeNotRun:
			v.FalseNotRun++
			v.addNote("write %s was reported as not run but ran", w.Key)
		}
	}
}

// checkGenerations adds up the engines' counts. It checks that no generation ran at
// two engines, and checks the times of each.
func (v *Verdict) checkGenerations(engines []engine.Record, windows []Window) {
	targetByID := map[string]string{}
	resumes := 0
	for _, e := range engines {
		v.Preemptions += e.Preemptions
		v.Failed += e.Failed
		v.Cancelled += e.Cancelled
		v.OverloadSteps += e.OverloadSteps
		if e.OverloadSteps > 0 {
			v.addNote("%s received up to %d sequences while cold and was overloaded for %d steps", e.Target, e.PeakColdRunning, e.OverloadSteps)
		}
		v.RunningSeconds += e.RunningSeconds
		v.BusySeconds += e.BusySeconds
		for _, w := range e.Work {
			v.Generations++
			resumes += w.Resumes
			v.StallSeconds += float64(w.StallMicros) / 1e6
			if other, twice := targetByID[w.ID]; twice {
				v.Duplicated++
				v.addNote("generation %s ran at %s and %s", w.ID, other, e.Target)
			}
			targetByID[w.ID] = e.Target
			v.checkTiming(e.Target, e.FailureDomain, workTimes{w.ArrivedAt, w.AcceptedAt}, e.LeavingAt, windows)
		}
	}
	// A caller's resume also reaches an engine, so the callers' and the engines' counts
	// of interrupted streams overlap and must not be added.
	v.Cut = max(v.Cut, resumes)
}

// checkCalls counts the services' executions and checks the times of each.
func (v *Verdict) checkCalls(services []service.Record, windows []Window) {
	for _, s := range services {
		v.Executions += len(s.Executions)
		for _, e := range s.Executions {
			v.checkTiming(s.Target, s.FailureDomain, workTimes{e.ArrivedAt, e.At}, s.LeavingAt, windows)
		}
	}
}

// workTimes holds the times of one generation or call in wall clock microseconds.
// A target whose process was stopped runs work later than its kernel received it;
// the system cannot recall such work.
type workTimes struct {
	arrivedAt int64 // time at which the target's kernel received the request; 0 if not known
	ranAt     int64
}

// receivedAt returns the time at which the target received the work: arrivedAt, or
// ranAt if arrivedAt is not known. The limit NoNewWorkAfterMicros applies to it.
func (t workTimes) receivedAt() int64 {
	if t.arrivedAt > 0 {
		return t.arrivedAt
	}
	return t.ranAt
}

// checkTiming checks the times of one generation or call against the windows and
// the target's leaving announcement.
func (v *Verdict) checkTiming(target, domain string, times workTimes, leavingAt int64, windows []Window) {
	receivedAt := times.receivedAt()
	for _, w := range windows {
		if w.FailureDomain == domain && receivedAt >= w.From && receivedAt <= w.Until {
			v.WorkInWindows++
		}
	}
	switch {
	case isLate(domain, receivedAt, leavingAt, windows):
		v.LateWork++
		v.addNote("new work at %s in %s at %d although it was out of service or leaving", target, domain, receivedAt)
	case isLate(domain, times.ranAt, leavingAt, windows):
		v.RanLate++
	}
}

// isLate reports whether the target must not receive new work at the given time. This
// is the case more than NoNewWorkAfterMicros after its leaving announcement. It is
// also the case during a window of its failure domain, from NoNewWorkAfterMicros
// after the start of the window.
func isLate(domain string, at, leavingAt int64, windows []Window) bool {
	if leavingAt > 0 && at > leavingAt+NoNewWorkAfterMicros {
		return true
	}
	for _, w := range windows {
		if w.FailureDomain == domain && at > w.From+NoNewWorkAfterMicros && at <= w.Until {
			return true
		}
	}
	return false
}

// OK reports whether every request got its complete response and no guarantee was
// violated.
func (v *Verdict) OK() bool {
	return v.Requests > 0 && v.Complete == v.Requests &&
		v.Lost+v.Duplicated+v.Cut+v.FalseNotRun+v.LateWork+v.Foreign+v.OverloadSteps == 0
}

// Add adds the counts of another deployment, except those of work done (Generations
// to Executions), WorkInWindows and Notes.
func (v *Verdict) Add(o Verdict) {
	v.Requests += o.Requests
	v.Complete += o.Complete
	v.Refused += o.Refused
	v.Cut += o.Cut
	v.Lost += o.Lost
	v.Duplicated += o.Duplicated
	v.FalseNotRun += o.FalseNotRun
	v.LateWork += o.LateWork
	v.RanLate += o.RanLate
	v.Foreign += o.Foreign
	v.OverloadSteps += o.OverloadSteps
}
