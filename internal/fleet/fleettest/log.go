// Package fleettest provides a fake replicated log for tests of package fleet
// and its users.
package fleettest

import (
	"context"

	"github.com/endivetrack/endivetrack/internal/agreement"
)

// ReplicatedLog implements fleet.ReplicatedLog without a group. It commits every
// command immediately. If Err is set, its calls fail with Err.
type ReplicatedLog struct {
	Machine       agreement.StateMachine
	Index         uint64
	Err           error
	CurrentStatus agreement.Status
}

// Propose applies a command to Machine at the next index.
func (l *ReplicatedLog) Propose(_ context.Context, command []byte) (agreement.Applied, error) {
	if l.Err != nil {
		return agreement.Applied{}, l.Err
	}
	l.Index++
	return agreement.Applied{Index: l.Index, Result: l.Machine.Apply(l.Index, command)}, nil
}

// ReadBarrier returns the last index immediately, or Err.
func (l *ReplicatedLog) ReadBarrier(context.Context) (uint64, error) { return l.Index, l.Err }

// Status returns CurrentStatus, which the test sets.
func (l *ReplicatedLog) Status() agreement.Status { return l.CurrentStatus }
