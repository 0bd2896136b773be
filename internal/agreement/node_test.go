package agreement

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listMachine records every applied command, so that tests can compare the
// histories of nodes.
type listMachine struct {
	mu              sync.Mutex
	commands        []string
	discardCommands bool // set in benchmarks to keep the state's size constant
}

func (m *listMachine) Apply(_ uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.discardCommands {
		m.commands = append(m.commands, string(command))
	}
	return len(m.commands)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.commands)
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Unmarshal(snapshot, &m.commands)
}

func (m *listMachine) history() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.commands...)
}

// memoryNetwork connects the nodes of one test in memory.
type memoryNetwork struct {
	mu       sync.Mutex
	nodes    map[string]*Node
	isolated map[string]bool
}

func (n *memoryNetwork) set(address string, node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

func (n *memoryNetwork) isolate(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = cut
}

type memoryTransport struct {
	network *memoryNetwork
	from    string
}

func (t memoryTransport) Deliver(_ context.Context, address string, messages []Message) error {
	t.network.mu.Lock()
	node := t.network.nodes[address]
	cut := t.network.isolated[address] || t.network.isolated[t.from]
	t.network.mu.Unlock()
	if node == nil || cut {
		return errors.New("unreachable")
	}
	return node.Receive(messages)
}

// testGroup is a group of nodes in one process with real disks.
type testGroup struct {
	t            testing.TB
	network      *memoryNetwork
	dir          string
	members      []Member
	nodes        map[string]*Node
	machines     map[string]*listMachine
	adjustConfig func(*Config)
}

func newTestGroup(t *testing.T, voters int, tune func(*Config)) *testGroup {
	g := &testGroup{t: t, dir: t.TempDir(), nodes: map[string]*Node{}, machines: map[string]*listMachine{}, adjustConfig: tune}
	g.network = &memoryNetwork{nodes: map[string]*Node{}, isolated: map[string]bool{}}
	for i := range voters {
		name := string(rune('a' + i))
		g.members = append(g.members, Member{Name: name, Address: "address-" + name})
	}
	for _, m := range g.members {
		g.start(m.Name, m.Name)
	}
	t.Cleanup(func() {
		for name := range g.nodes {
			g.kill(name)
		}
	})
	return g
}

// start runs a node whose data directory is the subdirectory folder of the
// test's directory. If folder is empty, the node is diskless.
func (g *testGroup) start(name, folder string) *Node {
	g.t.Helper()
	config := Config{
		Name: name, Address: "address-" + name, Bootstrap: g.members,
		ElectionTimeout: 150 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond, ReplaceAfter: 400 * time.Millisecond,
	}
	if folder != "" {
		config.DataDir = filepath.Join(g.dir, folder)
	}
	if g.adjustConfig != nil {
		g.adjustConfig(&config)
	}
	machine := &listMachine{}
	node, err := Start(config, machine, memoryTransport{network: g.network, from: config.Address}, nil)
	assert.NilError(g.t, err)
	g.nodes[name], g.machines[name] = node, machine
	g.network.set(config.Address, node)
	return node
}

// stop stops a node gracefully. Other nodes can reach the node until it has
// stopped.
func (g *testGroup) stop(name string) {
	g.nodes[name].Stop()
	g.network.set("address-"+name, nil)
	delete(g.nodes, name)
}

// kill stops a node without any message to the others.
func (g *testGroup) kill(name string) {
	g.network.set("address-"+name, nil)
	g.nodes[name].cancel()
	<-g.nodes[name].Done()
	delete(g.nodes, name)
}

// testDeadline returns a context that limits the duration of a test.
func testDeadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// propose retries a command until a leader commits it.
func (g *testGroup) propose(ctx context.Context, command string) {
	g.t.Helper()
	for {
		for _, n := range g.nodes {
			if n.Status().Role != Leader {
				continue
			}
			if _, err := n.Propose(ctx, []byte(command)); err == nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			g.t.Fatalf("no leader committed %q", command)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (g *testGroup) leader(ctx context.Context) *Node {
	g.t.Helper()
	for {
		for _, n := range g.nodes {
			if n.Status().Role == Leader {
				return n
			}
		}
		select {
		case <-ctx.Done():
			g.t.Fatal("no leader")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// waitEqualHistories waits until all running nodes have the same history of at
// least count commands. A command that was retried after an unknown outcome may occur
// twice, and may reach one node before another. Contradicting histories fail
// the test immediately.
func (g *testGroup) waitEqualHistories(ctx context.Context, count int) {
	g.t.Helper()
	for {
		var longest []string
		shortest := 1 << 30
		for name := range g.nodes {
			all := g.machines[name].history()
			common := min(len(all), len(longest))
			assert.Assert(g.t, slices.Equal(all[:common], longest[:common]), "%q contradicts %q", all, longest)
			shortest = min(shortest, len(all))
			if len(all) > len(longest) {
				longest = all
			}
		}
		if shortest >= count && shortest == len(longest) {
			return
		}
		select {
		case <-ctx.Done():
			for name, n := range g.nodes {
				g.t.Logf("%s has %d commands; %+v", name, len(g.machines[name].history()), n.Status())
			}
			g.t.Fatalf("not all nodes have %d commands", max(count, len(longest)))
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against a group that does not form, elect a leader or replicate
// commands.
func TestGroupCommitsOnAllMembers(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			g, ctx := newTestGroup(t, voters, nil), testDeadline(t)
			for i := range 50 {
				g.propose(ctx, fmt.Sprint(i))
			}
			g.waitEqualHistories(ctx, 50)
			leader := g.leader(ctx)
			index, err := leader.ReadBarrier(ctx)
			assert.NilError(t, err)
			assert.Assert(t, index >= 50)
			assert.Assert(t, time.Since(leader.QuorumContact()) < time.Second)
		})
	}
}

// Guards against losing commands when all members restart, and against a
// restart that needs the complete log although a snapshot exists.
func TestRestartKeepsCommittedCommands(t *testing.T) {
	t.Parallel()
	g, ctx := newTestGroup(t, 3, func(c *Config) { c.SnapshotEntries, c.KeepEntries = 100, 10 }), testDeadline(t)
	var command [8]byte
	for i := range 300 {
		binary.BigEndian.PutUint64(command[:], uint64(i))
		g.propose(ctx, fmt.Sprintf("%x", command))
	}
	g.waitEqualHistories(ctx, 300)
	for _, m := range g.members {
		g.kill(m.Name)
	}
	for _, m := range g.members {
		g.start(m.Name, m.Name)
	}
	g.propose(ctx, "after")
	g.waitEqualHistories(ctx, 301)
}

// Guards against a member that does not catch up, from the log or a snapshot,
// after it missed hundreds of commands.
func TestRestartedMemberCatchesUp(t *testing.T) {
	for name, keep := range map[string]uint64{"log": 10000, "snapshot": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, ctx := newTestGroup(t, 3, func(c *Config) { c.SnapshotEntries, c.KeepEntries = 50, keep }), testDeadline(t)
			g.propose(ctx, "first")
			g.kill("c")
			for i := range 400 {
				g.propose(ctx, fmt.Sprint(i))
			}
			g.start("c", "c")
			g.waitEqualHistories(ctx, 401)
		})
	}
}

// Guards against a leader that keeps serving after it lost its quorum, and
// against a group that does not elect a new leader.
func TestIsolatedLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	g, ctx := newTestGroup(t, 3, nil), testDeadline(t)
	g.propose(ctx, "first")
	old := g.leader(ctx)
	g.network.isolate(old.config.Address, true)
	assert.NilError(t, old.WaitStatus(ctx, func(s Status) bool { return s.Role != Leader }))
	assert.Assert(t, old.QuorumContact().IsZero())
	_, err := old.Propose(ctx, []byte("refused"))
	var notLeader *NotLeaderError
	assert.Assert(t, errors.As(err, &notLeader))
	g.propose(ctx, "second")
	g.network.isolate(old.config.Address, false)
	g.waitEqualHistories(ctx, 2)
}
