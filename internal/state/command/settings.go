package command

import (
	"crypto/sha256"
	"slices"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// maxChangeIDs is how many accepted change ids a team keeps. A change that is
// sent again hundreds of changes later must get its first result.
const maxChangeIDs = 4096

// maxTeams bounds the memory that operators can take.
const maxTeams = 256

// changeSettings accepts a change when its id is new, its revision is the
// present one, its key still opens the subtree and its content is valid. The
// id is looked up first: a repeated change gets its first result whatever was
// accepted since.
func changeSettings(s *model.State, index uint64, c *api.ChangeSettings) Result {
	if !validName(c.GetTeam()) || !validName(c.GetChangeId()) {
		return refuse(resultcode.MessageMalformed, "team and change id must have 1 to %d bytes", MaxNameBytes)
	}
	digest := sha256.Sum256(c.GetToml())
	t := s.Teams[c.GetTeam()]
	if t == nil {
		t = model.NewTeam(c.GetTeam())
	}
	if err := operatorAllowed(t, c.GetOperatorKeySha256()); err != nil {
		return Result{Err: err}
	}
	if known, found := t.Changes[c.GetChangeId()]; found {
		if known.ContentSHA256 != digest {
			return refuse(resultcode.ChangeIDReused, "change id %q was used with other content at revision %d", c.GetChangeId(), known.Revision)
		}
		return ok(&api.ApplySettingsResponse{Revision: known.Revision, Version: known.Version, Replayed: true})
	}
	if c.GetExpectedRevision() != t.Revision {
		return refuse(resultcode.RevisionConflict, "team %q: expected revision %d, current revision %d", t.Name, c.GetExpectedRevision(), t.Revision)
	}
	parsed, err := ParseFor(t.Name, c.GetToml())
	if err != nil {
		return Result{Err: resultcode.From(err)}
	}
	if len(s.Teams) >= maxTeams && t.Revision == 0 {
		return refuse(resultcode.Overloaded, "at most %d teams", maxTeams)
	}
	s.Teams[t.Name] = t
	t.Revision++
	t.Previous = model.Text{Revision: t.Revision - 1, Version: t.Version, TOML: t.TOML}
	t.Version, t.TOML, t.Settings = index, c.GetToml(), parsed
	t.RememberChange(c.GetChangeId(), model.Change{ContentSHA256: digest, Revision: t.Revision, Version: index}, maxChangeIDs)
	return ok(&api.ApplySettingsResponse{Revision: t.Revision, Version: index})
}

// operatorAllowed checks that the authenticated key still opens the subtree. A
// new team has no keys of its own; the leader checked its bootstrap keys, which
// are not replicated.
func operatorAllowed(t *model.Team, digest string) *resultcode.Error {
	if t.Settings == nil || slices.Contains(t.Settings.OperatorKeySHA256, digest) {
		return nil
	}
	return resultcode.Newf(resultcode.Unauthenticated, "the operator key no longer opens team %q", t.Name)
}

// ParseFor parses a subtree that must be the named team's.
func ParseFor(team string, toml []byte) (*settings.Team, error) {
	parsed, err := settings.Parse(team, toml)
	if err != nil {
		return nil, err
	}
	if parsed.Team != team {
		return nil, resultcode.Newf(resultcode.SettingsInvalid, "%s: key %q: value %q: must be %q", team, "team", parsed.Team, team)
	}
	return parsed, nil
}
