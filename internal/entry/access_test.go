package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Guards against keys that give access to other accounts, teams or calls, and
// checks the result codes of invalid calls.
func TestKeyGrantsOnlyItsAccount(t *testing.T) {
	b := newHarness(t)
	other := &settings.Team{Team: "mill", Accounts: map[string]settings.ClientAccount{}, Services: map[string]settings.Service{}}
	b.source.update(func(v *session.View) {
		v.Teams = map[string]session.Team{"farm": v.Teams["farm"], "mill": {Revision: 1, Settings: other}}
	})
	for _, c := range []struct {
		method, path, key, body string
		code                    int
	}{
		{"POST", "/v1/chat/completions", "", streamBody, 1002},
		{"POST", "/v1/chat/completions", "no-such-key-0123456789abcdef", streamBody, 1002},
		{"POST", "/v1/chat/completions", targetKey, streamBody, 1002},
		{"POST", "/v1/chat/completions", callerKey, "{", 1001},
		{"POST", "/v1/chat/completions", callerKey, strings.Replace(streamBody, `"m"`, `"x"`, 1), 1004},
		{"POST", "/v1/chat/completions", callerKey, strings.Replace(streamBody, "50", "0", 1), 1001},
		{"GET", "/v1/services/core/lots", limitedKey, "", 1003},
		{"GET", "/v1/services/llm/lots", callerKey, "", 1005},
		{"GET", "/v1/services/none/lots", callerKey, "", 1005},
		{"POST", "/v1/services/core/lots", callerKey, strings.Repeat("x", 5000), 1006},
		{"GET", "/v1/nothing", callerKey, "", 1001},
		{"GET", "/v1/events", callerKey, "", 1002},
		{"GET", "/v1/status", "", "", 1002},
	} {
		code, execution := b.call(c.method, c.path, c.key, c.body).code(t)
		assert.Equal(t, code, c.code, "%s %s", c.method, c.path)
		assert.Equal(t, execution, "not_run")
	}
	r := b.call("POST", "/twirp/endivetrack.v1.AdmissionCommand/Acquire", callerKey, "{}", "Content-Type", "application/json")
	assert.Equal(t, r.status, http.StatusUnauthorized)
}

// Guards against an account that evades its in-flight limit by disconnecting: a
// generation that continues without its caller must still count as in flight.
func TestAbandonedGenerationCountsAsInFlight(t *testing.T) {
	b := newHarness(t)
	b.addTarget("llm-1", newEngine(t, func(c *engineConn) { c.startResponse(); c.sendTokens(0, 1); c.sendHeartbeats() }).address())
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := b.request(ctx, "POST", "/v1/chat/completions", limitedKey, streamBody)
	assert.NilError(t, err)
	cancel()
	resp.Body.Close()
	code, _ := b.call("POST", "/v1/chat/completions", limitedKey, streamBody).code(t)
	assert.Equal(t, code, 2002)
	b.entry.commands.WaitForBackgroundWork()
	eventually(t, "in-flight request ended", func() bool {
		id, err := b.entry.commands.Directory.Authenticate(http.Header{"Authorization": {"Bearer " + limitedKey}})
		assert.NilError(t, err)
		done, err := b.entry.commands.Limiter.Admit(time.Now(), id)
		if err == nil {
			done()
		}
		return err == nil
	})
}

// Guards against an account that exceeds its limits on requests in flight and on
// the request rate.
func TestAccountLimits(t *testing.T) {
	b := newHarness(t)
	release := make(chan struct{})
	engine := newEngine(t, func(c *engineConn) {
		c.startResponse()
		c.sendTokens(0, 1)
		c.sendHeartbeatsUntil(release)
		c.sendFinish(1)
	})
	b.addTarget("llm-1", engine.address())
	first := make(chan response)
	go func() { first <- b.call("POST", "/v1/chat/completions", limitedKey, streamBody) }()
	eventually(t, "first request", func() bool { return engine.count("POST") == 1 })
	second := b.call("POST", "/v1/chat/completions", limitedKey, streamBody)
	code, _ := second.code(t)
	assert.Equal(t, code, 2002)
	assert.Equal(t, second.status, http.StatusTooManyRequests)
	close(release)
	assertTokens(t, (<-first).body, 0, 1)
	assertTokens(t, b.call("POST", "/v1/chat/completions", limitedKey, streamBody).body, 0, 1)
	third := b.call("POST", "/v1/chat/completions", limitedKey, streamBody)
	code, execution := third.code(t)
	assert.Equal(t, code, 2001)
	assert.Equal(t, execution, "not_run")
	assert.Equal(t, third.header.Get("Retry-After"), "1000")
}
