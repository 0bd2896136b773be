package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

const (
	// crashingBody crashes each target that begins to run a request with it.
	crashingBody = "crashing"
	// crashingInterval is the time between two repeats of the crashing request, and
	// soundInterval the same for other writes.
	crashingInterval = 100 * time.Millisecond
	soundInterval    = 20 * time.Millisecond
	// targetRestart is how long a crashed target stays away.
	targetRestart = time.Second
	// settleTime is how long after the third crash further attempts are not counted, and
	// maxLateAttempts how many may reach targets after that.
	settleTime      = time.Second
	maxLateAttempts = 3
	// quarantinedText is in the answer to a request that is refused for what it did to
	// targets, however many are left.
	quarantinedText = "targets crash when they run this request"
)

// crashPlay plays callers that repeat one request which crashes targets, beside sound ones.
type crashPlay struct {
	*deployment
	client *http.Client

	mu        sync.Mutex
	crashedAt []time.Time
	refusedAt map[string]time.Time // by entry instance: when it last refused the crashing request
}

func newCrashPlay() *crashPlay {
	return &crashPlay{client: &http.Client{Timeout: requestTimeout}, refusedAt: map[string]time.Time{}}
}

// crashesOn ends a target that gets the crashing request and starts another one later.
func (p *crashPlay) crashesOn(t *target, body []byte) bool {
	if string(body) != crashingBody {
		return false
	}
	p.mu.Lock()
	p.crashedAt = append(p.crashedAt, time.Now())
	p.mu.Unlock()
	t.crash()
	time.AfterFunc(targetRestart, func() {
		p.deployment.mu.Lock()
		defer p.deployment.mu.Unlock()
		p.targets = slices.DeleteFunc(p.targets, func(x *target) bool { return x == t })
		_, _ = p.addTargetOf(t.self.Service) // without any target checkSoundServed fails
	})
	return true
}

// write sends one write to an entry instance.
func (p *crashPlay) write(ctx context.Context, e *instance, path, id, body string) (status int, text string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.CallerAddress()+writePath+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = manifestHost
	r.Header.Set(platformtest.RequestIDHeader, id)
	r.Header.Set(platformtest.KeyHeader, keptKey)
	resp, err := p.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

// repeat calls send with each entry instance in turn, at the interval, until ctx ends.
func (p *crashPlay) repeat(ctx context.Context, interval time.Duration, send func(n int, e *instance)) {
	for n := 0; ctx.Err() == nil; n++ {
		send(n, p.entries[n%len(p.entries)])
		sleep(ctx, interval)
	}
}

func (p *crashPlay) sendCrashing(ctx context.Context, n int, e *instance) {
	_, text, err := p.write(ctx, e, crashingBody, fmt.Sprint("crashing-", n), crashingBody)
	if err == nil && strings.Contains(text, quarantinedText) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refusedAt[e.Instance.Name] = time.Now()
	}
}

// awaitRefusal waits until each entry instance refuses the crashing request.
func (p *crashPlay) awaitRefusal(ctx context.Context) error {
	since := time.Now()
	return cluster.WaitUntil(ctx, "all entry instances to refuse the request", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !slices.ContainsFunc(p.entries, func(e *instance) bool { return p.refusedAt[e.Instance.Name].Before(since) })
	})
}

// lateAttempts returns how many attempts crashed a target later than settleTime after the
// third crash. The targets run every attempt that reaches them.
func (p *crashPlay) lateAttempts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.crashedAt {
		if len(p.crashedAt) > 3 && at.Sub(p.crashedAt[2]) > settleTime {
			late++
		}
	}
	return late
}

// run plays the requests through a restart of all entry instances, and one of all
// instances.
func (p *crashPlay) run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	callers.Go(func() {
		p.repeat(ctx, crashingInterval, func(n int, e *instance) { p.sendCrashing(ctx, n, e) })
	})
	callers.Go(func() {
		p.repeat(ctx, soundInterval, func(n int, e *instance) {
			id := fmt.Sprint("sound-", n)
			_, _, _ = p.write(ctx, e, id, id, id) // fails while instances are killed
		})
	})
	if err := p.awaitRefusal(ctx); err != nil {
		return err
	}
	for _, all := range [][]*instance{p.entries, p.instances()} {
		sleep(ctx, settleTime)
		if err := p.restartAtOnce(ctx, all); err != nil {
			return err
		}
		if err := p.awaitRefusal(ctx); err != nil {
			return err
		}
	}
	return p.checkSoundServed()
}

// checkSoundServed checks that each entry instance completes sound writes.
func (p *crashPlay) checkSoundServed() error {
	for _, e := range p.entries {
		if !p.serves(e, keptKey) {
			return fmt.Errorf("%s does not serve a sound write", e.Instance.Name)
		}
	}
	return nil
}

func TestCrashingRequestStaysRefusedAfterRestartOfAllInstances(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	t.Cleanup(cancel)
	bin := t.TempDir()
	assert.NilError(t, cluster.Build(ctx, filepath.Join("..", ".."), bin))
	p := newCrashPlay()
	o := Options{BinDir: bin, Size: Size{Controls: 3, Entries: 3, Targets: 8}, NetworkPrefix: NetworkPrefix(1), crashesOn: p.crashesOn}
	_, err := withDeployment(ctx, o, func(d *deployment, _ *operator) (bool, error) {
		p.deployment = d
		return true, p.run(ctx)
	})
	assert.NilError(t, err)
	assert.Assert(t, p.lateAttempts() <= maxLateAttempts, "%d attempts after the third crash, %d crashes", p.lateAttempts(), len(p.crashedAt))
}
