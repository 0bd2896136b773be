package query

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// Deps holds the dependencies and settings of a Service.
type Deps struct {
	Name          string
	Source        session.Source
	Env           *process.Env
	AddressTTL    time.Duration
	PeerKeyDigest string
	// RunningGenerations and HeldPermits count the generations in progress and the permits held.
	RunningGenerations func() int
	HeldPermits        func() int
}

// Service implements the read-only API calls of an entry instance: addresses, status,
// health, metrics and events.
type Service struct {
	Deps
}

type addressesResponse struct {
	TTLMS     int64          `json:"ttl_ms"`
	Addresses []addressEntry `json:"addresses"`
}

type addressEntry struct {
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
}

// Addresses serves GET /v1/addresses: the entry instances that callers may use, ordered
// by proximity to the region and failure domain in the query.
func (s *Service) Addresses(c echo.Context) error {
	q := c.QueryParams()
	view := s.Source.View()
	ordered := SelectInstances(view.Instances, domainFilter(view), q.Get("region"), q.Get("failure_domain"), rand.Shuffle)
	response := addressesResponse{TTLMS: s.AddressTTL.Milliseconds(), Addresses: make([]addressEntry, 0, len(ordered))}
	for _, i := range ordered {
		response.Addresses = append(response.Addresses, addressEntry{i.GetAddress(), i.GetRegion(), i.GetFailureDomain()})
	}
	reply.JSON(c.Response(), response)
	return nil
}

// domainFilter returns a function that reports whether a failure domain is in service.
// The caller's team is unknown here, so a domain is out of service if any team that
// declares it has taken it out.
func domainFilter(view *session.View) func(string) bool {
	return func(domain string) bool {
		for _, team := range view.Teams {
			if d, ok := team.Settings.FailureDomains[domain]; ok && !d.IsInService() {
				return false
			}
		}
		return true
	}
}

// SelectInstances returns the instances that callers may use, in order of preference:
// those in the caller's failure domain, then those in its region, then the others.
// Instances at the same distance are shuffled.
func SelectInstances(instances []*api.Instance, domainInService func(string) bool, region, domain string, shuffle func(int, func(i, j int))) []*api.Instance {
	var out []*api.Instance
	for _, i := range instances {
		if !i.GetDraining() && domainInService(i.GetFailureDomain()) {
			out = append(out, i)
		}
	}
	shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	distance := func(i *api.Instance) int {
		switch {
		case i.GetFailureDomain() == domain:
			return 0
		case i.GetRegion() == region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(out, func(a, b *api.Instance) int { return cmp.Compare(distance(a), distance(b)) })
	return out
}

// RequirePeerOrOperator is middleware that rejects requests without the peer key or an
// operator key. It protects calls that are not meant for callers.
func (s *Service) RequirePeerOrOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Request().Header
		if peerauth.Matches(h.Get(peerauth.PeerHeader), s.PeerKeyDigest) || isOperatorKey(s.Source.View(), peerauth.Bearer(h)) {
			return next(c)
		}
		return resultcode.Newf(resultcode.Unauthenticated, "the peer key or an operator key is required")
	}
}

// isOperatorKey reports whether the key is an operator key of any team.
func isOperatorKey(view *session.View, key string) bool {
	digest := peerauth.Digest(key)
	for _, team := range view.Teams {
		if slices.Contains(team.Settings.OperatorKeySHA256, digest) {
			return true
		}
	}
	return false
}

type metricsResponse struct {
	Counters map[string]int64   `json:"counters"`
	Gauges   map[string]float64 `json:"gauges"`
}

// Metrics serves GET /metrics: the counters and gauges of this process.
func (s *Service) Metrics(c echo.Context) error {
	reply.JSON(c.Response(), metricsResponse{s.Env.Counters(), s.Env.Gauges()})
	return nil
}

type eventsResponse struct {
	Events []timeline.Event `json:"events"`
}

// Events serves GET /v1/events: the newest events in memory, oldest first.
func (s *Service) Events(c echo.Context) error {
	reply.JSON(c.Response(), eventsResponse{s.Env.Timeline.Recent()})
	return nil
}

type statusResponse struct {
	Name        string            `json:"name"`
	Session     uint64            `json:"session"`
	Version     uint64            `json:"version"`
	Fresh       bool              `json:"fresh"`
	Instances   int               `json:"instances"`
	OwnedShards []string          `json:"owned_shards"`
	Revisions   map[string]uint64 `json:"revisions"`
	Running     int               `json:"running"`
	HeldPermits int               `json:"held_permits"`
}

// Status serves GET /v1/status: this instance's session, the version of its view (its copy
// of the replicated state), its owned shards and its load.
func (s *Service) Status(c echo.Context) error {
	view := s.Source.View()
	response := statusResponse{
		Name: s.Name, Session: s.Source.SessionID(), Version: view.Version, Fresh: s.Source.Fresh(),
		Instances: len(view.Instances), OwnedShards: OwnedShards(view, s.Source.SessionID()),
		Revisions: map[string]uint64{}, Running: s.RunningGenerations(), HeldPermits: s.HeldPermits(),
	}
	for name, team := range view.Teams {
		response.Revisions[name] = team.Revision
	}
	reply.JSON(c.Response(), response)
	return nil
}

// OwnedShards returns the shards that the session owns, sorted.
func OwnedShards(view *session.View, sessionID uint64) []string {
	out := []string{}
	for key, a := range view.Assignments {
		if sessionID != 0 && a.GetOwnerSession() == sessionID {
			out = append(out, key.String())
		}
	}
	slices.Sort(out)
	return out
}

type healthResponse struct {
	OK    bool `json:"ok"`
	Fresh bool `json:"fresh"` // true if the freshness lease is valid, so that new work may be dispatched
}

// Health serves GET /healthz. It always responds with status 200.
func (s *Service) Health(c echo.Context) error {
	reply.JSON(c.Response(), healthResponse{OK: true, Fresh: s.Source.Fresh()})
	return nil
}
