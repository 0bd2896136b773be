package command

import (
	"context"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// recordStatements returns a function that stores what the permit's target says of itself in
// a response of any kind. held may be nil.
func (s *Service) recordStatements(held *permit.HeldPermit) target.ResponseFunc {
	if held == nil || held.Permit.GetIncarnation() == "" {
		return nil
	}
	return func(status int, header http.Header) {
		if status == http.StatusMisdirectedRequest {
			return // another target answered
		}
		if statement.Leaving(header.Values(statement.LeavingHeader)) {
			s.recordLeaving(held)
		}
		if status == http.StatusServiceUnavailable {
			s.recordQuiet(held, header)
		}
	}
}

func (s *Service) recordLeaving(held *permit.HeldPermit) {
	if !s.Acquirer.MarkLeaving(held.Shard, held.Permit, time.Now()) {
		return
	}
	s.counts.leavingStated.Inc(1)
	s.Log.Info().Str("target", held.Permit.GetTarget()).Str("service", held.Shard.Service).Msg("target says that it leaves")
	s.tellLeaving(held.Shard, held.Permit)
}

// tellLeaving tells the owner of the shard that the permit's target leaves. If the call fails,
// the owner learns it when it grants another permit for the target.
func (s *Service) tellLeaving(shard session.ShardKey, p *api.Permit) {
	owner, ok := s.Owners.Lookup(s.Source.View(), shard)
	if !ok {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		defer cancel()
		said := &api.TargetIncarnation{Target: p.GetTarget(), Incarnation: p.GetIncarnation()}
		if _, err := owner.Command.RecordLeaving(ctx, &api.RecordLeavingRequest{Shard: shard.Proto(), Target: said}); err != nil {
			s.counts.leavingUntold.Inc(1)
		}
	})
}

func (s *Service) recordQuiet(held *permit.HeldPermit, header http.Header) {
	now := time.Now()
	quiet, ok := statement.Quiet(header, now)
	if !ok {
		s.counts.quietMalformed.Inc(1)
	}
	if quiet == 0 {
		return
	}
	s.counts.quietStated.Inc(1)
	if s.Acquirer.MarkQuiet(held.Shard, held.Permit, now, quiet) {
		s.Log.Info().Str("target", held.Permit.GetTarget()).Str("service", held.Shard.Service).Dur("for", quiet).Msg("target wants no requests")
	}
}

// checkStatements returns an error if the permit's target has said, since the permit was
// granted, that it leaves or wants no requests. An owner that grants permits for a target that
// leaves does not know it yet, for instance since it became the owner later.
func (s *Service) checkStatements(held *permit.HeldPermit) error {
	now := time.Now()
	err := s.Acquirer.CheckStatements(held.Shard, held.Permit, now)
	if err != nil && s.Acquirer.IsLeaving(held.Shard, held.Permit, now) {
		s.tellLeaving(held.Shard, held.Permit)
	}
	return err
}
