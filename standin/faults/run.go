package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/cluster"
	"github.com/endivetrack/endivetrack/standin/hostwatch"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/verify"
)

// Schedule of one cell of the fault matrix, relative to the start of the load, and
// timeouts.
const (
	startTimeout    = 60 * time.Second
	loadDuration    = 10 * time.Second
	drainTimeout    = 25 * time.Second
	injectAfter     = 2 * time.Second
	healAfter       = 7 * time.Second // an instance without network is observed until 1 s after the 3 s that an evacuation may take
	evacuateAfter   = 2500 * time.Millisecond
	restoreAfter    = 8500 * time.Millisecond
	changeInterval  = 500 * time.Millisecond
	recoveryTimeout = 15 * time.Second
	pinnedInterval  = 100 * time.Millisecond
	injectionJitter = time.Second // upper limit of the delay that the seed adds to an injection
)

// Numbers of processes in one cell's deployment.
const (
	controls = 3
	entries  = 6
	engines  = 3
	services = 3
)

// Result is the outcome of running one cell or a pair of cells.
type Result struct {
	Cells      []Cell
	Seed       uint64
	Violations []string
	// Reached is false if a fault could not be injected or its fault point never fired.
	Reached bool
	Verdict verify.Verdict
	Errors  map[string]int
	// BrokenStreams is the number of streams in which engines broke their protocol.
	BrokenStreams int
	// RecoveryTime is the time from the end of the load until every entry instance served.
	RecoveryTime time.Duration
}

// Name returns the names of the cells joined by "+".
func (r Result) Name() string {
	name := r.Cells[0].Name()
	if len(r.Cells) > 1 {
		name += "+" + r.Cells[1].Name()
	}
	return name
}

// run is the state of a running cell or pair of cells.
type run struct {
	cluster             *cluster.Cluster
	rng                 *rand.Rand
	cells               []Cell
	affected            []*cluster.Process
	result              Result
	outOfServiceWindows []verify.Window
	pinnedCancels       []context.CancelFunc
}

// Run starts a deployment, sends load, injects the cells' faults, heals them and
// checks the guarantees. Broken guarantees are reported in the result; an error
// means that the run itself failed.
func Run(ctx context.Context, binDir string, seed uint64, cells ...Cell) (Result, error) {
	dir, err := os.MkdirTemp("", "faults")
	if err != nil {
		return Result{}, err
	}
	c, err := cluster.New(cluster.Options{
		BinDir: binDir, Dir: dir, Controls: controls, Entries: entries, Engines: engines, Services: services, Accounts: 2,
		EngineFlags: []string{"-cold-for", "0", "-cold-tokens", "0"},
	})
	if err != nil {
		return Result{}, err
	}
	defer c.Stop()
	r := &run{cluster: c, rng: rand.New(rand.NewPCG(seed, 0)), cells: cells, result: Result{Cells: cells, Seed: seed, Reached: true}}
	if err := r.start(ctx); err != nil {
		return r.result, fmt.Errorf("start: %w", err)
	}
	watch := hostwatch.Start(dir)
	report, err := r.runLoad(ctx)
	if err != nil {
		watch.Stop()
		return r.result, err
	}
	r.checkRecovery(ctx)
	r.checkGuarantees(ctx, report)
	host := watch.Stop()
	if len(r.result.Violations) == 0 {
		err = os.RemoveAll(dir)
	} else {
		r.violation("files: %s; %v", dir, host)
	}
	return r.result, err
}

func (r *run) violation(format string, args ...any) {
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.cluster.Start(ctx); err != nil {
		return err
	}
	return r.waitServing(ctx)
}

// waitServing waits until a read, a protected write and a generation succeed
// through each entry instance.
func (r *run) waitServing(ctx context.Context) error {
	for i, e := range r.cluster.Entries {
		caller := loadgen.NewDirectCaller([]string{e.Address}, "", "", r.cluster.AccountKeys[0])
		err := cluster.WaitUntil(ctx, e.Name+" to serve", func() bool { return serves(ctx, caller, fmt.Sprintf("probe-%d-%d", i, time.Now().UnixNano())) })
		caller.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// serves reports whether a read, a protected write with the given idempotency key
// and a generation succeed.
func serves(ctx context.Context, caller loadgen.Caller, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if _, err := caller.Call(ctx, loadgen.CallRequest{Method: "GET", Service: cluster.PlainService, Path: "/lots/1"}); err != nil {
		return false
	}
	if _, err := caller.Call(ctx, loadgen.CallRequest{Method: "POST", Service: cluster.PlainService, Path: "/bids", IdempotencyKey: key, Body: []byte("{}")}); err != nil {
		return false
	}
	g := caller.Generate(ctx, loadgen.GenerateRequest{Model: cluster.Model, Class: cluster.ShortClass, Prompt: "[class=short] " + key, MaxTokens: 4},
		func(string, int, string) {})
	return g.Err == nil
}

func profile() loadgen.Profile {
	p := loadgen.Profile{
		Team: cluster.Team, Model: cluster.Model, PlainService: cluster.PlainService,
		ReadPaths: []string{"/lots/"}, WritePaths: []string{"/bids", "/payments"},
		Classes: []loadgen.ClassLoad{
			{Name: cluster.LongClass, Share: 0.6, MaxTokens: 200, BodyBytes: 300},
			{Name: cluster.ShortClass, Short: true, Share: 0.4, MaxTokens: 16, BodyBytes: 100},
		},
		Accounts: []loadgen.AccountLoad{{Name: "account-1", Share: 0.7}, {Name: "account-2", Share: 0.3}},
	}
	for _, location := range cluster.Locations {
		p.Locations = append(p.Locations, loadgen.Location{Region: location.Region, FailureDomain: location.FailureDomain})
	}
	return p
}

// runLoad sends load while faults are injected and an operator changes settings.
// It returns the callers' report.
func (r *run) runLoad(ctx context.Context) (loadgen.Report, error) {
	var callers []loadgen.Caller
	for i, key := range r.cluster.AccountKeys {
		location := cluster.Locations[i%len(cluster.Locations)]
		caller := loadgen.NewDirectCaller(cluster.Addresses(r.cluster.Entries), location.Region, location.FailureDomain, key)
		defer caller.Close()
		callers = append(callers, caller)
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadDuration+drainTimeout)
	defer cancel()
	start := time.Now()
	faultsDone, operatorDone := make(chan error, 1), make(chan error, 1)
	go func() { faultsDone <- r.injectAndHeal(ctx, start) }()
	go func() { operatorDone <- r.changeSettings(ctx, start) }()
	report := loadgen.Run(loadCtx, profile(), loadgen.Load{
		Seed: r.result.Seed, Duration: loadDuration, GenerateRate: 6, ReadRate: 10, WriteRate: 15, RepeatShare: 0.2,
	}, loadgen.DefaultBounds(), callers)
	defer func() {
		for _, cancel := range r.pinnedCancels {
			cancel()
		}
	}()
	if err := <-faultsDone; err != nil {
		return report, fmt.Errorf("faults: %w", err)
	}
	return report, <-operatorDone
}

// startPinnedCaller starts a caller that sends short generations to one entry
// instance only, like a caller with outdated addresses, until the load ends. The
// engines record these generations and checkGuarantees checks the records, but
// nothing checks the responses.
func (r *run) startPinnedCaller(ctx context.Context, p *cluster.Process) {
	ctx, cancel := context.WithTimeout(ctx, loadDuration)
	r.pinnedCancels = append(r.pinnedCancels, cancel)
	client := &http.Client{Timeout: time.Second}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":2,"messages":[{"role":"user","content":"[class=short] pinned"}]}`, cluster.Model)
	go func() {
		defer client.CloseIdleConnections()
		for ctx.Err() == nil {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				return
			}
			req.Header.Set("Authorization", "Bearer "+r.cluster.AccountKeys[0])
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			sleepUntil(ctx, time.Now().Add(pinnedInterval))
		}
	}()
}

// changeSettings takes a failure domain out of service, submits further changes,
// and puts the domain back into service. Each change is resent with the same id
// until it is accepted.
func (r *run) changeSettings(ctx context.Context, start time.Time) error {
	const domain = "dakar-b"
	change := func(after time.Duration, in bool) (time.Time, error) {
		sleepUntil(ctx, start.Add(after))
		for {
			callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
			err := r.cluster.SubmitInService(callCtx, domain, in)
			cancel()
			if err == nil || time.Since(start) > loadDuration+drainTimeout || ctx.Err() != nil {
				return time.Now(), err
			}
			if cluster.IsConflict(err) {
				r.violation("a resent change got a conflict: %v", err)
				return time.Now(), nil
			}
		}
	}
	from, err := change(evacuateAfter, false)
	if err != nil {
		return err
	}
	for time.Since(start) < restoreAfter {
		if _, err := change(time.Since(start)+changeInterval, false); err != nil {
			return err
		}
	}
	until := time.Now()
	r.outOfServiceWindows = append(r.outOfServiceWindows, verify.Window{FailureDomain: domain, From: from.UnixMicro(), Until: until.UnixMicro()})
	_, err = change(0, true)
	return err
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}
