// Package soak runs the real programs of a deployment on the users' platform as
// separate processes, injects faults from outside in series and at the same
// time, and checks the promises by what callers, operators and targets see.
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
)

// Course of one run.
const (
	startTimeout = 30 * time.Second
	callerCount  = 4
	// allKilledShare is the share of runs in which every process is killed at
	// once after the other faults.
	allKilledShare = 0.5
)

// Options of a run.
type Options struct {
	BinDir string
	Seed   uint64
	Size   Size
	// Load is how long load and faults last.
	Load time.Duration
	// Network are the first three numbers of the loopback addresses; runs at
	// the same time need different ones.
	Network string
}

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Requests   int
	Whole      int
	Refused    int
	Faults     map[string]int
	Recovery   time.Duration // after all were killed; 0: they were not
	Violations []string
	Files      string // kept after a violation
}

// Run starts a deployment, plays one seed and checks the promises. An error
// means that the check itself failed.
func Run(ctx context.Context, o Options) (result Result, err error) {
	result.Seed = o.Seed
	result.Files, err = withDeployment(ctx, o, func(d *deployment, op *operator) (keep bool, err error) {
		play(ctx, o, d, op, &result)
		return len(result.Violations) > 0, nil
	})
	return result, err
}

// withDeployment starts a deployment, uses it and ends it. It returns the
// folder of its files if use wants them kept or anything failed.
func withDeployment(ctx context.Context, o Options, use func(*deployment, *operator) (keep bool, err error)) (files string, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	keep := false
	d, op, err := prepare(ctx, o, dir)
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

// prepare starts a deployment and waits until it serves.
func prepare(ctx context.Context, o Options, dir string) (*deployment, *operator, error) {
	d, err := newDeployment(o, dir)
	if err != nil {
		return nil, nil, err
	}
	if err := d.start(); err != nil {
		return d, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	op := newOperator(d.calls)
	if err := op.put(ctx, nil); err != nil {
		return d, nil, err
	}
	if err := d.awaitService(ctx, keptKey); err != nil {
		return d, nil, err
	}
	return d, op, d.endFirstStart()
}

// play sends load while operators work and faults happen, then checks.
func play(ctx context.Context, o Options, d *deployment, op *operator, result *Result) {
	h := &history{}
	c := &chaos{deployment: d, history: h, rng: rand.New(rand.NewPCG(o.Seed, 1)), counts: map[string]int{}}
	callers := load(ctx, o, d, op, c)
	if rand.New(rand.NewPCG(o.Seed, 0)).Float64() < allKilledShare {
		result.Recovery = c.endAll(ctx)
	}
	c.settle(ctx, op)
	verdict := &checker{deployment: d, history: h, operator: op}
	for _, x := range callers {
		verdict.outcomes = append(verdict.outcomes, x.outcomes...)
	}
	verdict.check()
	result.count(verdict.outcomes)
	result.Faults = c.counts
	result.Violations = slices.Concat(verdict.violations, c.violations, op.violations)
}

// load runs callers, operators and faults at the same time and waits for their
// end.
func load(ctx context.Context, o Options, d *deployment, op *operator, c *chaos) []*caller {
	ctx, cancel := context.WithTimeout(ctx, o.Load)
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

// endAll kills all processes at once and returns how long the system took to
// serve again.
func (c *chaos) endAll(ctx context.Context) time.Duration {
	took, err := c.killAll(ctx, keptKey)
	if err != nil {
		c.violation("not back within %v after all were killed: %v", platformtest.RecoverIn, err)
	}
	return took
}

// settle checks that everything serves after the faults, that what was
// acknowledged is there, and that no process has ended by itself.
func (c *chaos) settle(ctx context.Context, op *operator) {
	ctx, cancel := context.WithTimeout(ctx, platformtest.RecoverIn)
	defer cancel()
	if err := c.awaitService(ctx, keptKey); err != nil {
		c.violation("no service after the faults: %v", err)
	}
	op.checkKept(ctx)
	for _, i := range c.instances() {
		if i.endedByItself() {
			c.violation("%s ended by itself: %s", i.Instance.Name, i.Log(maxLogTail))
		}
	}
}

// maxLogTail bounds the part of a log that a violation quotes, in bytes.
const maxLogTail = 500

func newCaller(n int, d *deployment, rng *rand.Rand) *caller {
	c := &caller{name: fmt.Sprintf("caller-%d", n+1), place: places[n%len(places)], calls: d.calls, dial: d.dial, rng: rng}
	c.keys = func() string {
		if n == 0 {
			return revokedKey
		}
		return keptKey
	}
	return c
}

func (r *Result) count(outcomes []*outcome) {
	for _, o := range outcomes {
		r.Requests++
		switch {
		case o.whole:
			r.Whole++
		case o.refusedUnrun():
			r.Refused++
		}
	}
}

// Recoveries kills all processes of one deployment again and again and returns
// how long each time it took until every entry instance served.
func Recoveries(ctx context.Context, o Options, times int) (took []time.Duration, err error) {
	files, err := withDeployment(ctx, o, func(d *deployment, _ *operator) (keep bool, err error) {
		rng := rand.New(rand.NewPCG(o.Seed, 0))
		chaos := &chaos{deployment: d, history: &history{}, rng: rng, counts: map[string]int{}}
		for range times {
			pause(ctx, time.Duration(rng.Int64N(int64(time.Second))))
			one, err := chaos.killAll(ctx, keptKey)
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
