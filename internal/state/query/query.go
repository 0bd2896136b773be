// Package query computes read-only views of the replicated state.
package query

import (
	"maps"
	"slices"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// ViewVersion returns the log index of the last change visible to entry
// instances: to settings, instances or assignments. Protected writes and model
// load slots do not affect it.
func ViewVersion(s *model.State) uint64 {
	return max(WakeVersion(s), s.InstancesVersion)
}

// WakeVersion returns the log index of the last change to settings or assignments.
// Such a change ends the wait of all renewals, which are long polls. A change to the
// instance list does not: it is sent with the next renewal, at most one long poll
// later. Otherwise, when hundreds of instances start together, the complete list
// would be sent to all of them for each new session.
func WakeVersion(s *model.State) uint64 {
	v := s.AssignmentsVersion
	for _, t := range s.Teams {
		v = max(v, t.Version)
	}
	return v
}

// RenewalResponse returns the response to a renewal: everything visible to entry
// instances that changed after the version seen, the newest one that the
// renewing instance has.
func RenewalResponse(s *model.State, seen uint64) *api.RenewResponse {
	out := &api.RenewResponse{Version: ViewVersion(s)}
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		if t := s.Teams[name]; t.Version > seen {
			out.Settings = append(out.Settings, settingsSince(t, seen))
		}
	}
	if s.InstancesVersion > seen {
		out.InstancesChanged, out.Instances = true, Instances(s)
	}
	if s.AssignmentsVersion > seen {
		out.AssignmentsChanged, out.Assignments = true, Assignments(s)
	}
	return out
}

// TeamSettings returns the complete text of a team's settings as it was accepted.
func TeamSettings(t *model.Team) *api.TeamSettings {
	return &api.TeamSettings{Team: t.Name, Revision: t.Revision, Toml: t.TOML}
}

// settingsSince returns a team's settings for a session whose last version of
// the state is seen: a delta if the session has the previous revision of the
// settings, else the full text.
func settingsSince(t *model.Team, seen uint64) *api.TeamSettings {
	if t.Previous.Revision == 0 || seen < t.Previous.Version {
		return TeamSettings(t)
	}
	d := settings.Diff(t.Previous.TOML, t.TOML)
	return &api.TeamSettings{
		Team: t.Name, Revision: t.Revision, Toml: d.Middle,
		BaseRevision: t.Previous.Revision, KeepPrefix: uint32(d.KeepPrefix), KeepSuffix: uint32(d.KeepSuffix), TextHash: d.Hash,
	}
}

// Instances returns the instances whose sessions were not replaced, sorted by
// session id.
func Instances(s *model.State) []*api.Instance {
	out := make([]*api.Instance, 0, len(s.Sessions))
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		if sess := s.Sessions[id]; !sess.Replaced {
			out = append(out, sess.Instance)
		}
	}
	return out
}

// Assignments returns the assignments of all shards, sorted by shard.
func Assignments(s *model.State) []*api.Assignment {
	out := make([]*api.Assignment, 0, len(s.Assignments))
	for _, k := range s.SortedShards() {
		out = append(out, s.Assignments[k].Proto(k))
	}
	return out
}

// Shards returns the keys of the shards required by the settings of all teams,
// sorted.
func Shards(s *model.State) []session.ShardKey {
	var out []session.ShardKey
	for _, t := range s.Teams {
		for service, serviceSettings := range t.Settings.Services {
			for _, region := range t.Settings.Regions() {
				for n := range serviceSettings.Shards {
					out = append(out, session.ShardKey{Team: t.Name, Service: service, Region: region, Number: uint32(n)})
				}
			}
		}
	}
	slices.SortFunc(out, model.CompareShards)
	return out
}

// OperatorDigests returns the SHA-256 digests of a team's operator keys, or nil
// if the team has no settings.
func OperatorDigests(s *model.State, team string) []string {
	if t := s.Teams[team]; t != nil && t.Settings != nil {
		return t.Settings.OperatorKeySHA256
	}
	return nil
}
