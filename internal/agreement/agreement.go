// Package agreement replicates a log of commands over the control instances
// with disks and applies it to a state machine in the same order everywhere.
package agreement

import (
	"errors"
	"fmt"
)

// Errors of proposals and membership changes.
var (
	// ErrOutcomeUnknown means the command may or may not be committed later.
	ErrOutcomeUnknown = errors.New("agreement: outcome unknown")
	// ErrStopped means the node is stopping and did not propose the command.
	ErrStopped = errors.New("agreement: stopped")
	// ErrMembershipChange means another membership change is not committed
	// yet, or the change does not fit the present members.
	ErrMembershipChange = errors.New("agreement: membership change refused")
)

// NotLeaderError means the command was not proposed here. Leader and Address
// are empty when no leader is known.
type NotLeaderError struct {
	Leader  string
	Address string
}

// Error names the leader, if known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("agreement: not the leader (leader %q at %q)", e.Leader, e.Address)
}

// StateMachine is what the log drives. Its methods are called from one
// goroutine.
type StateMachine interface {
	// Apply carries out one committed command. It must be deterministic: the
	// same commands in the same order give the same state everywhere.
	Apply(index uint64, command []byte) (result any)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot's.
	Restore(snapshot []byte) error
}

// Applied is the outcome of a committed command.
type Applied struct {
	Index  uint64
	Result any
}

// Role is a node's part in the current term.
type Role string

// Roles.
const (
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
	Learner   Role = "learner" // receives the log, never votes
)

// Member is one control instance of the group. A member whose disk was lost
// returns under a new incarnation and is another member.
type Member struct {
	Name        string
	Incarnation string
	Address     string
	Voter       bool
	// Diskless members keep the log in memory and are never promoted.
	Diskless bool
	// Promote marks a learner that the leader makes a voter, in place of the
	// lost incarnation of the same name, once it has caught up.
	Promote bool
}

// Status is a node's view of the group.
type Status struct {
	Role          Role
	Term          uint64
	LeaderName    string
	LeaderAddress string
	CommitIndex   uint64
	AppliedIndex  uint64
	Members       []Member
	MatchIndex    map[string]uint64 // by incarnation; leader only
}
