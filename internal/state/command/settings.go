package command

import (
	"crypto/sha256"
	"slices"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// maxChangeIDs is how many ids of accepted settings changes are kept per team.
// A change that is resent hundreds of changes later must get its original
// result.
const maxChangeIDs = 4096

// maxTeams limits the memory that operators can use by creating teams.
const maxTeams = 256

// changeSettings accepts a settings change if its operator key is valid for the
// team, its id is new, it expects the current revision and its content is
// valid. The id is checked before the revision, so that a repeated change gets
// its original result even if other changes were accepted since.
func changeSettings(s *model.State, index uint64, c *api.ChangeSettings) Result {
	if !validName(c.GetTeam()) || !validName(c.GetChangeId()) {
		return refuse(resultcode.MessageMalformed, "team and change id must have 1 to %d bytes", MaxNameBytes)
	}
	digest := sha256.Sum256(c.GetToml())
	t := s.Teams[c.GetTeam()]
	if t == nil {
		t = model.NewTeam(c.GetTeam())
	}
	if err := checkOperatorKey(t, c.GetOperatorKeySha256()); err != nil {
		return Result{Err: err}
	}
	if earlier, found := t.Changes[c.GetChangeId()]; found {
		if earlier.ContentSHA256 != digest {
			return refuse(resultcode.ChangeIDReused, "change id %q was used with other content at revision %d", c.GetChangeId(), earlier.Revision)
		}
		return success(&api.ApplySettingsResponse{Revision: earlier.Revision, Version: earlier.Version, Replayed: true})
	}
	if c.GetExpectedRevision() != t.Revision {
		return refuse(resultcode.RevisionConflict, "team %q: expected revision %d, current revision %d", t.Name, c.GetExpectedRevision(), t.Revision)
	}
	parsed, err := ParseTeamSettings(t.Name, c.GetToml())
	if err != nil {
		return Result{Err: resultcode.From(err)}
	}
	if len(s.Teams) >= maxTeams && t.Revision == 0 {
		return refuse(resultcode.Overloaded, "at most %d teams", maxTeams)
	}
	s.Teams[t.Name] = t
	t.Revision++
	t.Previous = model.SettingsRevision{Revision: t.Revision - 1, Version: t.Version, TOML: t.TOML}
	t.Version, t.TOML, t.Settings = index, c.GetToml(), parsed
	t.RecordChange(c.GetChangeId(), model.Change{ContentSHA256: digest, Revision: t.Revision, Version: index}, maxChangeIDs)
	return success(&api.ApplySettingsResponse{Revision: t.Revision, Version: index})
}

// checkOperatorKey returns an error if the authenticated key is no longer one of
// the team's operator keys. A new team has no operator keys; the leader has
// checked its bootstrap keys, which are not replicated.
func checkOperatorKey(t *model.Team, digest string) *resultcode.Error {
	if t.Settings == nil || slices.Contains(t.Settings.OperatorKeySHA256, digest) {
		return nil
	}
	return resultcode.Newf(resultcode.Unauthenticated, "the operator key is no longer valid for team %q", t.Name)
}

// ParseTeamSettings parses and validates settings and returns an error unless
// they belong to the named team.
func ParseTeamSettings(team string, toml []byte) (*settings.Team, error) {
	parsed, err := settings.Parse(team, toml)
	if err != nil {
		return nil, err
	}
	if parsed.Team != team {
		return nil, resultcode.Newf(resultcode.SettingsInvalid, "%s: key %q: value %q: must be %q", team, "team", parsed.Team, team)
	}
	return parsed, nil
}
