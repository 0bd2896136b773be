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

// ApplySettings changes a team's settings.
func (s *Server) ApplySettings(ctx context.Context, req *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	return atLeader(ctx, s, req, s.applySettings, func(leader Calls) func(context.Context, *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
		return leader.ApplySettings
	})
}

// applySettings checks the key and the content before it proposes the change;
// both are checked again when the change is applied, because another change
// may be committed between.
func (s *Server) applySettings(ctx context.Context, _ *term, req *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	resp, err := s.proposeSettings(ctx, req)
	if err != nil {
		s.metrics.settingsRefused.Inc(1)
		return nil, err
	}
	if !resp.GetReplayed() {
		s.metrics.settingsAccepted.Inc(1)
		s.cfg.Timeline.Record("settings_accepted", "team", req.GetTeam(),
			"revision", uintString(resp.GetRevision()), "version", uintString(resp.GetVersion()))
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
	if _, err := command.ParseFor(req.GetTeam(), req.GetToml()); err != nil {
		return nil, err
	}
	return proposeFor[*api.ApplySettingsResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_ChangeSettings{
		ChangeSettings: &api.ChangeSettings{
			Team:              req.GetTeam(),
			ExpectedRevision:  req.GetExpectedRevision(),
			ChangeId:          req.GetChangeId(),
			Toml:              req.GetToml(),
			OperatorKeySha256: digest,
		},
	}})
}

// ReadSettings returns a team's newest settings.
func (s *Server) ReadSettings(ctx context.Context, req *api.ReadSettingsRequest) (*api.ReadSettingsResponse, error) {
	return atLeader(ctx, s, req, s.readSettings, func(leader Calls) func(context.Context, *api.ReadSettingsRequest) (*api.ReadSettingsResponse, error) {
		return leader.ReadSettings
	})
}

func (s *Server) readSettings(ctx context.Context, _ *term, req *api.ReadSettingsRequest) (*api.ReadSettingsResponse, error) {
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil, logError(err)
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

// authenticateOperator returns the digest of the operator key that opens the
// team. A team's own settings name its keys; before they exist, the bootstrap
// keys of the configuration do.
func (s *Server) authenticateOperator(ctx context.Context, team, key string) (string, error) {
	if key == "" {
		key = bearerOf(ctx)
	}
	digests := s.operatorDigests(team)
	if digests == nil {
		return "", resultcode.Newf(resultcode.UnknownTeam, "team %q", team)
	}
	if !anyMatches(key, digests) {
		return "", resultcode.Newf(resultcode.Unauthenticated, "the operator key does not open team %q", team)
	}
	return peerauth.Digest(key), nil
}

func (s *Server) operatorDigests(team string) []string {
	var digests []string
	s.machine.Read(func(st *model.State) { digests = query.OperatorDigests(st, team) })
	if digests == nil {
		digests = s.cfg.BootstrapOperatorKeys[team]
	}
	return digests
}

// opensAnyTeam reports whether the key is an operator key of some team.
func (s *Server) opensAnyTeam(key string) bool {
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
		if anyMatches(key, s.operatorDigests(name)) {
			return true
		}
	}
	return false
}

func anyMatches(key string, digests []string) bool {
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
