package faults

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/cluster"
	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/service"
	"github.com/endivetrack/endivetrack/standin/verify"
)

const fetchTimeout = 3 * time.Second

// checkRecovery waits until all entry instances serve again and checks that the
// newest accepted settings are intact.
func (r *run) checkRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	start := time.Now()
	if err := r.waitServing(ctx); err != nil {
		r.violation("no recovery within %v: %v", recoveryTimeout, err)
		return
	}
	r.result.RecoveryTime = time.Since(start)
	op, err := r.cluster.OpenOperator()
	if err != nil {
		r.violation("operator: %v", err)
		return
	}
	s, err := op.ReadSettings(ctx, cluster.Team)
	switch {
	case err != nil:
		r.violation("read settings: %v", err)
	case s.GetRevision() != r.cluster.Revision():
		r.violation("settings are at revision %d, accepted was %d", s.GetRevision(), r.cluster.Revision())
	case string(s.GetToml()) != r.cluster.SettingsText():
		r.violation("the accepted settings of revision %d have changed", s.GetRevision())
	}
}

// checkGuarantees compares what callers observed with what targets executed, and
// checks that no program counted a violated invariant.
func (r *run) checkGuarantees(ctx context.Context, report loadgen.Report) {
	engines := r.engineRecords(ctx)
	r.countBrokenStreams(engines)
	v := verify.Compare(report, engines, r.serviceRecords(), r.outOfServiceWindows)
	r.result.Verdict, r.result.Errors = v, report.Errors
	for what, n := range map[string]int{
		"duplicated": v.Duplicated, "refused as not run but ran": v.FalseNotRun,
		"new work in a failure domain out of service": v.LateWork, "foreign answers": v.Foreign,
		"tokens missing inside streams": report.Missing, "incomplete generations without an error": report.FalselyComplete,
		"answered but not run": v.Lost - report.Lost,
	} {
		if n != 0 {
			r.violation("%s: %d", what, n)
		}
	}
	if r.plannedStopsOnly() && (v.Complete != v.Requests || v.Cut != 0) {
		r.violation("a planned stop cut requests: %d of %d complete, %d cut: %v", v.Complete, v.Requests, v.Cut, report.FirstErrors)
	}
	if r.controlFaultsOnly() && v.Cut != 0 {
		r.violation("a fault of control cut %d streams: %v", v.Cut, report.FirstErrors)
	}
	if len(r.result.Violations) > 0 {
		for _, note := range v.Notes {
			r.violation("%s", note)
		}
	}
	r.checkInvariants(ctx)
}

// countBrokenStreams sets result.BrokenStreams, and result.Reached to false if an engine was
// to break its streams and had none.
func (r *run) countBrokenStreams(engines []engine.Record) {
	for _, e := range engines {
		r.result.BrokenStreams += e.BrokenStreams
	}
	for _, c := range r.cells {
		if c.Role == Engine && c.Fault == Break && r.result.BrokenStreams == 0 {
			r.result.Reached = false
		}
	}
}

// plannedStopsOnly reports whether all cells are planned stops, which must not end
// the connection of any request early.
func (r *run) plannedStopsOnly() bool {
	for _, c := range r.cells {
		if c.Fault != Stop {
			return false
		}
	}
	return true
}

// controlFaultsOnly reports whether all cells are faults of control instances, which
// must not end the connection of any stream early.
func (r *run) controlFaultsOnly() bool {
	for _, c := range r.cells {
		if c.Role != ControlLeader && c.Role != ControlFollower {
			return false
		}
	}
	return true
}

func (r *run) engineRecords(ctx context.Context) []engine.Record {
	var out []engine.Record
	for _, p := range r.cluster.Engines {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		var rec engine.Record
		if cluster.GetJSON(ctx, "http://"+p.Address+"/standin/record", &rec) == nil {
			rec.Preemptions, rec.Failed = 0, 0
			out = append(out, rec)
		}
		cancel()
	}
	return out
}

// serviceRecords reads the plain services' records from their journal files,
// which survive a kill.
func (r *run) serviceRecords() []service.Record {
	var out []service.Record
	for i, p := range r.cluster.Services {
		rec := service.Record{Target: p.Name, FailureDomain: cluster.Locations[i%len(cluster.Locations)].FailureDomain, PerKey: map[string]int{}}
		f, err := os.Open(r.cluster.JournalPath(p))
		if err != nil {
			r.violation("journal: %v", err)
			continue
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var e service.Execution
			if json.Unmarshal(lines.Bytes(), &e) == nil {
				rec.Executions = append(rec.Executions, e)
				if e.Key != "" {
					rec.PerKey[e.Key]++
				}
			}
		}
		_ = f.Close()
		out = append(out, rec)
	}
	return out
}

// checkInvariants checks that no program counted a violated invariant.
func (r *run) checkInvariants(ctx context.Context) {
	for _, p := range r.cluster.Instances() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		var m struct {
			Counters map[string]int64 `json:"counters"`
		}
		err := cluster.GetJSON(ctx, "http://"+p.Address+"/metrics", &m)
		cancel()
		if err != nil {
			r.violation("metrics of %s: %v", p.Name, err)
		}
		for name, n := range m.Counters {
			if strings.Contains(name, "invariant") && n > 0 {
				r.violation("%s counts %d of %s", p.Name, n, name)
			}
		}
	}
}
