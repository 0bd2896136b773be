package control_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/control"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state"
)

const peerKey = "peer-key-of-the-system-itself"

// Guards against calls that are accepted with a wrong key, and against operator
// calls that are accepted only with the peer key.
// Mutations that this test detects: an operator path is set to peerKeyOnly;
// operatorPaths contains a path that is not for operators; matchesAnyDigest
// does not compare the key.
func TestCallsRequireTheirKey(t *testing.T) {
	env, err := process.NewEnv(process.Config{Name: "control-0", PeerKey: peerKey}, io.Discard)
	assert.NilError(t, err)
	defer env.Close()
	machine := state.New()
	server := control.New(control.Config{
		Name: "control-0", Address: address(0), Log: newMemGroup().Add("control-0", address(0), machine), Machine: machine,
		BootstrapOperatorKeys: map[string][]string{team: {peerauth.Digest(operatorKey)}},
		Timeline:              env.Timeline,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go server.Run(ctx)
	h := server.Handler(env, peerauth.Digest(peerKey), nil)
	for !strings.Contains(doRequest(h, "GET", "/healthz", "", "", ""), `"leading":true`) {
		time.Sleep(time.Millisecond)
	}
	const command, query = "/twirp/endivetrack.v1.ControlCommand/", "/twirp/endivetrack.v1.ControlQuery/"
	inBody := fmt.Sprintf(`{"team":%q,"operator_key":%q}`, team, operatorKey)
	for _, c := range []struct {
		method, path, peer, bearer, body string
		allowed                          bool
	}{
		{"POST", command + "Renew", "", "", "{}", false},
		{"POST", command + "Renew", "", operatorKey, "{}", false},
		{"POST", command + "ChangeMember", "", operatorKey, "{}", false},
		{"POST", command + "BeginWrite", "", operatorKey, "{}", false},
		{"POST", command + "Renew", "wrong-key-wrong-key-wrong", "", "{}", false},
		{"POST", command + "Renew", peerKey, "", "{}", true},
		{"POST", query + "Status", "", operatorKey, "{}", true},
		{"POST", query + "Status", "", "wrong-key-wrong-key-wrong", "{}", false},
		{"POST", query + "Status", "", "", "{}", false},
		{"POST", query + "Status", peerKey, "", "{}", true},
		{"POST", query + "InForce", "", operatorKey, "{}", true},
		{"POST", query + "InForce", "", "", "{}", false},
		{"POST", query + "ReadSettings", "", "", inBody, true},
		{"POST", query + "ReadSettings", "", operatorKey, `{"team":"balle-sahel"}`, true},
		{"POST", query + "ReadSettings", "", "wrong-key-wrong-key-wrong", `{"team":"balle-sahel"}`, false},
		{"POST", query + "ReadSettings", peerKey, "", `{"team":"balle-sahel"}`, false},
		{"POST", command + "ApplySettings", peerKey, "", `{"team":"balle-sahel","change_id":"x"}`, false},
		{"GET", "/v1/events", "", "", "", false},
		{"GET", "/v1/events", "", operatorKey, "", true},
		{"GET", "/metrics", "", "", "", true},
	} {
		response := doRequest(h, c.method, c.path, c.peer, c.bearer, c.body)
		refused := strings.Contains(response, "UNAUTHENTICATED") || strings.Contains(response, `"1002"`)
		assert.Equal(t, !refused, c.allowed, "%s peer %q bearer %q: %s", c.path, c.peer, c.bearer, response)
		assert.Assert(t, !strings.Contains(response, operatorKey), "the response contains a key")
	}
}

func doRequest(h http.Handler, method, path, peer, bearer, body string) string {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	if peer != "" {
		r.Header.Set(peerauth.PeerHeader, peer)
	}
	if bearer != "" {
		r.Header.Set("Authorization", "Bearer "+bearer)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Body.String()
}

// Guards against a bootstrap key from the configuration that is still accepted
// after the team's own settings list other keys.
// Mutation that this test detects: operatorDigests adds the bootstrap keys to
// the keys in the settings.
func TestBootstrapKeyOpensOnlyNewTeams(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		time.Sleep(100 * time.Millisecond)
		const newKey = "another-key-of-balle-sahel"
		text := strings.Replace(string(settingsText("")), peerauth.Digest(operatorKey), peerauth.Digest(newKey), 1)
		apply := func(key string, expected uint64, id string) resultcode.Code {
			_, err := g.servers[0].ApplySettings(ctx, &api.ApplySettingsRequest{
				Team: team, ExpectedRevision: expected, ChangeId: id, Toml: []byte(text), OperatorKey: key,
			})
			if err == nil {
				return 0
			}
			return resultcode.From(resultcode.FromTwirp(err)).Code
		}
		assert.Equal(t, apply(newKey, 0, "a"), resultcode.Unauthenticated)
		assert.Equal(t, apply(operatorKey, 0, "b"), resultcode.Code(0))
		assert.Equal(t, apply(operatorKey, 1, "c"), resultcode.Unauthenticated)
		assert.Equal(t, apply(newKey, 1, "d"), resultcode.Code(0))
	})
}

// Guards against shards that stay on an instance that is draining or whose failure
// domain is out of service, and against an instance list that does not mark the
// draining instance. Shards are guaranteed to move within 3 s.
// Mutations that this test detects: mayOwn does not check draining; mayOwn does
// not check the failure domain.
func TestShardsMoveOffDrainingInstancesAndDomains(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		a, b := g.startEntry(ctx, "entry-a", "dakar-a", 1), g.startEntry(ctx, "entry-b", "dakar-b", 1)
		time.Sleep(time.Second)
		_, err := g.applySettings(ctx, 0, "first", settingsText(""))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, a.claimedShards()+b.claimedShards(), 4)
		assert.Assert(t, a.claimedShards() > 0 && b.claimedShards() > 0)

		_, err = g.applySettings(ctx, 1, "out", settingsWithDomain(false, 4))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, a.claimedShards(), 0)
		assert.Equal(t, b.claimedShards(), 4)

		_, err = g.applySettings(ctx, 2, "back", settingsWithDomain(true, 4))
		assert.NilError(t, err)
		b.SetDraining()
		time.Sleep(time.Second)
		assert.Equal(t, a.claimedShards(), 4)
		assert.Equal(t, b.claimedShards(), 0)
		for _, in := range a.View().Instances {
			assert.Equal(t, in.GetDraining(), in.GetName() == "entry-b")
		}
	})
}

func (e *entry) claimedShards() int {
	n := 0
	for k := range e.View().Assignments {
		if e.claimsShard(k) {
			n++
		}
	}
	return n
}

// Guards against renew responses that are built once per session: with 370
// instances, one change would cost 370 copies of the settings.
// Mutation that this test detects: responseFor does not use its cache.
func TestRenewResponsesAreShared(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		for i := range 100 {
			g.startEntry(ctx, fmt.Sprint("entry-", i), "dakar-a", 1)
		}
		time.Sleep(3 * time.Second)
		before := g.counter("renewal_answers_built")
		_, err := g.applySettings(ctx, 0, "first", settingsText(""))
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		built := g.counter("renewal_answers_built") - before
		assert.Assert(t, built <= 20, "%d responses built for one change and its assignments", built)
	})
}

// Guards against a response that extends the lease but has outdated settings,
// instances or assignments: an instance that forwards a renewal fills the
// response from its own state, which may lag behind the leader's.
// Mutation that this test detects: renewViaLeader does not call awaitVersion.
func TestForwardedRenewalIsNotOlderThanLeader(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		id := openSession(ctx, t, g)
		for i := range uint64(10) {
			version, err := g.applySettings(ctx, i, fmt.Sprint("change-", i), settingsText(""))
			assert.NilError(t, err)
			resp, err := g.servers[1].Renew(ctx, &api.RenewRequest{SessionId: id})
			assert.NilError(t, err)
			assert.Assert(t, resp.GetVersion() >= version, "version %d after %d", resp.GetVersion(), version)
			assert.Equal(t, resp.GetSettings()[0].GetRevision(), i+1)
			assert.Equal(t, resp.GetAnsweredRegion(), "dakar")
			assert.Equal(t, resp.GetLeaseMs(), uint32(2000))
		}
	})
}
