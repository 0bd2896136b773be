package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/control"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/state"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

const (
	team        = "balle-sahel"
	operatorKey = "operator-key-of-balle-sahel"
)

// settingsText returns valid settings of the team with extra lines near the top.
func settingsText(extra string) []byte {
	digest := peerauth.Digest(operatorKey)
	return []byte(fmt.Sprintf(`team = %q
operator_key_sha256 = [%q]
%s
[failure_domains.dakar-a]
region = "dakar"
[failure_domains.dakar-b]
region = "dakar"
[services.assistant-llm]
kind = "engine"
models = ["appraiser"]
shards = 4
target_key_sha256 = [%q]
[policy]
max_concurrent_loads = 2
`, team, digest, extra, digest))
}

// group is a set of control instances that share one in-memory replicated log.
// They call each other directly, without a network.
type group struct {
	log     *memGroup
	nodes   []*memNode
	servers []*control.Server
	metrics tally.TestScope
}

func startGroup(ctx context.Context, size int) *group {
	g := &group{log: newMemGroup(), metrics: tally.NewTestScope("", nil)}
	for i := range size {
		machine := state.New()
		name := fmt.Sprintf("control-%d", i)
		node := g.log.Add(name, address(i), machine)
		s := control.New(control.Config{
			Name: name, Address: address(i), Region: controlRegion(i), Log: node, Machine: machine, Metrics: g.metrics,
			Connect:               func(a string) control.API { return g.server(a) },
			BootstrapOperatorKeys: map[string][]string{team: {peerauth.Digest(operatorKey)}},
		})
		g.nodes = append(g.nodes, node)
		g.servers = append(g.servers, s)
		go s.Run(ctx)
	}
	return g
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

// controlRegion returns the region of a control instance. The first one is in
// another region than the entry instances, so that they renew through another
// control instance while the first one is the leader.
func controlRegion(control int) string {
	if control == 0 {
		return "kaolack"
	}
	return "dakar"
}

func (g *group) server(addr string) *control.Server {
	var port int
	if _, err := fmt.Sscanf(addr, "127.0.0.1:%d", &port); err != nil {
		panic(err)
	}
	return g.servers[port-7000]
}

func (g *group) connect(addr string) api.ControlCommand { return g.server(addr) }

func (g *group) counter(name string) int64 {
	c := g.metrics.Snapshot().Counters()[name+"+"]
	if c == nil {
		return 0
	}
	return c.Value()
}

// elect makes node i the leader, or the next connected node if i is partitioned.
func (g *group) elect(i int) {
	for n := range g.nodes {
		if node := g.nodes[(i+n)%len(g.nodes)]; !node.IsPartitioned() {
			g.log.Elect(node)
			return
		}
	}
}

// partitionLeader partitions the leader from the group and elects another node
// after the election time. The partition is healed duration after that.
func (g *group) partitionLeader(election, duration time.Duration) {
	old := g.log.Leader()
	g.log.Partition(old)
	time.Sleep(election)
	g.elect(0)
	go func() {
		time.Sleep(duration)
		g.log.Heal(old)
	}()
}

// sessions returns the ids of the sessions in the newest committed state.
func (g *group) sessions() map[uint64]bool {
	out := map[uint64]bool{}
	g.log.observer.Read(func(st *model.State) {
		for id := range st.Sessions {
			out[id] = true
		}
	})
	return out
}

// settingsWithDomain returns settings with the given number of shards, in which
// failure domain dakar-a is in service or not.
func settingsWithDomain(inService bool, shards int) []byte {
	text := strings.Replace(string(settingsText("")), "[failure_domains.dakar-a]\n", fmt.Sprintf("[failure_domains.dakar-a]\nin_service = %t\n", inService), 1)
	return []byte(strings.Replace(text, "shards = 4", fmt.Sprint("shards = ", shards), 1))
}

func (g *group) addresses() []string {
	var out []string
	for i := range g.servers {
		out = append(out, address(i))
	}
	return out
}

func instance(name, failureDomain string) *api.Instance {
	return &api.Instance{Name: name, Incarnation: name + "-1", Region: "dakar", FailureDomain: failureDomain, Address: "127.0.0.1:7201"}
}

// inBubble runs f in a synctest bubble with a fake clock. After f it cancels ctx
// and sleeps, because the fake clock stops when the bubble's function returns
// and goroutines that are still waiting on it would never end.
func inBubble(t *testing.T, f func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer cancel()
		f(ctx, t)
	})
}

// Guards against an entry instance that does not receive committed settings or is
// not assigned the shards that they define.
func TestSessionSeesSettingsAndOwnsShards(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		g := startGroup(ctx, 1)
		s := session.New(session.Config{
			Instance: instance("entry-1", "dakar-a"), ControlAddresses: g.addresses(), Connect: g.connect, Now: time.Now,
		})
		go s.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, s.Fresh())
		_, err := g.servers[0].ApplySettings(ctx, &api.ApplySettingsRequest{
			Team: team, ChangeId: "c1", Toml: settingsText(""), OperatorKey: operatorKey,
		})
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		v := s.View()
		assert.Equal(t, v.Teams[team].Revision, uint64(1))
		assert.Equal(t, len(v.Assignments), 4)
		for _, a := range v.Assignments {
			assert.Equal(t, a.GetOwnerSession(), s.SessionID())
		}
	})
}
