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

// growing gives a node the configuration of a group that grows by itself: the
// first three instances are the first voters, later ones join by seeds.
func (w *simWorld) configureAutoMembership(n *simNode, c *Config) {
	c.PromoteLearners = true
	c.ReplaceAfter = 100 * time.Millisecond
	first := false
	for _, b := range w.bootstrap {
		c.Seeds = append(c.Seeds, b.Address)
		first = first || b.Name == n.name
	}
	if !first {
		c.Bootstrap = nil
	}
}

// Guards against a group that grows from its seeds, replaces lost disks and
// drops silent voters by itself, and in doing so elects two leaders, loses an
// entry or comes to a standstill.
func TestSimulationOfGrowth(t *testing.T) {
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

// Guards against instances beyond the seeds that never get a vote.
func TestGroupGrowsFromSeeds(t *testing.T) {
	g, ctx := newAutoMembershipGroup(t), testDeadline(t)
	for _, name := range []string{"d", "e"} {
		g.start(name, name)
	}
	g.waitVoters(ctx, g.incarnations())
	g.propose(ctx, "after growth")
}

// successorDeadline is the time after which a replaced instance no longer
// counts as lost: from then on the group must bear the next loss.
const replacementDeadline = 4 * time.Second

// Guards against an instance replaced at another address that leaves its
// predecessor among the voters for good, so that the next loss stops the group.
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
