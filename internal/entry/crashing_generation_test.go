package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashingBody is a generation that crashes each engine which begins to run it.
var crashingBody = strings.Replace(streamBody, "hello", "crashing", 1)

// crashesByBody streams, but loses its connections and its generations with the
// crashing one, as a process that ends and starts again does.
func crashesByBody(c *engineConn) {
	switch {
	case !c.isDispatch:
		unknownGeneration(c)
	case strings.Contains(c.body, "crashing"):
		c.startResponse()
		c.cutConnection()
	default:
		streamAll(3)(c)
	}
}

// addCrashingEngines adds n engines that crash on the crashing generation.
func (b *harness) addCrashingEngines(n int) []*fakeEngine {
	var engines []*fakeEngine
	for i := range n {
		e := newEngine(b.t, crashesByBody)
		b.addTarget(fmt.Sprintf("llm-%d", i+1), e.address())
		engines = append(engines, e)
	}
	return engines
}

// dispatches returns how many generations the engines have begun.
func dispatches(engines []*fakeEngine) int {
	n := 0
	for _, e := range engines {
		n += e.count(http.MethodPost)
	}
	return n
}

func (b *harness) generateCrashing() response {
	b.t.Helper()
	return b.call(http.MethodPost, "/v1/chat/completions", callerKey, crashingBody)
}

// maxCrashingDispatches is how many engines one generation may crash: those that show it.
const maxCrashingDispatches = 3

// Guards against one generation that is restarted at one engine after the other and ends
// them all.
func TestCrashingGenerationIsNotRestartedWithoutEnd(t *testing.T) {
	b := newHarness(t)
	engines := b.addCrashingEngines(8)
	code, execution := b.generateCrashing().code(t)
	assert.Equal(t, dispatches(engines), maxCrashingDispatches)
	assert.Equal(t, code, 2012)
	assert.Equal(t, execution, "unknown")
}

// Guards against repeats of such a generation, and against sound ones that are refused
// beside them.
func TestRepeatsOfCrashingGenerationAreRefused(t *testing.T) {
	b := newHarness(t)
	engines := b.addCrashingEngines(8)
	b.generateCrashing()
	assertTokens(t, b.generate().body, 0, 3)
	time.Sleep(200 * time.Millisecond) // until other instances could have told what they lost
	crashed := dispatches(engines) - 1
	for range 5 {
		a := b.generateCrashing()
		code, execution := a.code(t)
		assert.Equal(t, code, 2012)
		assert.Equal(t, execution, "not_run")
		assert.Assert(t, a.header.Get("Retry-After") != "", "%v", a.header)
		assertTokens(t, b.generate().body, 0, 3)
	}
	assert.Equal(t, dispatches(engines), crashed+1+5)
	assert.Assert(t, crashed <= maxCrashingDispatches)
}
