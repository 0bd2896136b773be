// Package fleettest holds what tests of the shared state need in several
// packages.
package fleettest

import (
	"context"

	"github.com/endivetrack/endivetrack/internal/agreement"
)

// Log commits at once, or fails with Err.
type Log struct {
	Machine agreement.StateMachine
	Index   uint64
	Err     error
	Now     agreement.Status
}

// Propose applies a command.
func (l *Log) Propose(_ context.Context, command []byte) (agreement.Applied, error) {
	if l.Err != nil {
		return agreement.Applied{}, l.Err
	}
	l.Index++
	return agreement.Applied{Index: l.Index, Result: l.Machine.Apply(l.Index, command)}, nil
}

// ReadBarrier succeeds at once.
func (l *Log) ReadBarrier(context.Context) (uint64, error) { return l.Index, l.Err }

// Status returns Now.
func (l *Log) Status() agreement.Status { return l.Now }
