package agreement

import (
	"time"

	"pgregory.net/rapid"
)

// simAction is one fault of a plan. Its duration comes from the simulation's
// seed, because values drawn by rapid are mostly small and would hardly disturb
// the group.
type simAction struct {
	Kind string
	Node int // index of the affected node, modulo the number of nodes
	Bits int // random bits that select partition sides, disk space and loss rates
}

var simKinds = []string{
	"none", "crash", "crash leader", "crash voters", "hand over", "lose disk", "lose disk twice", "full disk", "fail sync", "fault point",
	"freeze", "freeze leader", "partition", "isolate", "isolate leader", "one way in", "one way out", "slow in", "slow out",
	"stale answers", "loss", "duplicate", "calm",
}

func drawPlan(t *rapid.T) []simAction {
	action := rapid.Custom(func(t *rapid.T) simAction {
		return simAction{
			Kind: rapid.SampledFrom(simKinds).Draw(t, "kind"),
			Node: rapid.IntRange(0, 9).Draw(t, "node"),
			Bits: rapid.IntRange(0, 63).Draw(t, "bits"),
		}
	})
	return rapid.SliceOfN(action, 4, 16).Draw(t, "plan")
}

// runPlan runs a complete simulation: all faults, convergence and the final
// check of the history.
func (w *simWorld) runPlan(plan []simAction) {
	for _, n := range w.nodes {
		w.start(n)
	}
	if w.rng.IntN(4) > 0 { // otherwise the faults start while the group forms
		w.run(1500 * time.Millisecond)
	}
	for _, a := range plan {
		w.startFault(a)
		w.run(w.randomMillis(0, 1500))
	}
	w.waitConverged()
	w.checkHistory()
}

func (w *simWorld) leaderOr(fallback *simNode) *simNode {
	for _, n := range w.nodes {
		if n.up && n.protocol.core.role == Leader {
			return n
		}
	}
	return fallback
}

// startFault starts one fault of the plan.
func (w *simWorld) startFault(a simAction) {
	n := w.nodes[a.Node%len(w.nodes)]
	duration := w.randomMillis(50, 2500)
	until := w.now.Add(duration)
	w.counts["action "+a.Kind]++
	switch a.Kind {
	case "crash leader", "crash voters", "isolate leader", "freeze leader", "stale answers", "hand over":
		n = w.leaderOr(n)
	}
	switch a.Kind {
	case "crash", "crash leader":
		if n.up {
			w.crash(n, duration)
		}
	case "crash voters":
		// The leader stays down, and each other node crashes right after it
		// votes and restarts soon.
		if n.up {
			w.crash(n, duration)
		}
		for _, x := range w.nodes {
			x.crashAfterVote = x != n
		}
	case "hand over":
		if n.up {
			n.protocol.core.transferLeadership()
		}
	case "freeze", "freeze leader":
		n.frozenUntil, n.dropsWhileFrozen = until, a.Bits%2 == 0
	case "lose disk":
		w.loseDisk(n)
	case "lose disk twice":
		n.loseDiskAgain = w.loseDisk(n)
	case "full disk":
		if n.disk != nil {
			n.disk.FreeBytes = int64(a.Bits * 20)
		}
	case "fail sync":
		if n.disk != nil {
			n.disk.FailSyncs = true
		}
	case "fault point":
		n.faultCountdown = 1 + a.Bits/2
	case "loss":
		w.loss = float64(a.Bits) / 200
	case "duplicate":
		w.duplicate = float64(a.Bits) / 200
	case "calm":
		w.loss, w.duplicate = 0, 0
	default:
		w.startLinkFault(a, n, until)
	}
}

// startLinkFault starts a fault of the links between nodes.
func (w *simWorld) startLinkFault(a simAction, n *simNode, until time.Time) {
	for i, x := range w.nodes {
		in, out := [2]string{x.name, n.name}, [2]string{n.name, x.name}
		switch a.Kind {
		case "isolate", "isolate leader":
			w.blockedUntil[in], w.blockedUntil[out] = until, until
		case "one way in":
			w.blockedUntil[in] = until
		case "one way out":
			w.blockedUntil[out] = until
		case "slow in":
			w.slowUntil[in] = until
		case "stale answers":
			// Answers to the node get slower and slower, and still arrive long
			// after its last heartbeat got through.
			w.rampStart[in] = w.now
			w.blockedInterval[out] = [2]time.Time{w.now.Add(rampDuration), w.now.Add(rampDuration + 2*time.Second)}
		case "slow out":
			w.slowUntil[out] = until
		case "partition":
			for j, y := range w.nodes {
				if (a.Bits>>i)&1 != (a.Bits>>j)&1 {
					w.blockedUntil[[2]string{x.name, y.name}] = until
				}
			}
		}
	}
}
