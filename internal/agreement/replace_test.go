package agreement

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/wal/waltest"
)

// countingTransport counts the messages to each address.
type countingTransport struct{ delivered *atomic.Int64 }

func (t countingTransport) Deliver(context.Context, string, []Message) error {
	t.delivered.Add(1)
	return errors.New("unreachable")
}

// Guards against a node that sends nothing to new members any more, or keeps a goroutine for
// each address that it ever sent to, once many members have been replaced.
func TestThousandAddressesAreAllSentTo(t *testing.T) {
	const addresses = 1000
	transport := countingTransport{delivered: &atomic.Int64{}}
	n := newNode(Config{ElectionTimeout: 150 * time.Millisecond}, Member{Name: "a"}, transport, nil)
	defer n.workers.Wait()
	defer n.cancel()
	before := runtime.NumGoroutine()
	for k := range addresses {
		n.enqueue(Message{Type: MsgHello, ToAddress: fmt.Sprint("address-", k)})
		deadline := time.Now().Add(5 * time.Second)
		for transport.delivered.Load() < int64(k+1) {
			assert.Assert(t, time.Now().Before(deadline), "nothing is sent to address %d", k)
			time.Sleep(10 * time.Microsecond)
		}
	}
	assert.Assert(t, n.outboxes.Len() <= maxOutboxes)
	deadline := time.Now().Add(5 * time.Second)
	for runtime.NumGoroutine() > before+maxOutboxes {
		assert.Assert(t, time.Now().Before(deadline), "%d goroutines, %d before", runtime.NumGoroutine(), before)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a group that loses its majority after many of its members were replaced, one
// after the other, while its leader stayed.
func TestGroupOutlivesFortyFiveReplacements(t *testing.T) {
	t.Parallel()
	const replacements = 45
	g := newAutoMembershipGroup(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	leader := g.leader(ctx).config.Name
	var others []string
	for _, m := range g.members {
		if m.Name != leader {
			others = append(others, m.Name)
		}
	}
	for k := range replacements {
		name := fmt.Sprintf("n%03d", k)
		g.start(name, name)
		lost := others[0]
		others = append(others[1:], name)
		g.kill(lost)
		assert.NilError(t, os.RemoveAll(filepath.Join(g.dir, lost)))
		g.waitVoters(ctx, g.incarnations())
		g.propose(ctx, fmt.Sprint("after ", k))
	}
}

// Guards against a group that stops after hundreds of replacements, with new members at new
// addresses, at those of earlier members, and earlier members that return with an empty disk.
func TestSimulatedGroupOutlivesHundredsOfReplacements(t *testing.T) {
	const replacements = 300
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newSimWorld(seed, 3)
			w.autoMembership, w.callsPaused = true, true
			w.nodes = w.nodes[:3]
			for _, n := range w.nodes {
				w.start(n)
			}
			stays, others := w.nodes[0], w.nodes[1:]
			w.awaitVoters(w.nodes...)
			var retired []*simNode
			for k := range replacements {
				joins := w.newMember(k, retired)
				w.run(w.randomMillis(0, 1000))
				lost := others[0]
				others = []*simNode{others[1], joins}
				w.crash(lost, time.Hour)
				lost.disk = nil
				retired = append(retired, lost)
				w.awaitVoters(stays, others[0], others[1])
				if w.failure != nil {
					t.Fatalf("replacement %d: %v\n%s", k, w.failure, w.describe())
				}
			}
			w.checkHistory()
			assert.NilError(t, w.failure)
			c := stays.protocol.core
			assert.Assert(t, len(c.members().Members) < 10, "%d members", len(c.members().Members))
		})
	}
}

// newMember starts a node with an empty disk: a new one, also at the address of an earlier one,
// or an earlier one that returns.
func (w *simWorld) newMember(k int, retired []*simNode) *simNode {
	n := &simNode{name: fmt.Sprintf("n%03d", k), disk: waltest.NewMemFS()}
	free := slices.DeleteFunc(slices.Clone(retired), func(n *simNode) bool { return w.node(n.address).up })
	if len(free) > 0 {
		former := free[w.rng.IntN(len(free))]
		switch w.rng.IntN(3) {
		case 0:
			n.address = former.address
		case 1:
			n.name, n.address = former.name, former.address
		}
	}
	w.nodes = append(w.nodes, n)
	w.start(n)
	return n
}

// awaitVoters runs until the given nodes are the voters and a call has completed.
func (w *simWorld) awaitVoters(want ...*simNode) {
	for range 300 {
		w.run(100 * time.Millisecond)
		if w.failure != nil || w.areVoters(want) {
			break
		}
	}
	finished := w.completedCalls
	w.callsPaused = false
	for range 300 {
		w.run(20 * time.Millisecond)
		if w.failure != nil || w.completedCalls > finished {
			w.callsPaused = true
			return
		}
	}
	w.fail("convergence", "no progress")
}

// areVoters reports whether the leader's committed voters are the present lives of the nodes.
func (w *simWorld) areVoters(want []*simNode) bool {
	leader := w.leaderOr(nil)
	if leader == nil {
		return false
	}
	c := leader.protocol.core
	voters := c.members().voters()
	if c.members().Index > c.commit || len(voters) != len(want) {
		return false
	}
	for _, n := range want {
		if !n.up || !slices.ContainsFunc(voters, func(v Member) bool { return v.Incarnation == n.protocol.core.cfg.Self.Incarnation }) {
			return false
		}
	}
	return true
}
