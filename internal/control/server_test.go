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

// Guards against calls that a wrong key opens, and against operators' calls
// that need the peer key. Caught mutations: an operator path set to peersOnly;
// another path in operatorPaths; anyMatches without its comparison.
func TestEachCallNeedsItsKey(t *testing.T) {
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
	for !strings.Contains(get(h, "GET", "/healthz", "", "", ""), `"leading":true`) {
		time.Sleep(time.Millisecond)
	}
	const command, query = "/twirp/endivetrack.v1.ControlCommand/", "/twirp/endivetrack.v1.ControlQuery/"
	inBody := fmt.Sprintf(`{"team":%q,"operator_key":%q}`, team, operatorKey)
	for _, c := range []struct {
		method, path, peer, bearer, body string
		open                             bool
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
		answer := get(h, c.method, c.path, c.peer, c.bearer, c.body)
		refused := strings.Contains(answer, "UNAUTHENTICATED") || strings.Contains(answer, `"1002"`)
		assert.Equal(t, !refused, c.open, "%s peer %q bearer %q: %s", c.path, c.peer, c.bearer, answer)
		assert.Assert(t, !strings.Contains(answer, operatorKey), "a key in an answer")
	}
}

func get(h http.Handler, method, path, peer, bearer, body string) string {
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

// Guards against a first change by a key of the configuration after the team's
// own settings name other keys. Caught mutation: operatorDigests adds the
// bootstrap keys to the settings' keys.
func TestBootstrapKeyOpensOnlyNewTeams(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		time.Sleep(100 * time.Millisecond)
		const newKey = "another-key-of-balle-sahel"
		own := strings.Replace(string(settingsText("")), peerauth.Digest(operatorKey), peerauth.Digest(newKey), 1)
		apply := func(key string, expected uint64, id string) resultcode.Code {
			_, err := g.servers[0].ApplySettings(ctx, &api.ApplySettingsRequest{
				Team: team, ExpectedRevision: expected, ChangeId: id, Toml: []byte(own), OperatorKey: key,
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

// Guards against shards that stay with an instance that leaves or whose failure
// domain is out of service, and against an instance list that still hands the
// leaving one out. The promise is 3 s. Caught mutations: permitted without the
// check of draining; without the check of the failure domain.
func TestShardsLeaveDrainingInstancesAndDomains(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		a, b := g.startEntry(ctx, "entry-a", "dakar-a", 1), g.startEntry(ctx, "entry-b", "dakar-b", 1)
		time.Sleep(time.Second)
		_, err := g.apply(ctx, 0, "first", settingsText(""))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, a.owned()+b.owned(), 4)
		assert.Assert(t, a.owned() > 0 && b.owned() > 0)

		_, err = g.apply(ctx, 1, "out", domainText(false, 4))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, a.owned(), 0)
		assert.Equal(t, b.owned(), 4)

		_, err = g.apply(ctx, 2, "back", domainText(true, 4))
		assert.NilError(t, err)
		b.SetDraining()
		time.Sleep(time.Second)
		assert.Equal(t, a.owned(), 4)
		assert.Equal(t, b.owned(), 0)
		for _, in := range a.View().Instances {
			assert.Equal(t, in.GetDraining(), in.GetName() == "entry-b")
		}
	})
}

func (e *entry) owned() int {
	n := 0
	for k := range e.View().Assignments {
		if e.believes(k) {
			n++
		}
	}
	return n
}

// Guards against answers that are built once per session: at 370 instances one
// change would cost 370 copies of the settings. Caught mutation: forVersion
// without its cache.
func TestAnswersAreShared(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		for i := range 100 {
			g.startEntry(ctx, fmt.Sprint("entry-", i), "dakar-a", 1)
		}
		time.Sleep(3 * time.Second)
		before := g.counter("renewal_answers_built")
		_, err := g.apply(ctx, 0, "first", settingsText(""))
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		built := g.counter("renewal_answers_built") - before
		assert.Assert(t, built <= 20, "%d answers built for one change and its assignments", built)
	})
}

// Guards against old content under a new lease: an instance that forwards a
// renewal adds the content from its own state, which lags behind the leader's.
// Caught mutation: renewAt without awaitVersion.
func TestForwardedRenewalIsNotOlderThanLeader(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 3)
		id := openDirectly(ctx, t, g)
		for i := range uint64(10) {
			version, err := g.apply(ctx, i, fmt.Sprint("change-", i), settingsText(""))
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
