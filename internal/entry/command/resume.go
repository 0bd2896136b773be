package command

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/query"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

// maxResumeOffset is the largest token offset that a caller may resume from.
const maxResumeOffset = 1 << 30

// ownerTimeout is the timeout of one call to a shard owner.
const ownerTimeout = time.Second

// Resume serves GET /v1/generations/{id}?offset=N: it streams the generation's tokens
// from offset N. It starts no new work, so it requires no freshness lease and no
// admission.
func (s *Service) Resume(c echo.Context) error {
	w, r := c.Response(), c.Request()
	identity, err := s.Directory.Authenticate(r.Header)
	if err != nil {
		return err
	}
	id := c.Param("id")
	offset, ok := parseOffset(r.URL.RawQuery)
	if !ok {
		return resultcode.Newf(resultcode.BadOffset, "offset must be one count of tokens").WithExecution(resultcode.Unknown)
	}
	location, ok := query.Locate(identity, id)
	if !ok {
		return unknownGeneration(id, offset)
	}
	held, address, err := s.takeOver(r.Context(), identity, id, location)
	if err != nil {
		e := resultcode.From(err).WithExecution(resultcode.Unknown)
		e.Delivered = offset
		return e
	}
	s.counts.resumed.Inc(1)
	sink := newStreamSink(w, s.Timing, offset)
	relay := s.newRelay(id, identity, held, sink, offset)
	relay.address = address
	res := s.runRelay(r.Context(), relay, identity)
	switch res.outcome {
	case superseded, callerGone:
		reply.Abort()
	case failed:
		s.reportViolation(res.err)
		sink.fail(res.err)
	}
	return nil
}

// parseOffset returns the offset that a query names, 0 if it names none, and false if it can
// be read in several ways or not at all: a caller must not get tokens that it already has
// because its offset was dropped.
func parseOffset(rawQuery string) (int, bool) {
	query, err := url.ParseQuery(rawQuery)
	if err != nil || len(query["offset"]) > 1 {
		return 0, false
	}
	if !query.Has("offset") {
		return 0, true
	}
	text := query.Get("offset")
	offset, err := strconv.Atoi(text)
	return offset, err == nil && offset >= 0 && offset <= maxResumeOffset && strconv.Itoa(offset) == text
}

func unknownGeneration(id string, offset int) error {
	e := resultcode.Newf(resultcode.UnknownGeneration, "generation %q is unknown or expired", id).WithExecution(resultcode.Unknown)
	e.Delivered = offset
	return e
}

// takeOver moves the generation's permit to this instance and returns it with the
// target's address. If no permit exists (the generation has ended, or the shard's
// owner has no record of it yet), the returned permit is nil and only the tokens that
// the target still buffers can be read.
func (s *Service) takeOver(ctx context.Context, identity *access.Identity, id string, location query.Location) (*permit.HeldPermit, string, error) {
	if s.generations.ownedByOther(id, identity.TeamName, identity.AccountName) {
		return nil, "", resultcode.Newf(resultcode.Forbidden, "generation %q belongs to another account", id)
	}
	if local := s.generations.takeOver(id, identity.TeamName, identity.AccountName); local != nil && local.held != nil {
		return local.held, local.held.Permit.GetAddress(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	view := s.Source.View()
	// A generation is unknown only if the owners in all regions report so: an
	// owner that cannot be reached may be the one that granted its permit.
	allReached := true
	var address string
	for _, region := range s.regions(identity) {
		key := session.ShardKey{
			Team: identity.TeamName, Service: location.Service, Region: region,
			Number: session.ShardOfTarget(location.Target, identity.Team.Services[location.Service].Shards),
		}
		owner, ok := s.Owners.Lookup(view, key)
		if !ok {
			allReached = false
			continue
		}
		held, found, ok := s.transferPermit(ctx, owner, key, location)
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
	if cached, ok := s.latestAnnouncements.find(identity.TeamName, location.Service, location.Target); ok && !allReached {
		// The shard has no reachable owner now. The next owner learns from this instance's
		// report that the generation runs and which instance holds it.
		p := &api.Permit{
			Id: permitIDFrom(location.UniquePart), Target: location.Target,
			Address: cached.announcement.GetAddress(), FailureDomain: cached.announcement.GetFailureDomain(),
		}
		return s.Permits.Add(cached.key, p, nil, time.Now()), p.GetAddress(), nil
	}
	switch {
	case !allReached:
		return nil, "", resultcode.Newf(resultcode.NoOwner, "no owner of the generation's shard can be reached").WithRetryAfter(time.Second)
	default:
		return nil, "", unknownGeneration(id, 0)
	}
}

// transferPermit requests the permit from one shard owner. If the owner has no such
// permit, transferPermit returns the target's address, or "" if the owner does not know
// the target.
// reached is false if the owner did not respond.
func (s *Service) transferPermit(ctx context.Context, owner permit.Owner, key session.ShardKey, location query.Location) (held *permit.HeldPermit, address string, reached bool) {
	response, err := owner.Command.Transfer(ctx, &api.TransferRequest{
		Shard: key.Proto(), ToSession: s.Source.SessionID(), PermitId: permitIDFrom(location.UniquePart), Target: location.Target,
	})
	if err == nil && response.GetMoved() {
		return s.Permits.Add(key, response.GetPermit(), nil, time.Now()), "", true
	}
	status, err := owner.Query.ShardStatus(ctx, &api.ShardStatusRequest{Shard: key.Proto()})
	if err != nil || status.GetNotOwner() {
		return nil, "", false
	}
	for _, t := range status.GetTargets() {
		if t.GetName() == location.Target {
			return nil, t.GetAddress(), true
		}
	}
	return nil, "", true
}
