// Package state implements the control group's replicated state machine.
package state

import (
	"sync"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// Machine holds the replicated state, applies log entries to it and gives readers
// access. It is safe for concurrent use.
type Machine struct {
	mu          sync.RWMutex
	state       *model.State
	viewVersion uint64
	wakeVersion uint64
	viewChanged chan struct{} // closed when viewVersion changes
	wakeChanged chan struct{} // closed when wakeVersion changes
}

var _ agreement.StateMachine = (*Machine)(nil)

// New returns a machine with an empty state.
func New() *Machine {
	return &Machine{state: model.New(), viewChanged: make(chan struct{}), wakeChanged: make(chan struct{})}
}

// Apply applies one committed command and returns a command.Result.
func (m *Machine) Apply(index uint64, cmd []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := command.Apply(m.state, index, cmd)
	m.notifyWaiters()
	return r
}

// notifyWaiters updates viewVersion and wakeVersion. For each of the two that
// changed, it wakes the goroutines that wait for a change of that version. The
// caller must hold mu.
func (m *Machine) notifyWaiters() {
	if v := query.ViewVersion(m.state); v != m.viewVersion {
		m.viewVersion = v
		close(m.viewChanged)
		m.viewChanged = make(chan struct{})
	}
	if v := query.WakeVersion(m.state); v != m.wakeVersion {
		m.wakeVersion = v
		close(m.wakeChanged)
		m.wakeChanged = make(chan struct{})
	}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the state by a decoded snapshot. If decoding fails, the state
// is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := model.Restore(snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.notifyWaiters()
	return nil
}

// Read calls f with the state under a read lock. f must not modify the state or
// retain references to it.
func (m *Machine) Read(f func(*model.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// ViewVersion returns query.ViewVersion of the state and a channel that is closed
// when it changes.
func (m *Machine) ViewVersion() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.viewVersion, m.viewChanged
}

// WakeVersion returns query.WakeVersion of the state and a channel that is closed
// when it changes.
func (m *Machine) WakeVersion() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.wakeVersion, m.wakeChanged
}
