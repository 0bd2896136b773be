// Package query reads the replicated state.
package query

import (
	"maps"
	"slices"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// ViewVersion is the index of the last change that entry instances see:
// settings, instances or assignments. Protected writes and load slots do not
// move it.
func ViewVersion(s *model.State) uint64 {
	return max(WakeVersion(s), s.InstancesVersion)
}

// WakeVersion is the index of the last change that waiting renewals are
// answered for at once. A change of the instance list alone travels with the
// next renewal, at most one long poll later: when hundreds of instances start
// together, each opened session would otherwise send the whole list to all.
func WakeVersion(s *model.State) uint64 {
	v := s.AssignmentsVersion
	for _, t := range s.Teams {
		v = max(v, t.Version)
	}
	return v
}

// RenewAnswer returns everything that changed after the seen version.
func RenewAnswer(s *model.State, seen uint64) *api.RenewResponse {
	out := &api.RenewResponse{Version: ViewVersion(s)}
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		if t := s.Teams[name]; t.Version > seen {
			out.Settings = append(out.Settings, settingsAfter(t, seen))
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

// TeamSettings returns a team's settings as they were accepted.
func TeamSettings(t *model.Team) *api.TeamSettings {
	return &api.TeamSettings{Team: t.Name, Revision: t.Revision, Toml: t.TOML}
}

// settingsAfter returns a team's settings for a session that has seen a
// version: the difference if it has the revision before, else the whole text.
func settingsAfter(t *model.Team, seen uint64) *api.TeamSettings {
	if t.Previous.Revision == 0 || seen < t.Previous.Version {
		return TeamSettings(t)
	}
	d := settings.Diff(t.Previous.TOML, t.TOML)
	return &api.TeamSettings{
		Team: t.Name, Revision: t.Revision, Toml: d.Middle,
		BaseRevision: t.Previous.Revision, KeepPrefix: uint32(d.KeepPrefix), KeepSuffix: uint32(d.KeepSuffix), TextHash: d.Hash,
	}
}

// Instances returns the live instances in order of their session ids.
func Instances(s *model.State) []*api.Instance {
	out := make([]*api.Instance, 0, len(s.Sessions))
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		if x := s.Sessions[id]; !x.Replaced {
			out = append(out, x.Instance)
		}
	}
	return out
}

// Assignments returns all shards in a fixed order.
func Assignments(s *model.State) []*api.Assignment {
	out := make([]*api.Assignment, 0, len(s.Assignments))
	for _, k := range s.SortedShards() {
		out = append(out, s.Assignments[k].Proto(k))
	}
	return out
}

// Shards returns the shards that the settings of all teams ask for, in a fixed
// order.
func Shards(s *model.State) []session.ShardKey {
	var out []session.ShardKey
	for _, t := range s.Teams {
		for service, cfg := range t.Settings.Services {
			for _, region := range t.Settings.Regions() {
				for n := range cfg.Shards {
					out = append(out, session.ShardKey{Team: t.Name, Service: service, Region: region, Number: uint32(n)})
				}
			}
		}
	}
	slices.SortFunc(out, model.CompareShards)
	return out
}

// OperatorDigests returns the digests of a team's operator keys, nil while the
// team has no settings.
func OperatorDigests(s *model.State, team string) []string {
	if t := s.Teams[team]; t != nil && t.Settings != nil {
		return t.Settings.OperatorKeySHA256
	}
	return nil
}
