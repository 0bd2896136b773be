package agreement

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/internal/wal/waltest"
)

// configureAutoMembership configures a node of a group that manages its voters
// by itself. The first three instances are the initial voters; later ones join
// through the seeds.
func (w *simWorld) configureAutoMembership(n *simNode, c *Config) {
	c.PromoteLearners = true
	c.ReplaceAfter = 100 * time.Millisecond
	isInitialVoter := false
	for _, b := range w.bootstrap {
		c.Seeds = append(c.Seeds, b.Address)
		isInitialVoter = isInitialVoter || b.Name == n.name
	}
	if !isInitialVoter {
		c.Bootstrap = nil
	}
}

// Guards against a group that elects two leaders, loses an entry or stops
// making progress while its leader promotes learners, replaces lost disks and
// removes unreachable voters.
func TestSimulationOfAutoMembership(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimWorld(rapid.Uint64().Draw(rt, "seed"), 3)
		w.autoMembership = true
		for _, name := range []string{"d", "e"} {
			w.nodes = append(w.nodes, &simNode{name: name, disk: waltest.NewMemFS()})
		}
		w.runPlan(drawPlan(rt))
		if w.failure != nil {
			rt.Fatalf("%v\n%s", w.failure, w.describe())
		}
	})
}

func newAutoMembershipGroup(t *testing.T) *testGroup {
	return newTestGroup(t, 3, func(c *Config) {
		c.PromoteLearners, c.ReplaceAfter = true, 100*time.Millisecond
		c.Seeds = []string{"address-a", "address-b", "address-c"}
		if c.Name > "c" {
			c.Bootstrap = nil
		}
	})
}

// Guards against joining instances that are never promoted to voters.
func TestGroupGrowsFromSeeds(t *testing.T) {
	g, ctx := newAutoMembershipGroup(t), testDeadline(t)
	for _, name := range []string{"d", "e"} {
		g.start(name, name)
	}
	g.waitVoters(ctx, g.incarnations())
	g.propose(ctx, "after growth")
}

// replacementDeadline is the time within which a replacement for a lost instance
// must become a voter. After that, the group must tolerate the next loss.
const replacementDeadline = 4 * time.Second

// Guards against a lost instance that stays a voter after another instance has
// replaced it at another address: the next loss would then stop the group.
func TestReplacedInstanceBecomesVoter(t *testing.T) {
	g, ctx := newAutoMembershipGroup(t), testDeadline(t)
	g.propose(ctx, "before")
	lost := g.leader(ctx).config.Name
	g.kill(lost)
	assert.NilError(t, os.RemoveAll(filepath.Join(g.dir, lost)))
	delete(g.nodes, lost)
	g.start("d", "d")
	start := time.Now()
	g.waitVoters(ctx, g.incarnations())
	assert.Assert(t, time.Since(start) < replacementDeadline, "took %v", time.Since(start))
	for i := range 3 {
		g.propose(ctx, fmt.Sprint("after ", i))
	}
}
