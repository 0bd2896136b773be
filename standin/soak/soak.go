// Package soak runs the programs of a platform deployment as separate processes,
// injects faults from outside, one after another and concurrently, and checks
// the system's guarantees by what callers, operators and targets observe.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/hostwatch"
)

// Parameters of one run of the soak test.
const (
	startTimeout = 30 * time.Second
	callerCount  = 4
	// killAllProbability is the probability that a run ends by killing all
	// processes at once, after the other faults.
	killAllProbability = 0.5
	// diskLossProbability is the probability that control instances lose their disks then.
	diskLossProbability = 0.5
)

// Options configures a run.
type Options struct {
	BinDir string
	Seed   uint64
	Size   Size
	// LoadDuration is how long callers send load and new faults are started.
	LoadDuration time.Duration
	// NetworkPrefix is the first three octets of the loopback addresses.
	// Concurrent runs need different prefixes.
	NetworkPrefix string
	// crashesOn, versionOf and misbehavior are those of the deployment.
	crashesOn   func(t *target, body []byte) bool
	versionOf   func(n int) string
	misbehavior misbehavior
	retrySlack  int
	// routeTimeout is that of all routes; requestTimeout if zero.
	routeTimeout time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Seed         uint64
	Requests     int
	Complete     int
	Refused      int
	OddAnswers   int // answers of targets that broke the protocol
	Faults       map[string]int
	RecoveryTime time.Duration // time until all entry instances served again after all processes were killed; 0 if not killed
	DisksLost    int           // control instances that lost their disks while all processes were killed
	Violations   []string
	Host         hostwatch.Report // what the run got of the computer it ran on
	Dir          string           // directory of the run's files; empty if it was removed
}

// Run starts a deployment, runs the load and the faults that the seed determines
// and checks the guarantees. Broken guarantees are reported in the result; an
// error means that the run itself failed.
func Run(ctx context.Context, o Options) (result Result, err error) {
	result.Seed = o.Seed
	odd := newSeededMisbehavior(o.Seed)
	o.misbehavior = odd
	result.Dir, err = withDeployment(ctx, o, func(d *deployment, op *operator) (keep bool, err error) {
		runAndCheck(ctx, o, d, op, &result)
		result.OddAnswers = odd.oddAnswers()
		return len(result.Violations) > 0, nil
	})
	return result, err
}

// withDeployment starts a deployment, calls use and stops the deployment. It then
// removes the directory of the deployment's files. If use asks to keep the files,
// or if an error occurs, the directory stays and withDeployment returns its path.
func withDeployment(ctx context.Context, o Options, use func(*deployment, *operator) (keep bool, err error)) (files string, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	keep := false
	d, op, err := startDeployment(ctx, o, dir)
	defer func() {
		if d != nil {
			err = errors.Join(err, d.stop())
		}
		if keep || err != nil {
			files = dir
			return
		}
		err = os.RemoveAll(dir)
	}()
	if err != nil {
		return "", err
	}
	keep, err = use(d, op)
	return "", err
}

// startDeployment starts a deployment with its files in dir and waits until it
// serves. The deployment is returned even after an error if it was created, so
// that the caller can stop it.
func startDeployment(ctx context.Context, o Options, dir string) (*deployment, *operator, error) {
	d, err := newDeployment(o, dir)
	if err != nil {
		return nil, nil, err
	}
	if err := d.start(); err != nil {
		return d, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op := newOperator(d.client)
	if o.routeTimeout > 0 {
		op.setRouteTimeout(o.routeTimeout)
	}
	if err := op.putManifest(ctx, nil); err != nil {
		return d, nil, err
	}
	if err := d.awaitService(ctx, keptKey); err != nil {
		return d, nil, err
	}
	return d, op, d.writeRestartSettings()
}

// runAndCheck runs load, operator changes and faults, then checks the guarantees
// and fills in result.
func runAndCheck(ctx context.Context, o Options, d *deployment, op *operator, result *Result) {
	watch := hostwatch.Start(d.dir)
	defer func() { result.Host = watch.Stop() }()
	h := &history{}
	c := &faultInjector{deployment: d, history: h, rng: rand.New(rand.NewPCG(o.Seed, 1)), counts: map[string]int{}}
	callers := runLoad(ctx, o, d, op, c)
	c.checkNothingHeld(ctx) // before the processes are killed
	end := rand.New(rand.NewPCG(o.Seed, 0))
	killed := end.Float64() < killAllProbability
	if killed {
		lost := c.disksToLose(end)
		result.DisksLost = len(lost)
		op.changeBeforeKill(ctx)
		result.RecoveryTime = c.killAllAndRecover(ctx, lost)
	}
	recoveredAt := time.Now()
	c.checkAfterFaults(ctx, op)
	if killed {
		sleep(ctx, time.Until(recoveredAt.Add(platformtest.EvacuateWithin)))
		c.checkDomainStaysOut()
	}
	check := &checker{deployment: d, history: h, operator: op}
	for _, x := range callers {
		check.outcomes = append(check.outcomes, x.outcomes...)
	}
	check.checkOutcomes()
	result.countOutcomes(check.outcomes)
	result.Faults = c.counts
	result.Violations = slices.Concat(check.violations, c.violations, op.violations)
}

// runLoad runs callers, the operator and faults concurrently for the load
// duration, waits for all of them and returns the callers.
func runLoad(ctx context.Context, o Options, d *deployment, op *operator, c *faultInjector) []*caller {
	ctx, cancel := context.WithTimeout(ctx, o.LoadDuration)
	defer cancel()
	var callers []*caller
	var all sync.WaitGroup
	for i := range callerCount {
		x := newCaller(i, d, rand.New(rand.NewPCG(o.Seed, uint64(2+i))))
		callers = append(callers, x)
		all.Go(func() { x.run(ctx) })
	}
	all.Go(func() { op.run(ctx) })
	all.Go(func() { c.run(ctx) })
	all.Wait()
	return callers
}

// disksToLose chooses control instances that lose their disks while all processes are
// killed: none, or as many as the group tolerates.
func (c *faultInjector) disksToLose(rng *rand.Rand) []*instance {
	if rng.Float64() >= diskLossProbability {
		return nil
	}
	var lost []*instance
	for _, n := range rng.Perm(len(c.controls))[:c.size.tolerableFailures()] {
		lost = append(lost, c.controls[n])
	}
	return lost
}

// killAllAndRecover kills all processes at once and returns how long the system
// took to serve again. It records a violation if that took longer than
// RecoverWithin.
func (c *faultInjector) killAllAndRecover(ctx context.Context, lost []*instance) time.Duration {
	took, err := c.killAll(ctx, keptKey, lost)
	if err != nil {
		c.violation("no recovery within %v after all processes were killed: %v", platformtest.RecoverWithin, err)
	}
	return took
}

// checkAfterFaults checks, after the faults, that every entry instance serves,
// that acknowledged settings are kept, and that no process exited unexpectedly.
func (c *faultInjector) checkAfterFaults(ctx context.Context, op *operator) {
	ctx, cancel := context.WithTimeout(ctx, platformtest.RecoverWithin)
	defer cancel()
	if err := c.awaitService(ctx, keptKey); err != nil {
		c.violation("no service after the faults: %v", err)
	}
	op.checkAckedSettingsKept(ctx)
	c.checkNewTargetIsFound(ctx)
	for _, i := range c.instances() {
		if i.exitedUnexpectedly() {
			c.violation("%s exited unexpectedly: %s", i.Instance.Name, i.LogTail(maxLogTailBytes))
		}
	}
}

// checkDomainStaysOut checks that the failure domain that was taken out of service before all
// processes were killed gets no requests.
func (c *faultInjector) checkDomainStaysOut() {
	from := time.Now()
	for _, e := range c.entries {
		if e.FailureDomain == evacuatedDomain {
			c.serves(e, keptKey)
			c.serves(e, keptKey)
		}
	}
	if e, ok := c.executionLog.ranIn(evacuatedDomain, from); ok {
		c.violation("%s reached %s after the restart, whose failure domain had been taken out before", e.id, e.target)
	}
}

// maxLogTailBytes limits the part of a log that a violation quotes.
const maxLogTailBytes = 500

// newCaller returns caller n. The first caller uses the key that the operator
// revokes during the run, all others use the key that stays valid.
func newCaller(n int, d *deployment, rng *rand.Rand) *caller {
	c := &caller{name: fmt.Sprintf("caller-%d", n+1), location: locations[n%len(locations)], client: d.client, dial: d.dial, rng: rng}
	c.apiKey = func() string {
		if n == 0 {
			return revokedKey
		}
		return keptKey
	}
	return c
}

func (r *Result) countOutcomes(outcomes []*outcome) {
	for _, o := range outcomes {
		r.Requests++
		switch {
		case o.complete:
			r.Complete++
		case o.refusedAsNotRun():
			r.Refused++
		}
	}
}

// MeasureRecoveries kills all processes of one deployment repeatedly and returns, for
// each time, how long it took until every entry instance served again.
func MeasureRecoveries(ctx context.Context, o Options, times int) (took []time.Duration, err error) {
	files, err := withDeployment(ctx, o, func(d *deployment, _ *operator) (keep bool, err error) {
		rng := rand.New(rand.NewPCG(o.Seed, 0))
		injector := &faultInjector{deployment: d, history: &history{}, rng: rng, counts: map[string]int{}}
		for range times {
			sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
			one, err := injector.killAll(ctx, keptKey, nil)
			if err != nil {
				return true, err
			}
			took = append(took, one)
		}
		return false, nil
	})
	if err != nil {
		return took, fmt.Errorf("files in %q: %w", files, err)
	}
	return took, nil
}
