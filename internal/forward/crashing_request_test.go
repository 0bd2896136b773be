package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/quarantine"
)

const (
	// crashingBody crashes each target that begins to run a request with it.
	crashingBody = "crashing"
	// settleTime is how long after the third crash further attempts are not counted.
	settleTime = time.Second
	// maxLateAttempts is how many attempts may reach targets after that.
	maxLateAttempts = 3
)

// linkEvidence passes what each instance knows of crashes on to the others.
func linkEvidence(t *testing.T, fixtures ...*fixture) {
	ctx, cancel := context.WithCancel(context.Background())
	var links sync.WaitGroup
	for _, from := range fixtures {
		links.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-from.config.Quarantine.Changed():
				}
				m := from.config.Quarantine.Evidence()
				for _, to := range fixtures {
					if m != nil && to != from {
						to.config.Quarantine.Merge(m)
					}
				}
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		links.Wait()
	})
}

// crashPlay sends requests to instances that share targets, and counts the sound ones.
type crashPlay struct {
	fixtures []*fixture
	streams  bool // the requests have prompts, and are answered with streams
	begun    time.Time
	length   time.Duration

	mu sync.Mutex
	// sound and served count the sound requests of the second half, by kind.
	sound, served map[string]int
}

// repeat sends the requests that next returns until the play ends, one each interval. A
// request that was lost is sent once more, at another instance.
func (p *crashPlay) repeat(t *testing.T, kind string, interval time.Duration, retries int, next func(n int) (path, body string)) {
	for n := 0; time.Since(p.begun) < p.length; n++ {
		sentAt := time.Now()
		path, body := next(n)
		status := 0
		for try := 0; try <= retries; try++ {
			f := p.fixtures[(n+try)%len(p.fixtures)]
			resp, _, err := f.call(t, "POST", path, body, p.header(kind, n, try)...)
			if err == nil {
				status = resp.StatusCode
			}
			if status == http.StatusOK || status == http.StatusServiceUnavailable {
				break
			}
		}
		p.record(kind, sentAt, status == http.StatusOK)
		time.Sleep(time.Until(sentAt.Add(interval)))
	}
}

func (p *crashPlay) header(kind string, n, try int) []string {
	header := []string{"T-Id", fmt.Sprintf("%s-%d-%d", kind, n, try)}
	if p.streams {
		header = append(header, "T-Parts", fmt.Sprintf("5a:50,%d:20", n))
	}
	return header
}

func (p *crashPlay) record(kind string, sentAt time.Time, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sentAt.Sub(p.begun) < p.length/2 {
		return
	}
	p.sound[kind]++
	if served {
		p.served[kind]++
	}
}

// lateAttempts returns how many attempts of a crashing request arrived later than settleTime
// after its third crash, and the number of its crashes.
func lateAttempts(targets []*crashingTarget, body string) (late, crashes int) {
	var crashedAt, arrivals []time.Time
	for _, x := range targets {
		x.mu.Lock()
		crashedAt = append(crashedAt, timesOf(x.crashedBy, body)...)
		arrivals = append(arrivals, timesOf(x.arrivals, body)...)
		x.mu.Unlock()
	}
	slices.SortFunc(crashedAt, time.Time.Compare)
	if len(crashedAt) < 3 {
		return 0, len(crashedAt)
	}
	for _, at := range arrivals {
		if at.Sub(crashedAt[2]) > settleTime {
			late++
		}
	}
	return late, len(crashedAt)
}

func timesOf(list []crashArrival, body string) []time.Time {
	var out []time.Time
	for _, x := range list {
		if x.body == body {
			out = append(out, x.at)
		}
	}
	return out
}

// playCrashing plays callers that repeat crashing requests beside sound ones, at instances
// that share three targets, and checks what reaches the targets and what callers get.
func playCrashing(t *testing.T, service string, instances, callersEach int, path string, bodies ...string) {
	targets := newCrashingTargets(t, 3)
	p := &crashPlay{streams: service == "llm", begun: time.Now(), length: 4 * time.Second, sound: map[string]int{}, served: map[string]int{}}
	for range instances {
		p.fixtures = append(p.fixtures, newFixture(t, service))
	}
	announceCrashing(t, service, targets, p.fixtures...)
	linkEvidence(t, p.fixtures...)
	var callers sync.WaitGroup
	for _, body := range bodies {
		for range callersEach {
			callers.Go(func() {
				p.repeat(t, body, 120*time.Millisecond, 1, func(int) (string, string) { return path, body })
			})
		}
	}
	repeated, once := "/read/", "/write/"
	if p.streams {
		repeated, once = "/short/", "/long/"
	}
	callers.Go(func() {
		p.repeat(t, "repeatable", 10*time.Millisecond, 1, func(n int) (string, string) { return fmt.Sprint(repeated, n), "" })
	})
	callers.Go(func() {
		p.repeat(t, "hot", 20*time.Millisecond, 1, func(int) (string, string) { return repeated + "hot", "same" })
	})
	callers.Go(func() {
		p.repeat(t, "protected", 20*time.Millisecond, 0, func(n int) (string, string) { return fmt.Sprint(once, n), "pay" })
	})
	callers.Wait()
	for _, body := range bodies {
		late, crashes := lateAttempts(targets, body)
		assert.Assert(t, late <= maxLateAttempts, "%s: %d attempts after the third crash, %d crashes", body, late, crashes)
		assert.Equal(t, p.served[body], 0)
	}
	for _, kind := range []string{"repeatable", "hot", "protected"} {
		assert.Equal(t, p.served[kind], p.sound[kind], "%s: sound requests are served beside the crashing one", kind)
	}
}

func TestRequestThatCrashesEachTargetStopsReachingThem(t *testing.T) {
	t.Parallel()
	playCrashing(t, "core", 3, 2, "/read/crashing", crashingBody)
}

// Guards against repeats of several requests that hide each other, many at a time.
func TestSeveralCrashingRequestsAreToldApart(t *testing.T) {
	t.Parallel()
	playCrashing(t, "core", 6, 4, "/read/crashing", crashingBody+"1", crashingBody+"2")
}

// Guards against writes that crash targets: they are never repeated by an instance, but callers send them again.
func TestWriteThatCrashesEachTargetStopsReachingThem(t *testing.T) {
	t.Parallel()
	playCrashing(t, "core", 3, 2, "/write/crashing", crashingBody)
}

// Guards against streams that crash engines although no part of their prompts does.
func TestStreamThatCrashesEachTargetStopsReachingThem(t *testing.T) {
	t.Parallel()
	playCrashing(t, "llm", 3, 2, "/short/crashing", crashingBody)
}

// Guards against a caller that is told nothing useful when its request is refused.
func TestRepeatOfCrashingRequestIsRefusedAtOnce(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(http.StatusOK, "done"))
	f := newFixture(t, "core", x)
	resp, _, err := f.call(t, "POST", "/read/x", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	route, account := &testManifest().Routes[0], &testManifest().Accounts[0]
	identity := identityOf(&request{method: "POST", uri: "/read/crashing", route: route, account: account, body: []byte(crashingBody)})
	for n := range 3 {
		f.config.Quarantine.RecordCrash(quarantine.CrashID{Target: fmt.Sprint("x", n)}, "core", time.Now(), quarantine.NewSuspect([]string{identity}, time.Now()))
	}
	f.config.Quarantine.RecordServed("core", []string{quarantine.IdentityPrefix + "other"})
	resp, body, err := f.call(t, "POST", "/read/crashing", crashingBody)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "2012") && resp.Header.Get("Retry-After") != "", body)
	assert.Equal(t, len(x.seen()), 1)
}

// Guards against a service that loses its last target to a request that crashed the others
// a moment before.
func TestLastTargetIsSparedFromSuspectOfTwoCrashes(t *testing.T) {
	targets := newCrashingTargets(t, 3)
	for _, x := range targets {
		x.restartAfter = 10 * time.Second
	}
	a, b := newFixture(t, "core"), newFixture(t, "core")
	announceCrashing(t, "core", targets, a, b)
	linkEvidence(t, a, b)
	for n := range 6 {
		f := []*fixture{a, b}[n%2]
		_, _, _ = f.call(t, "POST", "/read/crashing", crashingBody, "T-Id", fmt.Sprint("d", n)) // fails or is refused
		time.Sleep(20 * time.Millisecond)
	}
	_, crashes := sumCounts(targets)
	assert.Equal(t, crashes, 2)
	for n := range 10 {
		resp, _, err := b.call(t, "POST", fmt.Sprint("/read/", n), "", "T-Id", fmt.Sprint("s", n))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}
