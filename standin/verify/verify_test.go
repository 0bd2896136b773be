package verify

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/service"
)

// Guards against a verdict that misses a violation. Each failing case has one
// violation, which must be counted in its own field.
func TestEachViolationIsCounted(t *testing.T) {
	answered := []loadgen.Write{{Key: "a", Outcome: loadgen.OutcomeAnswered}}
	notRun := []loadgen.Write{{Key: "a", Outcome: loadgen.OutcomeNotRun}}
	windows := []Window{{FailureDomain: "f", From: 1_000_000, Until: 9_000_000}}
	work := func(at int64) []engine.Record {
		return []engine.Record{{FailureDomain: "f", Work: []engine.Work{{ID: "g", AcceptedAt: at}}}}
	}
	arrived := func(at, accepted int64) []engine.Record {
		return []engine.Record{{FailureDomain: "f", Work: []engine.Work{{ID: "g", ArrivedAt: at, AcceptedAt: accepted}}}}
	}
	for name, c := range map[string]struct {
		report  loadgen.Report
		engines []engine.Record
		perKey  map[string]int
		want    Verdict
	}{
		"good":             {report: loadgen.Report{Writes: answered}, perKey: map[string]int{"a": 1}},
		"lost write":       {report: loadgen.Report{Writes: answered}, want: Verdict{Lost: 1}},
		"duplicated write": {report: loadgen.Report{Writes: answered}, perKey: map[string]int{"a": 2}, want: Verdict{Duplicated: 1}},
		"false not run":    {report: loadgen.Report{Writes: notRun}, perKey: map[string]int{"a": 1}, want: Verdict{FalseNotRun: 1}},
		"two engines":      {engines: append(work(0), work(0)...), want: Verdict{Duplicated: 1}},
		"within 3 s":       {engines: work(3_999_999)},
		"after 3 s":        {engines: work(4_000_001), want: Verdict{LateWork: 1}},
		"back in service":  {engines: work(9_000_001)},
		"arrived in time":  {engines: arrived(3_999_999, 8_000_000)},
		"arrived late":     {engines: arrived(4_000_001, 8_000_000), want: Verdict{LateWork: 1}},
		"leaving":          {engines: []engine.Record{{LeavingAt: 1, Work: []engine.Work{{AcceptedAt: 3_000_002}}}}, want: Verdict{LateWork: 1}},
		"resumed":          {engines: []engine.Record{{Work: []engine.Work{{Resumes: 2}}}}, want: Verdict{Cut: 2}},
		"cold overload":    {engines: []engine.Record{{OverloadSteps: 1}}},
		"cut":              {report: loadgen.Report{Cut: 1}, want: Verdict{Cut: 1}},
		"refused request":  {report: loadgen.Report{Requests: 1, Refused: 1}, want: Verdict{Requests: 1, Complete: -1, Refused: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c.report.Requests++
			c.report.Complete++
			v := Compare(c.report, c.engines, []service.Record{{PerKey: c.perKey}}, windows)
			assert.DeepEqual(t,
				[]int{v.Lost, v.Duplicated, v.FalseNotRun, v.LateWork, v.Cut, v.Refused},
				[]int{c.want.Lost, c.want.Duplicated, c.want.FalseNotRun, c.want.LateWork, c.want.Cut, c.want.Refused})
			assert.Equal(t, v.OK(), name == "good" || name == "within 3 s" || name == "back in service" || name == "arrived in time")
		})
	}
}
