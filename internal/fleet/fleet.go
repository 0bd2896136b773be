// Package fleet distributes the state that all instances of a deployment share:
// the manifest in force, the failure domains that are out of service and the
// targets that announce themselves.
//
// The manifest and the failure domains are replicated through the agreement
// group and survive every failure that the group survives. Announcements are
// soft state: each control instance publishes the announcements that it has
// received, and each instance watches all control instances. A target's newest
// announcement therefore reaches an instance as long as one control instance is
// connected to both, even while the group has no leader.
package fleet

import "time"

// TargetState is the state that a target last announced, or Silent if its
// announcements have stopped.
type TargetState int

// States of a target. A draining or gone target gets no new work.
const (
	Ready TargetState = iota + 1
	Draining
	Gone
	Silent
)

// Announcement is the newest announcement of one incarnation of a target.
type Announcement struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Incarnation identifies the incarnation by its start in Unix ms; 0 if unknown.
	Incarnation int64
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	Slots    int
	// Version is the version of the target's software; empty if it names none. A stream is
	// continued only by targets of the version that began it.
	Version string
	State   TargetState
	// ColdRemaining is the time until the target is warm.
	ColdRemaining time.Duration
	// Age is how long ago a withdrawal without an incarnation has arrived at the control
	// instance that tells of it.
	Age time.Duration
}

// isLeaving reports whether the target has left or is leaving. Its incarnation
// never gets new work again.
func (s TargetState) isLeaving() bool { return s == Draining || s == Gone }

// isBareWithdrawal reports whether a says that a target is gone without naming the incarnation:
// it applies to the one that is known.
func (a *Announcement) isBareWithdrawal() bool { return a.State == Gone && a.Incarnation == 0 }

// supersedes reports whether a is newer than b, an announcement with the same
// ID. Within one incarnation a leaving target never becomes ready again.
func (a *Announcement) supersedes(b *Announcement) bool {
	switch {
	case a.isBareWithdrawal():
		return b.State != Gone
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case b.State.isLeaving():
		return a.State == Gone && b.State == Draining
	case a.State.isLeaving():
		return true
	case a.State == Silent:
		return b.State == Ready && a.Sequence >= b.Sequence
	}
	return a.Sequence > b.Sequence
}

// merge returns the announcement to keep after a has superseded b.
func (a Announcement) merge(b *Announcement) Announcement {
	if a.isBareWithdrawal() {
		out := *b
		out.State = Gone
		return out
	}
	return a
}
