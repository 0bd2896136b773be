package agreement

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// simAction is one fault of a plan.
type simAction struct {
	Kind   string
	Node   int // slot, modulo the number of nodes
	Other  int
	Millis int // how long the fault lasts, and how long until the next action
	Wait   int
}

var simKinds = []string{
	"none", "crash", "crash leader", "lose disk", "lose disk twice", "full disk", "fail sync", "fault point",
	"partition", "isolate", "isolate leader", "one way in", "one way out", "slow in", "slow out", "loss", "duplicate", "calm",
}

func drawPlan(t *rapid.T) []simAction {
	action := rapid.Custom(func(t *rapid.T) simAction {
		return simAction{
			Kind:   rapid.SampledFrom(simKinds).Draw(t, "kind"),
			Node:   rapid.IntRange(0, 9).Draw(t, "node"),
			Other:  rapid.IntRange(0, 63).Draw(t, "other"),
			Millis: rapid.IntRange(10, 2500).Draw(t, "millis"),
			Wait:   rapid.IntRange(0, 1200).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(action, 1, 14).Draw(t, "plan")
}

// carryOut runs a whole simulation.
func (w *simWorld) carryOut(plan []simAction) {
	for _, n := range w.nodes {
		w.start(n)
	}
	w.run(1500 * time.Millisecond)
	for _, a := range plan {
		w.begin(a)
		w.run(time.Duration(a.Wait) * time.Millisecond)
	}
	w.settle()
	w.checkHistory()
}

func (w *simWorld) leaderSlot(otherwise *simNode) *simNode {
	for _, n := range w.nodes {
		if n.up && n.r.core.role == Leader {
			return n
		}
	}
	return otherwise
}

// begin starts one fault.
func (w *simWorld) begin(a simAction) {
	n := w.nodes[a.Node%len(w.nodes)]
	until := w.now.Add(time.Duration(a.Millis) * time.Millisecond)
	w.counts["action "+a.Kind]++
	switch a.Kind {
	case "crash leader", "isolate leader":
		n = w.leaderSlot(n)
	}
	switch a.Kind {
	case "crash", "crash leader":
		if n.up {
			w.crash(n, time.Duration(a.Millis)*time.Millisecond)
		}
	case "lose disk":
		w.loseDisk(n)
	case "lose disk twice":
		n.loseAgain = w.loseDisk(n)
	case "full disk":
		if n.disk != nil {
			n.disk.Free = int64(a.Other * 20)
		}
	case "fail sync":
		if n.disk != nil {
			n.disk.FailSyncs = true
		}
	case "fault point":
		n.faultIn = 1 + a.Other
	case "loss":
		w.loss = float64(a.Other) / 200
	case "duplicate":
		w.duplicate = float64(a.Other) / 200
	case "calm":
		w.loss, w.duplicate = 0, 0
	default:
		w.cut(a, n, until)
	}
}

// cut starts a fault of the links between nodes.
func (w *simWorld) cut(a simAction, n *simNode, until time.Time) {
	for i, x := range w.nodes {
		in, out := [2]string{x.name, n.name}, [2]string{n.name, x.name}
		switch a.Kind {
		case "isolate", "isolate leader":
			w.blocked[in], w.blocked[out] = until, until
		case "one way in":
			w.blocked[in] = until
		case "one way out":
			w.blocked[out] = until
		case "slow in":
			w.slow[in] = until
		case "slow out":
			w.slow[out] = until
		case "partition":
			for j, y := range w.nodes {
				if (a.Other>>i)&1 != (a.Other>>j)&1 {
					w.blocked[[2]string{x.name, y.name}] = until
				}
			}
		}
	}
}

func (a simAction) String() string {
	return fmt.Sprintf("{%s node=%d other=%d millis=%d wait=%d}", a.Kind, a.Node, a.Other, a.Millis, a.Wait)
}
