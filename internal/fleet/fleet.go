// Package fleet keeps what all instances of a deployment must agree on or hear
// of: the manifest in force, the failure domains that are out of service and
// the targets that announce themselves.
//
// The manifest and the failure domains are replicated through the agreement
// group and survive any loss that the group survives. Announcements are soft
// state: each control instance publishes those that it received itself, and
// each instance watches all control instances. A target's newest statement
// therefore reaches an instance as long as one control instance has a path to
// both, also while the group has no leader.
package fleet

import "time"

// TargetState is what a target last said of itself, or its silence.
type TargetState int

// States of a target. A draining or gone target gets no new work.
const (
	Ready TargetState = iota + 1
	Draining
	Gone
	Silent
)

// Announcement is the newest statement of one incarnation of a target.
type Announcement struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Born is the Unix millisecond of the incarnation's start; 0 if unknown.
	Born int64
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	Slots    int
	State    TargetState
	// Cold is how much longer the target stays cold.
	Cold time.Duration
}

// leaving reports whether the state forbids new work for good.
func (s TargetState) leaving() bool { return s == Draining || s == Gone }

// supersedes reports whether a says something newer than b about the same id.
// Within an incarnation a target that leaves does not come back.
func (a *Announcement) supersedes(b *Announcement) bool {
	switch {
	case a.State == Gone && a.Born == 0:
		// A leave names no incarnation: it means the one that is known.
		return b.State != Gone
	case a.Born != b.Born:
		return a.Born > b.Born
	case b.State.leaving():
		return a.State == Gone && b.State == Draining
	case a.State.leaving():
		return true
	case a.State == Silent:
		return b.State == Ready && a.Sequence >= b.Sequence
	}
	return a.Sequence > b.Sequence
}

// merge returns what is known of a target after a superseded b.
func (a Announcement) merge(b *Announcement) Announcement {
	if a.State == Gone && a.Born == 0 {
		out := *b
		out.State = Gone
		return out
	}
	return a
}
