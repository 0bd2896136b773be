// Package model holds the data of the control group's replicated state.
// Package command changes it and package query reads it.
package model

import (
	"slices"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// State is the whole replicated state. It has no lock of its own.
type State struct {
	// Index is the log index of the last applied command.
	Index uint64
	// NowMS is the state's clock: the greatest proposer's wall clock so far.
	NowMS uint64
	// InstancesVersion and AssignmentsVersion are the indexes of the last
	// change of the instance list and of the assignments.
	InstancesVersion   uint64
	AssignmentsVersion uint64

	Teams       map[string]*Team
	Sessions    map[uint64]*Session
	Assignments map[session.ShardKey]*Assignment
}

// Team is one team's settings and everything that is kept per team.
type Team struct {
	Name     string
	Revision uint64 // from 1; a team exists from its first accepted change
	Version  uint64 // log index of the last accepted change
	TOML     []byte
	Settings *settings.Team
	// Previous is the revision before this one, kept in memory only, so that
	// sessions that have seen it receive the difference. Empty after a restart.
	Previous Text

	Changes     map[string]Change
	ChangeOrder []string // change ids, oldest first

	Writes     map[WriteKey]*Write
	WriteOrder []WriteKey // by time of the first attempt, oldest first
	WriteBytes int        // size of all writes, for the bound

	Loads map[string]*Load // by target
}

// Text is a team's settings at one revision.
type Text struct {
	Revision uint64
	Version  uint64
	TOML     []byte
}

// Change is an accepted change of settings, kept to answer a repeated change id.
type Change struct {
	ContentSHA256 [32]byte
	Revision      uint64
	Version       uint64
}

// WriteKey identifies a protected write within its team.
type WriteKey struct {
	Account string
	Key     string
}

// Write is the intent and the outcome of one protected write.
type Write struct {
	BodyHash []byte
	Attempt  string // the attempt that may dispatch, or did
	State    api.WriteState
	Answer   *api.StoredAnswer
	BegunMS  uint64
	Attempts []Attempt // oldest first; bounded
}

// Attempt records what an attempt was told, so that a copy of its request
// that arrives later changes nothing. An unspecified outcome means that the
// attempt was aborted.
type Attempt struct {
	ID      string
	Outcome api.WriteOutcome
}

// Load is a slot for loading weights to one target.
type Load struct {
	SessionID uint64
	Epoch     uint64
	UntilMS   uint64
}

// Session is an entry instance's session.
type Session struct {
	ID       uint64
	Instance *api.Instance // never changed in place
	// Replaced sessions are not renewed any more. They stay until their lease
	// has surely ended, because their holder may still be running.
	Replaced bool
}

// Assignment is the ownership of one shard.
type Assignment struct {
	Owner        uint64 // session; 0 while the shard has no owner
	OwnerAddress string
	Epoch        uint64 // log index of the last assignment
	// Former is the session that held the shard before the revocation at
	// RevokedVersion and may still believe that it does; 0 when there is none.
	Former         uint64
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

// NewTeam returns a team without settings.
func NewTeam(name string) *Team {
	return &Team{
		Name:    name,
		Changes: map[string]Change{},
		Writes:  map[WriteKey]*Write{},
		Loads:   map[string]*Load{},
	}
}

// Size is the approximate memory of the write with its key, in bytes.
func (w *Write) Size(k WriteKey) int {
	const overhead = 256
	n := overhead + len(k.Account) + len(k.Key) + len(w.BodyHash) + len(w.Answer.GetBody()) + len(w.Answer.GetContentType())
	for _, a := range w.Attempts {
		n += len(a.ID) + 24
	}
	return n
}

// RememberChange keeps an accepted change id and drops the oldest one beyond
// limit.
func (t *Team) RememberChange(id string, c Change, limit int) {
	t.Changes[id] = c
	t.ChangeOrder = append(t.ChangeOrder, id)
	if drop := len(t.ChangeOrder) - limit; drop > 0 {
		for _, old := range t.ChangeOrder[:drop] {
			delete(t.Changes, old)
		}
		t.ChangeOrder = append([]string(nil), t.ChangeOrder[drop:]...)
	}
}

// FindAttempt returns the place of an attempt in Attempts, or -1.
func (w *Write) FindAttempt(id string) int {
	return slices.IndexFunc(w.Attempts, func(a Attempt) bool { return a.ID == id })
}

// MoveWriteLast puts a write that starts again at the end of WriteOrder. The
// search goes from the end, because aborted writes are mostly recent.
func (t *Team) MoveWriteLast(k WriteKey) {
	for i := len(t.WriteOrder) - 1; i >= 0; i-- {
		if t.WriteOrder[i] == k {
			t.WriteOrder = append(slices.Delete(t.WriteOrder, i, i+1), k)
			return
		}
	}
}
