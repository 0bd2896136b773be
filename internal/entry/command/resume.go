package command

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/query"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

// maxResumeOffset bounds the offset that a caller may name.
const maxResumeOffset = 1 << 30

// ownerTimeout bounds one question to a shard owner.
const ownerTimeout = time.Second

// Resume serves GET /v1/generations/{id}?offset=N. It starts no new work, so it
// needs no freshness lease and no admission.
func (s *Service) Resume(c echo.Context) error {
	w, r := c.Response(), c.Request()
	who, err := s.Directory.Authenticate(r.Header)
	if err != nil {
		return err
	}
	id := c.Param("id")
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if r.URL.Query().Get("offset") == "" {
		offset, err = 0, nil
	}
	if err != nil || offset < 0 || offset > maxResumeOffset {
		return resultcode.Newf(resultcode.BadOffset, "offset must be a count of tokens").WithExecution(resultcode.Unknown)
	}
	place, ok := query.Locate(who, id)
	if !ok {
		return unknownGeneration(id, offset)
	}
	held, address, err := s.takeOver(r.Context(), who, id, place)
	if err != nil {
		e := resultcode.From(err).WithExecution(resultcode.Unknown)
		e.Delivered = offset
		return e
	}
	s.counts.resumed.Inc(1)
	sink := newCallerStream(w, s.Timing, offset)
	relay := s.newRelay(id, who, held, sink, offset)
	relay.address = address
	res := s.relay(r.Context(), relay, who)
	switch res.ending {
	case superseded:
		panic(http.ErrAbortHandler) // the old connection must not look complete
	case failed:
		s.report(res.err)
		sink.fail(res.err)
	}
	return nil
}

func unknownGeneration(id string, offset int) error {
	e := resultcode.Newf(resultcode.UnknownGeneration, "generation %q is unknown or expired", id).WithExecution(resultcode.Unknown)
	e.Delivered = offset
	return e
}

// takeOver finds the generation's target and moves its permit here. Without a
// permit (the generation has ended, or its owner does not know it yet) only
// what the target still buffers can be read.
func (s *Service) takeOver(ctx context.Context, who *access.Identity, id string, place query.Place) (*permit.Held, string, error) {
	if s.running.foreign(id, who.TeamName, who.AccountName) {
		return nil, "", resultcode.Newf(resultcode.Forbidden, "generation %q belongs to another account", id)
	}
	if local := s.running.take(id, who.TeamName, who.AccountName); local != nil && local.held != nil {
		return local.held, local.held.Permit.GetAddress(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	view := s.Source.View()
	// A generation is unknown only when the owners of all regions say so: the
	// one that cannot be reached may be the one that granted its permit.
	allReached := true
	var address string
	for _, region := range s.regions(who) {
		key := session.ShardKey{
			Team: who.TeamName, Service: place.Service, Region: region,
			Number: session.ShardOfTarget(place.Target, who.Team.Services[place.Service].Shards),
		}
		owner, ok := s.Owners.Of(view, key)
		if !ok {
			allReached = false
			continue
		}
		held, found, ok := s.transfer(ctx, owner, key, place)
		if held != nil {
			return held, held.Permit.GetAddress(), nil
		}
		allReached = allReached && ok
		if address == "" {
			address = found
		}
	}
	if address != "" {
		return nil, address, nil
	}
	if known, ok := s.targets.find(who.TeamName, place.Service, place.Target); ok && !allReached {
		// The shard has no owner now. The next one learns from this instance's
		// report that the generation runs, and who holds it.
		p := &api.Permit{
			Id: permitOf(place.Unique), Target: place.Target,
			Address: known.announcement.GetAddress(), FailureDomain: known.announcement.GetFailureDomain(),
		}
		return s.Book.Add(known.key, p, nil, time.Now()), p.GetAddress(), nil
	}
	switch {
	case !allReached:
		return nil, "", resultcode.Newf(resultcode.NoOwner, "no owner of the generation's shard can be reached").WithRetryAfter(time.Second)
	default:
		return nil, "", unknownGeneration(id, 0)
	}
}

// transfer asks one owner for the permit, or else for the target's address.
// reached is false when the owner gave no answer.
func (s *Service) transfer(ctx context.Context, owner permit.Owner, key session.ShardKey, place query.Place) (held *permit.Held, address string, reached bool) {
	answer, err := owner.Command.Transfer(ctx, &api.TransferRequest{
		Shard: key.Proto(), ToSession: s.Source.SessionID(), PermitId: permitOf(place.Unique), Target: place.Target,
	})
	if err == nil && answer.GetMoved() {
		return s.Book.Add(key, answer.GetPermit(), nil, time.Now()), "", true
	}
	status, err := owner.Query.ShardStatus(ctx, &api.ShardStatusRequest{Shard: key.Proto()})
	if err != nil || status.GetNotOwner() {
		return nil, "", false
	}
	for _, t := range status.GetTargets() {
		if t.GetName() == place.Target {
			return nil, t.GetAddress(), true
		}
	}
	return nil, "", true
}
