package control

import (
	"context"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/state/command"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// ApplySettings replaces a team's settings. It fails if the team's revision is
// not the expected one. A repeated call with the same change id and content
// returns the original result.
func (s *Server) ApplySettings(ctx context.Context, req *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	return runOnLeader(ctx, s, req, s.applySettings, func(leader API) func(context.Context, *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
		return leader.ApplySettings
	})
}

// applySettings serves ApplySettings at the leader. The operator key and the
// content are checked before the change is proposed, and again when it is
// applied, because another change may be committed in between.
func (s *Server) applySettings(ctx context.Context, _ *term, req *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	resp, err := s.proposeSettings(ctx, req)
	if err != nil {
		s.metrics.settingsRefused.Inc(1)
		return nil, err
	}
	if !resp.GetReplayed() {
		s.metrics.settingsAccepted.Inc(1)
		s.cfg.Timeline.Record("settings_accepted", "team", req.GetTeam(),
			"revision", formatUint(resp.GetRevision()), "version", formatUint(resp.GetVersion()))
	}
	return resp, nil
}

func (s *Server) proposeSettings(ctx context.Context, req *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	if len(req.GetToml()) > settings.MaxBytes {
		return nil, resultcode.Newf(resultcode.SettingsInvalid, "%s: %d bytes, at most %d", req.GetTeam(), len(req.GetToml()), settings.MaxBytes)
	}
	digest, err := s.authenticateOperator(ctx, req.GetTeam(), req.GetOperatorKey())
	if err != nil {
		return nil, err
	}
	if _, err := command.ParseTeamSettings(req.GetTeam(), req.GetToml()); err != nil {
		return nil, err
	}
	return proposeAs[*api.ApplySettingsResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_ChangeSettings{
		ChangeSettings: &api.ChangeSettings{
			Team:              req.GetTeam(),
			ExpectedRevision:  req.GetExpectedRevision(),
			ChangeId:          req.GetChangeId(),
			Toml:              req.GetToml(),
			OperatorKeySha256: digest,
		},
	}})
}

// ReadSettings returns a team's newest committed settings. Their revision is 0 if
// the team has none yet.
func (s *Server) ReadSettings(ctx context.Context, req *api.ReadSettingsRequest) (*api.ReadSettingsResponse, error) {
	return runOnLeader(ctx, s, req, s.readSettings, func(leader API) func(context.Context, *api.ReadSettingsRequest) (*api.ReadSettingsResponse, error) {
		return leader.ReadSettings
	})
}

func (s *Server) readSettings(ctx context.Context, _ *term, req *api.ReadSettingsRequest) (*api.ReadSettingsResponse, error) {
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil, agreementError(err)
	}
	if _, err := s.authenticateOperator(ctx, req.GetTeam(), req.GetOperatorKey()); err != nil {
		return nil, err
	}
	out := &api.TeamSettings{Team: req.GetTeam()}
	s.machine.Read(func(st *model.State) {
		if t := st.Teams[req.GetTeam()]; t != nil {
			out = query.TeamSettings(t)
		}
	})
	return &api.ReadSettingsResponse{Settings: out}, nil
}

// authenticateOperator checks that key, or the bearer token if key is empty, is
// an operator key of the team and returns its digest. A team's operator keys are
// listed in its settings; before those exist, the configured bootstrap keys apply.
func (s *Server) authenticateOperator(ctx context.Context, team, key string) (string, error) {
	if key == "" {
		key = bearerFromContext(ctx)
	}
	digests := s.operatorDigests(team)
	if digests == nil {
		return "", resultcode.Newf(resultcode.UnknownTeam, "team %q", team)
	}
	if !matchesAnyDigest(key, digests) {
		return "", resultcode.Newf(resultcode.Unauthenticated, "the operator key is not valid for team %q", team)
	}
	return peerauth.Digest(key), nil
}

// operatorDigests returns the digests of the team's operator keys, or nil if the
// team is unknown.
func (s *Server) operatorDigests(team string) []string {
	var digests []string
	s.machine.Read(func(st *model.State) { digests = query.OperatorDigests(st, team) })
	if digests == nil {
		digests = s.cfg.BootstrapOperatorKeys[team]
	}
	return digests
}

// isOperatorOfAnyTeam reports whether the key is an operator key of any team.
func (s *Server) isOperatorOfAnyTeam(key string) bool {
	var teams []string
	s.machine.Read(func(st *model.State) {
		for name := range st.Teams {
			teams = append(teams, name)
		}
	})
	for name := range s.cfg.BootstrapOperatorKeys {
		teams = append(teams, name)
	}
	for _, name := range teams {
		if matchesAnyDigest(key, s.operatorDigests(name)) {
			return true
		}
	}
	return false
}

func matchesAnyDigest(key string, digests []string) bool {
	if len(key) < peerauth.MinKeyBytes {
		return false
	}
	for _, d := range digests {
		if peerauth.Matches(key, d) {
			return true
		}
	}
	return false
}
