package soak

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/cluster"
)

// quietSpan is for how long a target wants no requests.
const quietSpan = 3 * time.Second

// statementPlay plays writes at all entry instances while one of the targets says something
// of itself in its answers only; its announcements say that it is ready.
type statementPlay struct {
	*crashPlay
	mu     sync.Mutex
	served map[int]int // answers by status; 0 for none
}

// run calls say for a target of the plain service while writes come.
func (p *statementPlay) run(ctx context.Context, say func(ctx context.Context, x *target) error) error {
	ctx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	for _, e := range p.entries {
		callers.Go(func() {
			p.repeat(ctx, soundInterval, func(n int, _ *instance) { p.writeSound(ctx, e, n) })
		})
	}
	sleep(ctx, time.Second)
	p.deployment.mu.Lock()
	i := slices.IndexFunc(p.targets, func(t *target) bool { return t.self.Service != modelService })
	x := p.targets[i]
	p.deployment.mu.Unlock()
	return say(ctx, x)
}

func (p *statementPlay) writeSound(ctx context.Context, e *instance, n int) {
	id := fmt.Sprint("sound-", e.Instance.Name, "-", n)
	status, _, err := p.write(ctx, e, id, id, id)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		status = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served[status]++
}

func playStatement(t *testing.T, prefix int, say func(p *statementPlay, ctx context.Context, x *target) error) *statementPlay {
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	t.Cleanup(cancel)
	bin := t.TempDir()
	assert.NilError(t, cluster.Build(ctx, filepath.Join("..", ".."), bin))
	p := &statementPlay{crashPlay: newCrashPlay(), served: map[int]int{}}
	o := Options{BinDir: bin, Size: Size{Controls: 3, Entries: 3, Targets: 8}, NetworkPrefix: NetworkPrefix(prefix)}
	_, err := withDeployment(ctx, o, func(d *deployment, _ *operator) (bool, error) {
		p.deployment = d
		return true, p.run(ctx, func(ctx context.Context, x *target) error { return say(p, ctx, x) })
	})
	assert.NilError(t, err)
	return p
}

// Guards against requests at a target that says only in its answers that it leaves, also
// from an instance that has restarted since.
func TestTargetThatLeavesByItsAnswersGetsNoRequests(t *testing.T) {
	playStatement(t, 2, func(p *statementPlay, ctx context.Context, x *target) error {
		x.statements.sayLeaving()
		if err := cluster.WaitUntil(ctx, "an answer that says so", func() bool { return !x.statements.first().IsZero() }); err != nil {
			return err
		}
		sleep(ctx, tellTime)
		told := time.Now()
		sleep(ctx, 2*time.Second)
		if n := x.statements.arrivedBetween(told, time.Now()); n > 0 {
			return fmt.Errorf("%d requests reached the target after all instances could know", n)
		}
		e := p.entries[0]
		e.setExpectedExit(true)
		e.Kill()
		if err := e.Start(); err != nil {
			return err
		}
		e.setExpectedExit(false)
		if err := p.awaitService(ctx, keptKey); err != nil {
			return err
		}
		sleep(ctx, tellTime)
		told = time.Now()
		sleep(ctx, 2*time.Second)
		if n := x.statements.arrivedBetween(told, time.Now()); n > 0 {
			return fmt.Errorf("%d requests reached the target after a restart of %s", n, e.Instance.Name)
		}
		return nil
	})
}

// Guards against requests at a target that has asked for none for some time, and against
// callers that lose theirs although other targets have room.
func TestTargetThatWantsQuietGetsIt(t *testing.T) {
	p := playStatement(t, 3, func(_ *statementPlay, ctx context.Context, x *target) error {
		until := time.Now().Add(quietSpan)
		x.statements.wantQuiet(until)
		sleep(ctx, quietSpan+time.Second)
		first := x.statements.first()
		if first.IsZero() {
			return fmt.Errorf("the target got no request")
		}
		if n := x.statements.arrivedBetween(first.Add(quietGrace), until); n > 3*maxInQuiet {
			return fmt.Errorf("%d requests in the quiet time", n)
		}
		if x.statements.arrivedBetween(until, time.Now()) == 0 {
			return fmt.Errorf("the target is not used any more")
		}
		return nil
	})
	assert.Assert(t, p.served[http.StatusOK] > 0 && len(p.served) == 1, "%v", p.served)
}
