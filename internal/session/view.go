// Package session maintains an entry instance's session with the control group:
// it renews the session, holds the newest committed state and reports whether
// that state is recent enough to dispatch new work.
package session

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// ShardKey identifies a shard, a part of the targets that one service has in
// one region. Unlike api.Shard, it can be used as a map key.
type ShardKey struct {
	Team    string
	Service string
	Region  string
	Number  uint32
}

// KeyOf returns the key of the shard in a protobuf message; s may be nil.
func KeyOf(s *api.Shard) ShardKey {
	return ShardKey{s.GetTeam(), s.GetService(), s.GetRegion(), s.GetNumber()}
}

// Proto returns the key as a protobuf message.
func (k ShardKey) Proto() *api.Shard {
	return &api.Shard{Team: k.Team, Service: k.Service, Region: k.Region, Number: k.Number}
}

// String returns the key as team/service/region/number, for logs and events and
// as the input of the hash that assigns shards.
func (k ShardKey) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", k.Team, k.Service, k.Region, k.Number)
}

// ShardOfTarget returns the number, from 0 to shards-1, of the shard that a
// target belongs to. A count below 1 is treated as 1.
func ShardOfTarget(target string, shards int) uint32 {
	return uint32(xxhash.Sum64String(target) % uint64(max(shards, 1)))
}

// Team is a team's settings at one revision.
type Team struct {
	Revision uint64
	Settings *settings.Team

	text []byte // settings in TOML as received, to check that a revision always has the same content
}

// View is an entry instance's copy of the control group's committed state at
// one version. It is immutable once published.
type View struct {
	Version          uint64
	Teams            map[string]Team
	Instances        []*api.Instance
	Assignments      map[ShardKey]*api.Assignment
	ControlAddresses []string
}

// Source provides an entry instance with the control group's state.
type Source interface {
	// View returns the newest committed state that this instance has received. It is never nil.
	View() *View
	// Fresh reports whether the freshness lease is valid now. Only then may new
	// work be dispatched and permits granted. Callers must check it again after
	// anything that blocks, immediately before they dispatch or grant.
	Fresh() bool
	// SessionID returns the session's id, or 0 if there is no session.
	SessionID() uint64
	// Changed returns a channel that is closed when View next changes.
	Changed() <-chan struct{}
	// SetDraining asks the control group to mark this instance as draining, so
	// that clients are not sent to it any more and its shards move elsewhere.
	SetDraining()
}
