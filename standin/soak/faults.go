package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/netfault"
)

// Pace and length of the faults.
const (
	faultEvery = 1500 * time.Millisecond // on average
	longest    = 5 * time.Second
	// diskQuiet is how long no other control instance may have been hit before
	// a disk is lost: the group bears one loss at a time.
	diskQuiet = 8 * time.Second
	// stopMargin is what a planned stop may take beyond its bound.
	stopMargin = time.Second
)

// chaos injects faults in series and at the same time.
type chaos struct {
	*deployment
	history *history
	rng     *rand.Rand
	running sync.WaitGroup

	mu         sync.Mutex
	counts     map[string]int
	violations []string
}

func (c *chaos) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// fault is one kind of fault; it returns at its end.
type fault struct {
	name string
	run  func(c *chaos, ctx context.Context, length time.Duration, n int)
}

var faults = []fault{
	{"kill", (*chaos).kill}, {"freeze", (*chaos).freeze}, {"stop", (*chaos).stopPlanned}, {"reload", (*chaos).reload},
	{"lose disk", (*chaos).loseDisk}, {"caller link", (*chaos).callerLink}, {"target link", (*chaos).targetLink},
	{"target crash", (*chaos).targetCrash}, {"target leaves", (*chaos).targetLeaves},
}

// run starts faults until ctx ends and waits for the end of all of them.
func (c *chaos) run(ctx context.Context) {
	for {
		pause(ctx, time.Duration(c.rng.Int64N(int64(2*faultEvery))))
		if ctx.Err() != nil {
			break
		}
		f := faults[c.rng.IntN(len(faults))]
		length, n := time.Duration(c.rng.Int64N(int64(longest))), c.rng.IntN(1<<16)
		c.mu.Lock()
		c.counts[f.name]++
		c.mu.Unlock()
		c.running.Go(func() { f.run(c, ctx, length, n) })
	}
	c.running.Wait()
}

// pick claims a process for a fault. A majority of the control instances stays
// untouched.
func (c *chaos) pick(n int) *instance {
	all := c.instances()
	i := all[n%len(all)]
	if i.Control {
		now := time.Now()
		if c.history.mostAtOnce(now, now, names(c.controls)) >= c.size.minority() {
			return nil
		}
	}
	if !i.take() {
		return nil
	}
	return i
}

func (c *chaos) kill(ctx context.Context, length time.Duration, n int) {
	if i := c.pick(n); i != nil {
		c.killAndStart(ctx, i, length, func() error { return nil })
	}
}

// killAndStart kills a process and starts it again after a while.
func (c *chaos) killAndStart(ctx context.Context, i *instance, length time.Duration, between func() error) {
	defer i.release()
	defer c.history.begin(i.Instance.Name, false)()
	i.setEnding(true)
	i.Kill()
	if err := between(); err != nil {
		c.violation("between two runs of %s: %v", i.Instance.Name, err)
	}
	pause(ctx, length)
	c.startAgain(i)
}

func (c *chaos) startAgain(i *instance) {
	if err := i.Start(); err != nil {
		c.violation("start %s: %v", i.Instance.Name, err)
	}
	i.setEnding(false)
}

func (c *chaos) freeze(ctx context.Context, length time.Duration, n int) {
	i := c.pick(n)
	if i == nil {
		return
	}
	defer i.release()
	defer c.history.begin(i.Instance.Name, false)()
	i.Freeze()
	pause(ctx, length)
	i.Continue()
}

// stopPlanned stops a process as operators do and starts it again.
func (c *chaos) stopPlanned(_ context.Context, _ time.Duration, n int) {
	i := c.pick(n)
	if i == nil {
		return
	}
	defer i.release()
	defer c.history.begin(i.Instance.Name, true)()
	i.setEnding(true)
	i.Signal(syscall.SIGTERM)
	if err := i.WaitEnd(platformtest.Grace + stopMargin); err != nil {
		c.violation("planned stop: %v", err)
		i.Kill()
	}
	c.startAgain(i)
}

// reload makes a process read its settings again.
func (c *chaos) reload(_ context.Context, _ time.Duration, n int) {
	if i := c.pick(n); i != nil {
		defer i.release()
		i.Signal(syscall.SIGHUP)
	}
}

func (c *chaos) loseDisk(ctx context.Context, length time.Duration, n int) {
	now := time.Now()
	if !c.history.calm(now.Add(-diskQuiet), now, true, names(c.controls)...) {
		return
	}
	if i := c.controls[n%len(c.controls)]; i.take() {
		c.killAndStart(ctx, i, length, func() error { return os.RemoveAll(i.DataDir) })
	}
}

// linkState draws one state of a link, spoilt in one way.
func linkState(n int) netfault.State {
	one := netfault.Fault{}
	switch n % 5 {
	case 0:
		return netfault.State{Reset: true}
	case 1:
		return netfault.State{Refuse: true}
	case 2:
		one.LatencyMS = 50 + float64(n%250)
	case 3:
		one.Cut = true
	case 4:
		one.Swallow = true
	}
	if n/5%2 == 0 {
		return netfault.State{Forward: one}
	}
	return netfault.State{Backward: one}
}

// callerLink spoils the connections between callers and an entry instance.
func (c *chaos) callerLink(ctx context.Context, length time.Duration, n int) {
	e := c.entries[n%len(c.entries)]
	if !e.take() {
		return
	}
	defer e.release()
	c.spoil(ctx, e.relay, e.Instance.Name, length, n/len(c.entries))
}

// targetLink spoils the connections to a target.
func (c *chaos) targetLink(ctx context.Context, length time.Duration, n int) {
	c.spoil(ctx, c.targetAt(n).relay, everyTarget, length, n/c.size.Targets)
}

func (c *chaos) spoil(ctx context.Context, r *netfault.Relay, what string, length time.Duration, n int) {
	defer c.history.begin(what, false)()
	r.Set(linkState(n))
	pause(ctx, length)
	// Connections that swallowed bytes have a hole and stay silent.
	r.Set(netfault.State{})
}

func (c *chaos) targetCrash(_ context.Context, _ time.Duration, n int) {
	defer c.history.begin(everyTarget, false)()
	c.takeTarget(n).crash()
	c.replaceTarget()
}

func (c *chaos) targetLeaves(ctx context.Context, _ time.Duration, n int) {
	defer c.history.begin(everyTarget, true)()
	t := c.takeTarget(n)
	c.replaceTarget()
	t.leave(context.WithoutCancel(ctx))
}

func (c *chaos) replaceTarget() {
	if _, err := c.addTarget(); err != nil {
		c.violation("start a target: %v", err)
	}
}

// killAll kills every process at once, starts all again and returns how long
// it took until every entry instance served.
func (c *chaos) killAll(ctx context.Context, key string) (time.Duration, error) {
	for _, i := range c.instances() {
		defer c.history.begin(i.Instance.Name, false)()
		i.setEnding(true)
		i.Signal(syscall.SIGKILL)
	}
	for _, i := range c.instances() {
		<-i.Done()
	}
	start := time.Now()
	for _, i := range c.instances() {
		c.startAgain(i)
	}
	ctx, cancel := context.WithTimeout(ctx, platformtest.RecoverIn)
	defer cancel()
	err := c.awaitService(ctx, key)
	return time.Since(start), err
}
