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

// Guards against keys that open more than their own account, team or calls.
func TestKeysOpenOnlyTheirOwn(t *testing.T) {
	b := newBed(t)
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
		{"GET", "/v1/services/core/lots", otherKey, "", 1003},
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

// Guards against an account that escapes its limit by leaving: a generation
// that runs on without its caller keeps its place.
func TestAbandonedGenerationKeepsItsPlace(t *testing.T) {
	b := newBed(t)
	b.offer("llm-1", newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 1); c.alive() }).address())
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := b.request(ctx, "POST", "/v1/chat/completions", otherKey, streamBody)
	assert.NilError(t, err)
	cancel()
	resp.Body.Close()
	code, _ := b.call("POST", "/v1/chat/completions", otherKey, streamBody).code(t)
	assert.Equal(t, code, 2002)
	b.entry.commands.Wait()
	eventually(t, "place freed", func() bool {
		id, err := b.entry.commands.Directory.Authenticate(http.Header{"Authorization": {"Bearer " + otherKey}})
		assert.NilError(t, err)
		done, err := b.entry.commands.Limiter.Admit(time.Now(), id)
		if err == nil {
			done()
		}
		return err == nil
	})
}

// Guards against an account that takes more than its limits.
func TestAccountLimits(t *testing.T) {
	b := newBed(t)
	release := make(chan struct{})
	engine := newEngine(t, func(c *engineConn) { c.open(); c.tokens(0, 1); c.aliveUntil(release); c.finish(1) })
	b.offer("llm-1", engine.address())
	first := make(chan answer)
	go func() { first <- b.call("POST", "/v1/chat/completions", otherKey, streamBody) }()
	eventually(t, "first request", func() bool { return engine.count("POST") == 1 })
	second := b.call("POST", "/v1/chat/completions", otherKey, streamBody)
	code, _ := second.code(t)
	assert.Equal(t, code, 2002)
	assert.Equal(t, second.status, http.StatusTooManyRequests)
	close(release)
	tokensOf(t, (<-first).body, 0, 1)
	tokensOf(t, b.call("POST", "/v1/chat/completions", otherKey, streamBody).body, 0, 1)
	third := b.call("POST", "/v1/chat/completions", otherKey, streamBody)
	code, execution := third.code(t)
	assert.Equal(t, code, 2001)
	assert.Equal(t, execution, "not_run")
	assert.Equal(t, third.header.Get("Retry-After"), "1000")
}
