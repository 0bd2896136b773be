package agreement

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/internal/wal"
	"github.com/endivetrack/endivetrack/internal/wal/waltest"
)

// TestMain fixes the seed of the random tests, so that every change is tested
// with the same runs. The flags -rapid.seed and -rapid.checks select another
// seed and longer runs.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		_ = seed.Value.Set("20260704")
	}
	os.Exit(m.Run())
}

// Guards against violations of the log's guarantees under any combination of
// lost, delayed, duplicated and reordered messages, partitions, crashes, and
// lost or failing disks. On a failure, rapid shrinks and prints the seed and
// the plan.
func TestSimulation(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimWorld(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(rt, "voters"))
		w.runPlan(drawPlan(rt))
		if w.failure != nil {
			rt.Fatalf("%v\n%s", w.failure, w.describe())
		}
		for name, n := range w.counts {
			counts[name] += n
		}
		counts["calls"] += len(w.history)
	})
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%6d %s", counts[name], name)
	}
	for _, name := range []string{"crash", "disk lost", "disk lost again", "election", "snapshot installed", "calls",
		"fault point wal.before_identity_rename", "fault point wal.after_identity_rename"} {
		assert.Assert(t, counts[name] > 0, "the runs contain no %s", name)
	}
}

// Guards against a group of three that can never elect a leader again. One
// initial voter has not received any entry, another one loses its disk, and the
// remaining one has already compacted the first log entry. The voter without
// entries must then vote.
func TestFirstVoterWithoutEntriesVotes(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimWorld(seed, 3)
		for _, n := range w.nodes {
			w.start(n)
		}
		for !w.node("a").up || !w.node("a").protocol.core.inGroup() {
			w.run(simStep)
		}
		w.startLinkFault(simAction{Kind: "isolate"}, w.node("c"), w.now.Add(4*time.Second))
		w.messages = slices.DeleteFunc(w.messages, func(m simMessage) bool { return m.ToAddress == "c" })
		w.run(4 * time.Second)
		lost := w.loseDisk(w.node("a"))
		assert.Assert(t, lost && !w.node("c").protocol.core.inGroup() && w.node("b").protocol.core.log.baseIndex > 0, "seed %d", seed)
		w.waitConverged()
		assert.NilError(t, w.failure)
	}
}

// mutation is a deliberate fault that the simulation must detect.
type mutation struct {
	check string // name of the check that must detect the fault
	fault string // kind of the simAction with which each plan starts
	apply func(*simWorld)
}

func ruleMutation(check, fault string, change func(*rules)) mutation {
	return mutation{check: check, fault: fault, apply: func(w *simWorld) { w.changeRules = change }}
}

// earlyAckStore acknowledges entries before they are durable: each write
// persists the entries of the previous one.
type earlyAckStore struct {
	storage
	pending []wal.Entry
}

func (s *earlyAckStore) Append(h wal.HardState, e []wal.Entry) error {
	previous := s.pending
	s.pending = e
	return s.storage.Append(h, previous)
}

func mutations() map[string]mutation {
	return map[string]mutation{
		"a minority decides": ruleMutation("one leader per term", "partition", func(r *rules) {
			r.quorum = func(n int) int { return max(1, n/2) }
		}),
		"entries are acknowledged before they are durable": {"committed entries", "crash leader", func(w *simWorld) {
			w.wrapStore = func(n *simNode, s storage) storage {
				if n.diskless {
					return s
				}
				return &earlyAckStore{storage: s}
			}
		}},
		"syncs do nothing": {"program", "crash", func(w *simWorld) {
			for _, n := range w.nodes {
				n.disk = waltest.NewMemFS()
				n.disk.IgnoreSyncs = true
			}
		}},
		"any candidate's log is good enough": ruleMutation("committed entries", "isolate leader", func(r *rules) {
			r.logUpToDate = func(*core, Message) bool { return true }
		}),
		"entries are appended without a match": ruleMutation("log matching", "isolate leader", func(r *rules) {
			r.prevEntryMatches = func(c *core, index, _ uint64) bool { return index <= c.log.lastIndex() }
		}),
		"an identity survives its disk": {"old identity", "lose disk", func(w *simWorld) {
			w.newIncarnation = func(n *simNode) string { return "fixed-" + n.name }
		}},
		"contact counts from the answer": ruleMutation("quorum contact", "stale answers", func(r *rules) {
			r.contactTime = func(c *core, _ heartbeatRound) time.Time { return c.now }
		}),
		"reads do not wait for a round": ruleMutation("linearizability", "freeze leader", func(r *rules) {
			r.readRound = func(*core) uint64 { return 0 }
		}),
		"a node without a log forms a second group": ruleMutation("committed entries", "lose disk", func(r *rules) {
			r.mayFormGroup = func(c *core) bool { return c.discovery.groupExists || mayFormGroup(c) }
		}),
		"commands depend on the node": {"state machine equality", "none", func(w *simWorld) {
			w.divergentMachine = true
		}},
	}
}

// Guards against a simulation that does not detect faults: each mutation must
// be found by the check named for it.
func TestSimulationNoticesMutations(t *testing.T) {
	for name, m := range mutations() {
		t.Run(name, func(t *testing.T) {
			found := map[string]int{}
			for seed := uint64(1); seed <= 400; seed++ {
				w := newSimWorld(seed, 3+2*int(seed%2))
				m.apply(w)
				plan := examplePlan(seed)
				for i := range 4 {
					plan = append([]simAction{{Kind: m.fault, Node: i, Bits: int(seed) + 21*i}}, plan...)
				}
				w.runPlan(plan)
				if w.failure != nil {
					check := w.failedCheck()
					if found[check]++; check == m.check {
						t.Logf("found with seed %d; before: %v: %v", seed, found, w.failure)
						return
					}
				}
			}
			t.Fatalf("%q did not detect the fault; found %v", m.check, found)
		})
	}
}

// examplePlan returns the plan for a seed.
func examplePlan(seed uint64) []simAction {
	return rapid.Custom(drawPlan).Example(int(seed))
}
