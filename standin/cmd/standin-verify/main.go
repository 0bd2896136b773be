// Command standin-verify fetches the records of the stand-ins, compares them
// with the callers' reports and prints the result. Its arguments are run
// directories with instances.txt, load.json and, optionally, windows.txt. It exits
// non-zero if a check fails.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/service"
	"github.com/endivetrack/endivetrack/standin/verify"
)

const fetchTimeout = 5 * time.Second

func main() {
	label := flag.String("label", "verify", "label of the summary line")
	flag.Parse()
	var total verify.Verdict
	for _, dir := range flag.Args() {
		v, err := verifyRun(dir)
		if err != nil {
			fmt.Fprintln(os.Stderr, dir+":", err)
			os.Exit(1)
		}
		total.Add(v)
	}
	state := "ok"
	if !total.OK() {
		state = "failed"
	}
	fmt.Printf("%s: %s requests=%d whole=%d lost=%d duplicated=%d cut=%d\n",
		*label, state, total.Requests, total.Complete, total.Lost, total.Duplicated, total.Cut)
	if state != "ok" {
		os.Exit(1)
	}
}

func verifyRun(dir string) (verify.Verdict, error) {
	var report loadgen.Report
	if err := readJSON(filepath.Join(dir, "load.json"), &report); err != nil {
		return verify.Verdict{}, err
	}
	engines, services, err := fetchRecords(filepath.Join(dir, "instances.txt"))
	if err != nil {
		return verify.Verdict{}, err
	}
	windows, err := readWindows(filepath.Join(dir, "windows.txt"))
	if err != nil {
		return verify.Verdict{}, err
	}
	v := verify.Compare(report, engines, services, windows)
	printResult(report, v, windows)
	return v, nil
}

func readJSON(file string, out any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// fetchRecords fetches the records of the engines and services that file lists. Each
// line names a kind, a name and, in the fifth field, an address.
func fetchRecords(file string) (engines []engine.Record, services []service.Record, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "engine":
			var r engine.Record
			err = fetchRecord(f[4], &r)
			engines = append(engines, r)
		case "service":
			var r service.Record
			err = fetchRecord(f[4], &r)
			services = append(services, r)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", f[1], err)
		}
	}
	return engines, services, nil
}

func fetchRecord(address string, out any) error {
	client := http.Client{Timeout: fetchTimeout}
	resp, err := client.Get("http://" + address + "/standin/record")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// readWindows reads the time spans in which failure domains were out of service. Each
// line has the form "failure_domain from until", with times in microseconds of Unix
// time. A missing file means that there were none.
func readWindows(file string) ([]verify.Window, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var out []verify.Window
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		var w verify.Window
		if _, err := fmt.Sscan(line, &w.FailureDomain, &w.From, &w.Until); err != nil {
			return nil, fmt.Errorf("%s: %q: %w", file, line, err)
		}
		out = append(out, w)
	}
	return out, nil
}

func printResult(r loadgen.Report, v verify.Verdict, windows []verify.Window) {
	fmt.Printf("%s\n", r.Team)
	fmt.Printf("  callers   requests=%d whole=%d refused=%d repeats=%d tokens=%d cut=%d lost=%d duplicated=%d foreign=%d\n",
		v.Requests, v.Complete, v.Refused, r.Retries, r.Tokens, v.Cut, v.Lost, v.Duplicated, v.Foreign)
	fmt.Printf("  stand-ins generations=%d failed=%d cancelled=%d preemptions=%d cold_overload_steps=%d writes_run=%d false_not_run=%d\n",
		v.Generations, v.Failed, v.Cancelled, v.Preemptions, v.OverloadSteps, v.Executions, v.FalseNotRun)
	for _, w := range windows {
		fmt.Printf("  %s out of service for %.1fs: new work inside=%d, after 3 s=%d\n",
			w.FailureDomain, float64(w.Until-w.From)/1e6, v.WorkInWindows, v.LateWork)
	}
	classes := make([]string, 0, len(r.Latency))
	for c := range r.Latency {
		classes = append(classes, c)
	}
	slices.Sort(classes)
	for _, c := range classes {
		l := r.Latency[c]
		fmt.Printf("  %-16s n=%-5d whole request p50=%.0f p99=%.0f ms", c, l.Count, l.P50, l.P99)
		if f, ok := r.FirstToken[c]; ok {
			fmt.Printf("; first token p50=%.0f p95=%.0f ms; between tokens p50=%.1f p95=%.1f p99=%.1f ms", f.P50, f.P95, r.Gap[c].P50, r.Gap[c].P95, r.Gap[c].P99)
		}
		fmt.Println()
	}
	fmt.Printf("  stalls=%d (%.0f ms)\n", r.Stalls, r.StallMS)
	for _, n := range append(v.Notes, r.FirstErrors...) {
		fmt.Println("  !", n)
	}
	for code, n := range r.Refusals {
		fmt.Printf("  sent again after %s: %d\n", code, n)
	}
	for code, n := range r.Errors {
		fmt.Printf("  error %s: %d\n", code, n)
	}
}
