// Package model defines the data structures of the control group's replicated
// state. Package command changes the state and package query reads it.
package model

import (
	"slices"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// State is the complete replicated state. It has no lock; callers synchronize
// access.
type State struct {
	// Index is the log index of the last applied command.
	Index uint64
	// NowMS is the state's clock: the greatest proposer wall time applied so far, so it never goes back.
	NowMS uint64
	// InstancesVersion and AssignmentsVersion are the log indexes of the last
	// changes to the instance list and to the assignments.
	InstancesVersion   uint64
	AssignmentsVersion uint64

	Teams       map[string]*Team
	Sessions    map[uint64]*Session
	Assignments map[session.ShardKey]*Assignment
}

// Team holds one team's settings, the records of its protected writes (see Write)
// and its slots for loading models (see ModelLoadSlot).
type Team struct {
	Name     string
	Revision uint64 // number of accepted settings changes; the change that creates the team is number 1
	Version  uint64 // log index of the last accepted settings change
	TOML     []byte
	Settings *settings.Team
	// Previous is the revision of the settings before the current one; sessions that
	// have it are sent a delta. Snapshots omit it, so it is empty after a restore.
	Previous SettingsRevision

	Changes     map[string]Change
	ChangeOrder []string // ids of the settings changes in Changes, oldest first

	Writes     map[WriteKey]*Write
	WriteOrder []WriteKey // keys of Writes, ordered by BegunMS, oldest first
	WriteBytes int        // total size of the writes (Write.Size), limited by package command

	ModelLoads map[string]*ModelLoadSlot // model load slots by target name
}

// SettingsRevision is the text of a team's settings at one revision.
type SettingsRevision struct {
	Revision uint64
	Version  uint64
	TOML     []byte
}

// Change records an accepted settings change, so that a change that is resent
// under the same id gets the same result.
type Change struct {
	ContentSHA256 [32]byte
	Revision      uint64
	Version       uint64
}

// WriteKey identifies a protected write, a call that runs at most once, within
// its team.
type WriteKey struct {
	Account string
	Key     string
}

// Write records the intent to run a protected write, a call that runs at most once,
// and its response once it ran.
type Write struct {
	BodyHash []byte
	Attempt  string // id of the attempt that may send or has sent the write to a target; empty while State is FREE
	State    api.WriteState
	Answer   *api.StoredAnswer
	BegunMS  uint64
	Attempts []Attempt // attempts to run the write, oldest first; package command limits their number
}

// Attempt records the outcome returned to one attempt to run a write, so that a
// delayed duplicate of its request changes nothing. An unspecified outcome
// means that the attempt was aborted.
type Attempt struct {
	ID      string
	Outcome api.WriteOutcome
}

// ModelLoadSlot permits one target to load model weights until UntilMS on the state's
// clock.
type ModelLoadSlot struct {
	SessionID uint64
	Epoch     uint64
	UntilMS   uint64
}

// Session is an entry instance's session.
type Session struct {
	ID       uint64
	Instance *api.Instance // replaced as a whole, never changed in place
	// Replaced sessions cannot be renewed. They are kept until their lease has
	// certainly expired, because their instance may still be running.
	Replaced bool
}

// Assignment records which session owns a shard.
type Assignment struct {
	Owner        uint64 // session id; 0 while the shard has no owner
	OwnerAddress string
	Epoch        uint64 // log index at which the shard was last assigned
	// FormerOwner is the id of the session whose ownership was revoked at RevokedVersion
	// and that may not have processed the revocation yet; 0 if there is none.
	FormerOwner    uint64
	RevokedVersion uint64
}

// New returns an empty state.
func New() *State {
	return &State{
		Teams:       map[string]*Team{},
		Sessions:    map[uint64]*Session{},
		Assignments: map[session.ShardKey]*Assignment{},
	}
}

// NewTeam returns a team at revision 0, without settings.
func NewTeam(name string) *Team {
	return &Team{
		Name:       name,
		Changes:    map[string]Change{},
		Writes:     map[WriteKey]*Write{},
		ModelLoads: map[string]*ModelLoadSlot{},
	}
}

// Size returns the approximate memory used by the write and its key, in bytes.
func (w *Write) Size(k WriteKey) int {
	const overhead = 256
	n := overhead + len(k.Account) + len(k.Key) + len(w.BodyHash) + len(w.Answer.GetBody()) + len(w.Answer.GetContentType())
	for _, a := range w.Attempts {
		n += len(a.ID) + 24
	}
	return n
}

// RecordChange stores an accepted settings change under its id. If there are
// then more than limit changes, it drops the oldest ones.
func (t *Team) RecordChange(id string, c Change, limit int) {
	t.Changes[id] = c
	t.ChangeOrder = append(t.ChangeOrder, id)
	if drop := len(t.ChangeOrder) - limit; drop > 0 {
		for _, old := range t.ChangeOrder[:drop] {
			delete(t.Changes, old)
		}
		t.ChangeOrder = append([]string(nil), t.ChangeOrder[drop:]...)
	}
}

// AttemptIndex returns the index in Attempts of the attempt with the given id,
// or -1 if there is none.
func (w *Write) AttemptIndex(id string) int {
	return slices.IndexFunc(w.Attempts, func(a Attempt) bool { return a.ID == id })
}

// MoveWriteToEnd moves a write that was begun again after an abort to the end of
// WriteOrder. It searches backwards, because aborted writes are usually recent.
func (t *Team) MoveWriteToEnd(k WriteKey) {
	for i := len(t.WriteOrder) - 1; i >= 0; i-- {
		if t.WriteOrder[i] == k {
			t.WriteOrder = append(slices.Delete(t.WriteOrder, i, i+1), k)
			return
		}
	}
}
