// Command standin-measure prints the results of a benchmark: a table of policies
// for each deployment, and a summary line that compares the first policy with the
// best of the others.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/measure"
)

// Phases of a benchmark run. Each has a report <phase>.json in the directory of
// its policy and deployment.
const (
	phaseSteady = "steady" // load with bursts around the engines' capacity
	phaseOver   = "over"   // load of 130 % of the engines' capacity
	phaseDomain = "domain" // load while a failure domain is taken out of service and put back
)

var phases = []string{phaseSteady, phaseOver, phaseDomain}

func main() {
	run := flag.String("run", "", "directory that contains <policy>/<deployment>/")
	policies := flag.String("policies", "", "comma-separated list of policies, starting with the one under test")
	deployments := flag.String("deployments", "", "comma-separated list of deployments")
	spans := flag.String("spans", "", "duration of arrivals in each phase, for example steady=20s,over=10s,domain=12s")
	capacity := measure.Capacity{}
	flag.IntVar(&capacity.Warm, "warm", 12, "concurrent sequences that a warm engine runs without preemptions")
	flag.IntVar(&capacity.Cold, "cold", 4, "concurrent sequences that a cold engine supports")
	flag.Parse()
	if err := printTables(*run, strings.Split(*policies, ","), strings.Split(*deployments, ","), *spans, capacity); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parseSpans(text string) (map[string]time.Duration, error) {
	out := map[string]time.Duration{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		d, err := time.ParseDuration(value)
		if err != nil {
			return nil, fmt.Errorf("-spans %q: %w", part, err)
		}
		out[name] = d
	}
	return out, nil
}

// result maps each phase to the figures of one policy in one deployment.
type result map[string]measure.Figures

func printTables(run string, policies, deployments []string, spanText string, c measure.Capacity) error {
	spans, err := parseSpans(spanText)
	if err != nil {
		return err
	}
	var worst *summary
	for _, d := range deployments {
		var results []result
		for _, p := range policies {
			r, err := loadResult(filepath.Join(run, p, d), spans, c)
			if err != nil {
				return fmt.Errorf("%s at %s: %w", p, d, err)
			}
			results = append(results, r)
		}
		printTable(d, policies, results)
		s := summarize(results)
		worst = worst.worseOf(s)
	}
	fmt.Printf("bench: tbt_p99_ratio=%.2f preempt_ratio=%.2f stall_ratio=%.2f goodput_130=%.2f fd_service=%.4f idle=%.4f\n",
		worst.gap, worst.preempt, worst.stall, worst.goodput, worst.goodRequestShare, worst.idleShare)
	return nil
}

func loadResult(dir string, spans map[string]time.Duration, c measure.Capacity) (result, error) {
	files, err := filepath.Glob(filepath.Join(dir, "records", "*.json"))
	if err != nil {
		return nil, err
	}
	engines := make([]engine.Record, len(files))
	for i, f := range files {
		if err := readJSON(f, &engines[i]); err != nil {
			return nil, err
		}
	}
	out := result{}
	for _, phase := range phases {
		var r loadgen.Report
		if err := readJSON(filepath.Join(dir, phase+".json"), &r); err != nil {
			return nil, err
		}
		out[phase] = measure.Compute(r, engines, c, spans[phase].Microseconds())
	}
	return out, nil
}

func readJSON(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// columns are the columns of the printed table.
var columns = []struct {
	name   string
	format string
	value  func(result) float64
	higher bool // whether higher values of the figure are better
}{
	{"tbt_p99_ms", "%.1f", func(r result) float64 { return r[phaseSteady].GapP99 }, false},
	{"preempt/gen", "%.4f", func(r result) float64 { return r[phaseSteady].Preemptions }, false},
	{"stall_ms/gen", "%.1f", func(r result) float64 { return r[phaseSteady].StallMS }, false},
	{"good_tok/s", "%.0f", func(r result) float64 { return r[phaseSteady].Goodput }, true},
	{"good_tok/s@130", "%.0f", func(r result) float64 { return r[phaseOver].Goodput }, true},
	{"tbt_p99@130", "%.1f", func(r result) float64 { return r[phaseOver].GapP99 }, false},
	{"fd_service", "%.4f", func(r result) float64 { return r[phaseDomain].GoodRequestShare }, true},
	{"idle", "%.4f", func(r result) float64 { return r[phaseSteady].IdleShare }, false},
}

func printTable(deployment string, policies []string, results []result) {
	fmt.Printf("%s\n  %-24s", deployment, "policy")
	for _, m := range columns {
		fmt.Printf(" %15s", m.name)
	}
	fmt.Println()
	for i, p := range policies {
		fmt.Printf("  %-24s", p)
		for _, m := range columns {
			fmt.Printf(" %15s", fmt.Sprintf(m.format, m.value(results[i])))
		}
		fmt.Println()
	}
	fmt.Printf("  %-24s", "ratio to best baseline")
	for _, m := range columns {
		best, ok := bestValue(results[1:], m.value, m.higher)
		text := "-"
		if ok {
			text = fmt.Sprintf("%.3f", ratio(m.value(results[0]), best))
		}
		fmt.Printf(" %15s", text)
	}
	fmt.Println()
}

// bestValue returns the highest value of the results if higher is set, and the lowest
// otherwise. It returns false if there are no results.
func bestValue(results []result, value func(result) float64, higher bool) (float64, bool) {
	if len(results) == 0 {
		return 0, false
	}
	out := value(results[0])
	for _, r := range results[1:] {
		if higher {
			out = max(out, value(r))
		} else {
			out = min(out, value(r))
		}
	}
	return out, true
}

// ratio returns a/b, or 1 if both are equal, including two zeros.
func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	return a / b
}

// summary holds the values of the summary line for the policy under test. gap (time
// between tokens), preempt (preemptions) and stall (stall time) are ratios to the
// best of the other policies; goodRequestShare and idleShare are absolute. goodput is
// the rate of good tokens at 130 % of the capacity as a fraction of the best rate of
// any policy in any phase.
type summary struct {
	gap, preempt, stall, goodput, goodRequestShare, idleShare float64
}

func summarize(results []result) *summary {
	own, others := results[0], results[1:]
	ratioToBest := func(value func(result) float64) float64 {
		b, ok := bestValue(others, value, false)
		if !ok {
			return 1
		}
		return ratio(value(own), b)
	}
	peak := 0.0
	for _, r := range results {
		for _, phase := range phases {
			peak = max(peak, r[phase].Goodput)
		}
	}
	return &summary{
		gap:              ratioToBest(columns[0].value),
		preempt:          ratioToBest(columns[1].value),
		stall:            ratioToBest(columns[2].value),
		goodput:          ratio(own[phaseOver].Goodput, peak),
		goodRequestShare: own[phaseDomain].GoodRequestShare,
		idleShare:        own[phaseSteady].IdleShare,
	}
}

// worseOf returns a summary with the worse value of each field of s and o. If s is
// nil, it returns o.
func (s *summary) worseOf(o *summary) *summary {
	if s == nil {
		return o
	}
	return &summary{
		gap: max(s.gap, o.gap), preempt: max(s.preempt, o.preempt), stall: max(s.stall, o.stall),
		goodput: min(s.goodput, o.goodput), goodRequestShare: min(s.goodRequestShare, o.goodRequestShare), idleShare: max(s.idleShare, o.idleShare),
	}
}
