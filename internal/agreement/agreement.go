// Package agreement replicates a command log among the control instances, using
// a consensus protocol of the Raft family. Every instance applies the committed
// commands to its state machine in the same order. Instances without a disk
// receive the log but never vote.
package agreement

import (
	"errors"
	"fmt"
)

// Errors returned by proposals and membership changes.
var (
	// ErrOutcomeUnknown means that the command may still be committed later.
	ErrOutcomeUnknown = errors.New("agreement: outcome unknown")
	// ErrStopped means that the node is stopping; the command was not proposed.
	ErrStopped = errors.New("agreement: stopped")
	// ErrMembershipChange means that a membership change was refused, because it
	// is not valid for the current members or an earlier one is not committed yet.
	ErrMembershipChange = errors.New("agreement: membership change refused")
)

// NotLeaderError means that this node is not the leader and did not propose the
// command. Leader and Address are empty if the leader is unknown.
type NotLeaderError struct {
	Leader  string
	Address string
}

// Error includes the leader's name and address, if known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("agreement: not the leader (leader %q at %q)", e.Leader, e.Address)
}

// StateMachine applies the replicated log. All methods are called from one
// goroutine.
type StateMachine interface {
	// Apply executes one committed command. It must be deterministic: the same
	// commands in the same order must give the same state on every node.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the complete state, encoded for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the one in snapshot.
	Restore(snapshot []byte) error
}

// Applied is the log index of a committed command and the result of applying it
// on this node.
type Applied struct {
	Index  uint64
	Result any
}

// Role is a node's role in the current term.
type Role string

// Roles of a node.
const (
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
	Learner   Role = "learner" // a learner receives the log but never votes
)

// Member is one control instance of the group. After losing its disk, an
// instance rejoins under a new incarnation and counts as a different member.
type Member struct {
	Name        string
	Incarnation string
	Address     string
	Voter       bool
	// Diskless members keep the log in memory only and are never promoted.
	Diskless bool
	// Promote marks a learner that takes the place of a removed voter or of a lost
	// voter of its name. It is promoted once it has caught up and that voter is removed.
	Promote bool
}

// Status is the state of the group as seen by one node.
type Status struct {
	Role          Role
	Term          uint64
	LeaderName    string
	LeaderAddress string
	CommitIndex   uint64
	AppliedIndex  uint64
	Members       []Member
	MatchIndex    map[string]uint64 // by member incarnation: highest log index that the member has; set on the leader only
}
