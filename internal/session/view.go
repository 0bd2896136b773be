// Package session keeps an entry instance's session with the control group:
// it renews the session, holds the newest committed state and tells whether
// that state is fresh enough to dispatch new work on.
package session

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// ShardKey identifies a shard and can be a map key.
type ShardKey struct {
	Team    string
	Service string
	Region  string
	Number  uint32
}

// KeyOf returns the key of a shard message.
func KeyOf(s *api.Shard) ShardKey {
	return ShardKey{s.GetTeam(), s.GetService(), s.GetRegion(), s.GetNumber()}
}

// Proto returns the shard message of the key.
func (k ShardKey) Proto() *api.Shard {
	return &api.Shard{Team: k.Team, Service: k.Service, Region: k.Region, Number: k.Number}
}

// String formats the key for logs and events.
func (k ShardKey) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", k.Team, k.Service, k.Region, k.Number)
}

// ShardOfTarget returns the number of the shard that a target belongs to.
func ShardOfTarget(target string, shards int) uint32 {
	return uint32(xxhash.Sum64String(target) % uint64(max(shards, 1)))
}

// Team is a team's settings at one revision.
type Team struct {
	Revision uint64
	Settings *settings.Team

	text []byte // as accepted, to check that one revision has one content
}

// View is the committed state at one version. It is never changed after it
// was published.
type View struct {
	Version          uint64
	Teams            map[string]Team
	Instances        []*api.Instance
	Assignments      map[ShardKey]*api.Assignment
	ControlAddresses []string
}

// Source is an entry instance's access to the control group's state.
type Source interface {
	// View returns the newest state; never nil.
	View() *View
	// Fresh reports whether the freshness lease is valid now. New work may be
	// dispatched, and permits granted, only while it is. Callers check it
	// after every wait, right before the effect.
	Fresh() bool
	// SessionID is 0 while there is no session.
	SessionID() uint64
	// Changed returns a channel that is closed at the next change of View.
	Changed() <-chan struct{}
	// SetDraining asks for this instance not to be handed out any more and
	// for its shards to be assigned elsewhere.
	SetDraining()
}
