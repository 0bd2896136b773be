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

// Frequency and duration of the injected faults.
const (
	meanFaultInterval = 1500 * time.Millisecond // intervals between faults are distributed uniformly from 0 to twice the mean
	maxFaultDuration  = 5 * time.Second
	// diskLossQuietPeriod is how long all control instances must have been without
	// a fault before one loses its disk: the group tolerates one loss at a time.
	diskLossQuietPeriod = 8 * time.Second
	// stopMargin is added to the time limit of a planned stop.
	stopMargin = time.Second
)

// faultInjector injects faults into a deployment, one after another and concurrently.
type faultInjector struct {
	*deployment
	history *history
	rng     *rand.Rand
	active  sync.WaitGroup

	mu         sync.Mutex
	counts     map[string]int
	violations []string
}

func (c *faultInjector) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// fault is a kind of fault. run returns when the fault is over; n is a random
// number that selects the affected process and the variant of the fault.
type fault struct {
	name string
	run  func(c *faultInjector, ctx context.Context, duration time.Duration, n int)
}

var faults = []fault{
	{"kill", (*faultInjector).kill}, {"freeze", (*faultInjector).freeze}, {"stop", (*faultInjector).plannedStop}, {"reload", (*faultInjector).reload},
	{"lose disk", (*faultInjector).loseDisk}, {"caller link", (*faultInjector).disruptCallerLink}, {"target link", (*faultInjector).disruptTargetLink},
	{"target crash", (*faultInjector).crashTarget}, {"target leaves", (*faultInjector).drainTarget},
	{"misbehavior", (*faultInjector).misbehave}, {"misbehavior", (*faultInjector).misbehave}, {"misbehavior", (*faultInjector).misbehave},
	{"other writer", (*faultInjector).announceOdd},
	{"leaves by answers", (*faultInjector).leaveByAnswers}, {"wants quiet", (*faultInjector).wantQuiet},
	{"parts of requests", (*faultInjector).sendParts}, {"crash while frozen", (*faultInjector).crashWhileFrozen},
}

// run starts faults until ctx is done and waits until all of them are over.
func (c *faultInjector) run(ctx context.Context) {
	for {
		sleep(ctx, time.Duration(c.rng.Int64N(int64(2*meanFaultInterval))))
		if ctx.Err() != nil {
			break
		}
		f := faults[c.rng.IntN(len(faults))]
		duration, n := time.Duration(c.rng.Int64N(int64(maxFaultDuration))), c.rng.IntN(1<<16)
		c.mu.Lock()
		c.counts[f.name]++
		c.mu.Unlock()
		c.active.Go(func() { f.run(c, ctx, duration, n) })
	}
	c.active.Wait()
}

// claimInstance claims the process that n selects for a fault. It returns nil if
// another fault has claimed the process, or if the process is a control instance
// and so many others are faulty that its fault would lose the quorum.
func (c *faultInjector) claimInstance(n int) *instance {
	all := c.instances()
	i := all[n%len(all)]
	if i.Control {
		now := time.Now()
		if c.history.maxConcurrentlyFaulty(now, now, instanceNames(c.controls)) >= c.size.tolerableFailures() {
			return nil
		}
	}
	if !i.tryClaim() {
		return nil
	}
	return i
}

func (c *faultInjector) kill(ctx context.Context, duration time.Duration, n int) {
	if i := c.claimInstance(n); i != nil {
		c.killAndRestart(ctx, i, duration, func() error { return nil })
	}
}

// killAndRestart kills a process, calls beforeRestart, and starts the process
// again after the given duration. It releases the claim on the instance.
func (c *faultInjector) killAndRestart(ctx context.Context, i *instance, duration time.Duration, beforeRestart func() error) {
	defer i.release()
	defer c.history.beginFault(i.Instance.Name, false)()
	i.setExpectedExit(true)
	i.Kill()
	if err := beforeRestart(); err != nil {
		c.violation("before the restart of %s: %v", i.Instance.Name, err)
	}
	sleep(ctx, duration)
	c.restart(i)
}

func (c *faultInjector) restart(i *instance) {
	if err := i.Start(); err != nil {
		c.violation("start %s: %v", i.Instance.Name, err)
	}
	i.setExpectedExit(false)
}

func (c *faultInjector) freeze(ctx context.Context, duration time.Duration, n int) {
	i := c.claimInstance(n)
	if i == nil {
		return
	}
	defer i.release()
	defer c.history.beginFault(i.Instance.Name, false)()
	i.Freeze()
	sleep(ctx, duration)
	i.Continue()
}

// plannedStop stops a process gracefully with SIGTERM and starts it again.
func (c *faultInjector) plannedStop(_ context.Context, _ time.Duration, n int) {
	i := c.claimInstance(n)
	if i == nil {
		return
	}
	defer i.release()
	defer c.history.beginFault(i.Instance.Name, true)()
	i.setExpectedExit(true)
	i.Signal(syscall.SIGTERM)
	if err := i.WaitExit(platformtest.Grace + stopMargin); err != nil {
		c.violation("planned stop: %v", err)
		i.Kill()
	}
	c.restart(i)
}

// reload makes a process reload its settings with SIGHUP.
func (c *faultInjector) reload(_ context.Context, _ time.Duration, n int) {
	if i := c.claimInstance(n); i != nil {
		defer i.release()
		i.Signal(syscall.SIGHUP)
	}
}

func (c *faultInjector) loseDisk(ctx context.Context, duration time.Duration, n int) {
	now := time.Now()
	if !c.history.faultFree(now.Add(-diskLossQuietPeriod), now, true, instanceNames(c.controls)...) {
		return
	}
	if i := c.controls[n%len(c.controls)]; i.tryClaim() {
		c.killAndRestart(ctx, i, duration, func() error { return os.RemoveAll(i.DataDir) })
	}
}

// linkStateFor maps the random number n to a relay state with exactly one fault. A
// reset and refused connections affect both directions; latency, a cut and swallowed
// bytes affect one.
func linkStateFor(n int) netfault.State {
	f := netfault.Fault{}
	switch n % 5 {
	case 0:
		return netfault.State{Reset: true}
	case 1:
		return netfault.State{Refuse: true}
	case 2:
		f.LatencyMS = 50 + float64(n%250)
	case 3:
		f.Cut = true
	case 4:
		f.Swallow = true
	}
	if n/5%2 == 0 {
		return netfault.State{Forward: f}
	}
	return netfault.State{Backward: f}
}

// disruptCallerLink disrupts the connections between callers and an entry
// instance.
func (c *faultInjector) disruptCallerLink(ctx context.Context, duration time.Duration, n int) {
	e := c.entries[n%len(c.entries)]
	if !e.tryClaim() {
		return
	}
	defer e.release()
	c.disruptLink(ctx, e.relay, e.Instance.Name, duration, n/len(c.entries))
}

// disruptTargetLink disrupts the connections between entry instances and a target.
func (c *faultInjector) disruptTargetLink(ctx context.Context, duration time.Duration, n int) {
	c.disruptLink(ctx, c.targetAt(n).relay, allTargets, duration, n/c.size.Targets)
}

func (c *faultInjector) disruptLink(ctx context.Context, r *netfault.Relay, subject string, duration time.Duration, n int) {
	defer c.history.beginFault(subject, false)()
	r.Set(linkStateFor(n))
	sleep(ctx, duration)
	// Connections on which bytes were swallowed stay silent after the fault,
	// because their byte stream has a gap.
	r.Set(netfault.State{})
}

// crashTarget stops a target without notice and starts another one.
func (c *faultInjector) crashTarget(_ context.Context, _ time.Duration, n int) {
	defer c.history.beginFault(allTargets, false)()
	t := c.removeTarget(n)
	if n/c.size.Targets%2 == 0 {
		t.crash()
	} else {
		t.abort()
	}
	c.replaceTarget(t)
}

// drainTarget starts another target and stops one as planned, even if ctx ends
// meanwhile.
func (c *faultInjector) drainTarget(ctx context.Context, _ time.Duration, n int) {
	defer c.history.beginFault(allTargets, true)()
	t := c.removeTarget(n)
	c.replaceTarget(t)
	t.drainAndStop(context.WithoutCancel(ctx))
}

// leaveByAnswers starts another target and lets one say in its answers only that it leaves;
// its announcements say that it is ready until it ends.
func (c *faultInjector) leaveByAnswers(ctx context.Context, _ time.Duration, n int) {
	ctx = context.WithoutCancel(ctx)
	defer c.history.beginFault(allTargets, true)()
	t := c.removeTarget(n)
	c.replaceTarget(t)
	t.statements.sayLeaving()
	sleep(ctx, 2*drainDuration)
	first, now := t.statements.first(), time.Now()
	if !first.IsZero() && c.history.faultFree(first, now, true, instanceNames(c.entries)...) {
		if late := t.statements.arrivedBetween(first.Add(tellTime), now); late > 0 {
			c.violation("%d requests reached %s, which had said in answers that it leaves", late, t.self.ID)
		}
	}
	t.crash()
}

// wantQuiet lets a target turn requests away and say for how long it wants none.
func (c *faultInjector) wantQuiet(ctx context.Context, duration time.Duration, n int) {
	ctx = context.WithoutCancel(ctx)
	defer c.history.beginFault(allTargets, true)()
	t := c.targetAt(n)
	until := time.Now().Add(duration)
	t.statements.wantQuiet(until)
	sleep(ctx, duration)
	first := t.statements.first()
	if first.IsZero() || !c.history.faultFree(first, until, true, instanceNames(c.entries)...) {
		return
	}
	// One request of each instance brings it the refusal.
	allowed := (1 + maxInQuiet) * len(c.entries)
	if late := t.statements.arrivedBetween(first.Add(quietGrace), until); late > allowed {
		c.violation("%d requests reached %s in its quiet time, %d allowed", late, t.self.ID, allowed)
	}
}

// misbehave makes two targets, as a rule one of each service, break the protocol with a
// share of their answers, or with all.
func (c *faultInjector) misbehave(ctx context.Context, duration time.Duration, n int) {
	defer c.history.beginFault(allTargets, false)()
	share := []float64{0.1, 0.3, 0.7, 1}[n/c.size.Targets%4]
	for _, t := range []*target{c.targetAt(n), c.targetAt(n + 1)} {
		t.setMisbehavingShare(share)
		defer t.setMisbehavingShare(0)
	}
	sleep(ctx, duration)
}

// announceOdd is another writer, which announces things that are no targets.
func (c *faultInjector) announceOdd(ctx context.Context, duration time.Duration, _ int) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	if err := c.runOtherWriter(ctx, func() { <-ctx.Done() }); err != nil {
		c.violation("start the other writer: %v", err)
	}
}

// crashWhileFrozen lets a target crash and another one start, as a rule more than once, while an
// entry instance is frozen that may have requests there.
func (c *faultInjector) crashWhileFrozen(ctx context.Context, duration time.Duration, n int) {
	e := c.entries[n%len(c.entries)]
	if !e.tryClaim() {
		return
	}
	defer e.release()
	defer c.history.beginFault(e.Instance.Name, false)()
	e.Freeze()
	defer e.Continue()
	for i, pause := 0, duration/3; i < 3; i++ {
		c.crashTarget(ctx, 0, n/len(c.entries)+i)
		sleep(ctx, pause)
	}
}

// replaceTarget starts a target of the same service: neither may run out of targets.
func (c *faultInjector) replaceTarget(t *target) {
	c.deployment.mu.Lock()
	defer c.deployment.mu.Unlock()
	if _, err := c.addTargetOf(t.self.Service); err != nil {
		c.violation("start a target: %v", err)
	}
}

// killAll kills every process at once, restarts them all and returns the time
// from the restart until every entry instance served. The control instances in lost lose
// their disks.
func (c *faultInjector) killAll(ctx context.Context, key string, lost []*instance) (time.Duration, error) {
	for _, i := range c.instances() {
		defer c.history.beginFault(i.Instance.Name, false)()
	}
	killAtOnce(c.instances())
	for _, i := range lost {
		if err := os.RemoveAll(i.DataDir); err != nil {
			return 0, err
		}
	}
	start := time.Now()
	for _, i := range c.instances() {
		c.restart(i)
	}
	ctx, cancel := context.WithTimeout(ctx, platformtest.RecoverWithin)
	defer cancel()
	err := c.awaitService(ctx, key)
	return time.Since(start), err
}

// killAtOnce kills processes and waits until they have ended.
func killAtOnce(all []*instance) {
	for _, i := range all {
		i.setExpectedExit(true)
		i.Signal(syscall.SIGKILL)
	}
	for _, i := range all {
		<-i.Done()
	}
}
