// Package state is the control group's replicated state machine.
package state

import (
	"sync"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// Machine holds the state, applies the log to it and lets readers look at it.
type Machine struct {
	mu      sync.RWMutex
	state   *model.State
	view    uint64
	wake    uint64
	changed chan struct{} // closed when the view changes
	woken   chan struct{} // closed when renewals are to be answered
}

var _ agreement.StateMachine = (*Machine)(nil)

// New returns a machine with an empty state.
func New() *Machine {
	return &Machine{state: model.New(), changed: make(chan struct{}), woken: make(chan struct{})}
}

// Apply carries out one committed command; its result is a command.Result.
func (m *Machine) Apply(index uint64, cmd []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := command.Apply(m.state, index, cmd)
	m.notify()
	return r
}

// notify wakes those that wait for a change of the view.
func (m *Machine) notify() {
	if v := query.ViewVersion(m.state); v != m.view {
		m.view = v
		close(m.changed)
		m.changed = make(chan struct{})
	}
	if v := query.WakeVersion(m.state); v != m.wake {
		m.wake = v
		close(m.woken)
		m.woken = make(chan struct{})
	}
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the state. A snapshot that does not decode leaves it as it
// was.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := model.Restore(snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.notify()
	return nil
}

// Read calls f with the state, which f must neither change nor keep.
func (m *Machine) Read(f func(*model.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// ViewVersion returns the version of what entry instances see, and a channel
// that is closed when it changes.
func (m *Machine) ViewVersion() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view, m.changed
}

// WakeVersion returns the version for which waiting renewals are answered, and
// a channel that is closed when it changes.
func (m *Machine) WakeVersion() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.wake, m.woken
}
