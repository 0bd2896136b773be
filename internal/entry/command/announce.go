package command

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Limits on target announcements, documented in docs/targets.md.
const (
	maxAnnouncementBytes = 64 << 10
	announcementLease    = 3 * time.Second
	maxAnnouncedTargets  = 16_384
	maxModels            = 256
	maxAnnounceAddresses = 8
	prefixHashDigits     = 16
	// forwardConcurrency limits the announcements that are forwarded at the same
	// time after shards changed owners.
	forwardConcurrency = 16
)

// announcementBody is the JSON request body of an announcement.
type announcementBody struct {
	Team             string           `json:"team"`
	Service          string           `json:"service"`
	Target           string           `json:"target"`
	Incarnation      string           `json:"incarnation"`
	Address          string           `json:"address"`
	Region           string           `json:"region"`
	FailureDomain    string           `json:"failure_domain"`
	Models           []string         `json:"models"`
	Cold             bool             `json:"cold"`
	Leaving          bool             `json:"leaving"`
	ChecksFencing    bool             `json:"checks_fencing"`
	MaxRunning       uint32           `json:"max_running"`
	MemoryTokens     uint32           `json:"memory_tokens"`
	ReportedRunning  uint32           `json:"reported_running"`
	ReportedTokens   uint32           `json:"reported_tokens"`
	PreemptionsTotal uint32           `json:"preemptions_total"`
	CacheEvents      []cacheEventBody `json:"cache_events"`
}

type cacheEventBody struct {
	Sequence     uint64   `json:"sequence"`
	Evicted      bool     `json:"evicted"`
	PrefixHashes []string `json:"prefix_hashes"`
}

type announcementResponse struct {
	LeaseMS   int64    `json:"lease_ms"`
	Addresses []string `json:"addresses"`
}

// Announce serves POST /v1/targets/announce. It forwards the announcement to the
// owner of the target's shard and responds with the lease duration and the entry
// instances to which the target may announce next.
func (s *Service) Announce(c echo.Context) error {
	w, r := c.Response(), c.Request()
	data, err := reply.ReadBody(w, r, maxAnnouncementBytes)
	if err != nil {
		return s.countRefusedAnnouncement(resultcode.Newf(resultcode.AnnouncementMalformed, "%v", err))
	}
	body, err := decodeAnnouncement(data)
	if err != nil {
		return s.countRefusedAnnouncement(err)
	}
	view := s.Source.View()
	team, service, err := access.AuthenticateTarget(view, body.Team, body.Service, r.Header)
	if err != nil {
		return s.countRefusedAnnouncement(err)
	}
	a, err := body.validate(team, service, s.Region)
	if err != nil {
		return s.countRefusedAnnouncement(err)
	}
	key := session.ShardKey{
		Team: body.Team, Service: body.Service, Region: body.Region,
		Number: session.ShardOfTarget(body.Target, service.Shards),
	}
	if err := s.latestAnnouncements.put(key, a, time.Now()); err != nil {
		return s.countRefusedAnnouncement(err)
	}
	if !s.forwardAnnouncement(r.Context(), view, key, a) {
		return s.countRefusedAnnouncement(resultcode.Newf(resultcode.NoOwner, "the owner of shard %s cannot be reached", key).WithRetryAfter(targetRetryAfter))
	}
	s.counts.announcements.Inc(1)
	reply.JSON(w, announcementResponse{LeaseMS: announcementLease.Milliseconds(), Addresses: s.announceAddresses(view, team)})
	return nil
}

// decodeAnnouncement parses the JSON body. validate checks the values.
func decodeAnnouncement(data []byte) (*announcementBody, error) {
	var body announcementBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, malformedError("the announcement cannot be decoded: %v", err)
	}
	return &body, nil
}

// countRefusedAnnouncement counts a refused announcement and returns err.
func (s *Service) countRefusedAnnouncement(err error) error {
	s.counts.announcementsRefused.Inc(1)
	return err
}

// announceAddresses returns the addresses of entry instances in this region to
// which targets may announce, at most maxAnnounceAddresses.
func (s *Service) announceAddresses(view *session.View, team *settings.Team) []string {
	out := []string{}
	for _, i := range access.AdvertisedInstances(view, team) {
		if i.GetRegion() == s.Region && len(out) < maxAnnounceAddresses {
			out = append(out, i.GetAddress())
		}
	}
	return out
}

func malformedError(format string, args ...any) error {
	return resultcode.Newf(resultcode.AnnouncementMalformed, format, args...)
}

// validate checks the announcement against the settings of its team and service
// and returns it as a protobuf message. region is this instance's region.
func (b *announcementBody) validate(team *settings.Team, service settings.Service, region string) (*api.Announcement, error) {
	if !settings.ValidName(b.Target) {
		return nil, malformedError("target %.64q is not a valid name", b.Target)
	}
	if b.Incarnation == "" || len(b.Incarnation) > 128 {
		return nil, malformedError("incarnation must have 1 to 128 characters")
	}
	if err := identifier.CheckName(resultcode.AnnouncementMalformed, "incarnation", b.Incarnation); err != nil {
		return nil, err
	}
	if len(b.Models) > maxModels {
		return nil, malformedError("%d models, at most %d", len(b.Models), maxModels)
	}
	for _, m := range b.Models {
		if !slices.Contains(service.Models, m) {
			return nil, malformedError("model %.64q is not one of service %q", m, b.Service)
		}
	}
	if err := process.CheckAddress(b.Address); err != nil {
		return nil, resultcode.Newf(resultcode.AnnouncementAddress, "address %.64q: %v", b.Address, err)
	}
	if err := identifier.CheckAddress(resultcode.AnnouncementAddress, "address", b.Address); err != nil {
		return nil, err
	}
	domain, ok := team.FailureDomains[b.FailureDomain]
	if !ok || domain.Region != b.Region {
		return nil, resultcode.Newf(resultcode.AnnouncementAddress, "failure domain %q of region %q is not in the settings", b.FailureDomain, b.Region)
	}
	if b.Region != region {
		return nil, resultcode.Newf(resultcode.AnnouncementAddress, "this instance is in region %q; announce in region %q", region, b.Region)
	}
	events, err := parseCacheEvents(b.CacheEvents)
	if err != nil {
		return nil, err
	}
	return &api.Announcement{
		Team: b.Team, Service: b.Service, Target: b.Target, Incarnation: b.Incarnation, Address: b.Address,
		Region: b.Region, FailureDomain: b.FailureDomain, Models: b.Models, Cold: b.Cold, Leaving: b.Leaving,
		ChecksFencing: b.ChecksFencing, MaxRunning: b.MaxRunning, MemoryTokens: b.MemoryTokens,
		ReportedRunning: b.ReportedRunning, ReportedTokens: b.ReportedTokens,
		PreemptionsTotal: b.PreemptionsTotal, CacheEvents: events,
	}, nil
}

func parseCacheEvents(in []cacheEventBody) ([]*api.CacheEvent, error) {
	out := make([]*api.CacheEvent, 0, len(in))
	for _, e := range in {
		hashes := make([]uint64, 0, len(e.PrefixHashes))
		for _, digits := range e.PrefixHashes {
			h, err := strconv.ParseUint(digits, 16, 64)
			if err != nil || len(digits) != prefixHashDigits {
				return nil, malformedError("prefix hash %q is not %d hex digits", digits, prefixHashDigits)
			}
			hashes = append(hashes, h)
		}
		out = append(out, &api.CacheEvent{Sequence: e.Sequence, Evicted: e.Evicted, PrefixHashes: hashes})
	}
	return out, nil
}

// forwardAnnouncement sends an announcement to the owner of its shard and reports
// whether the owner accepted it.
func (s *Service) forwardAnnouncement(ctx context.Context, view *session.View, key session.ShardKey, a *api.Announcement) bool {
	owner, ok := s.Owners.Lookup(view, key)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	response, err := owner.Command.Announce(ctx, &api.AnnounceRequest{Shard: key.Proto(), Announcement: a})
	return err == nil && !response.GetNotOwner()
}

// ForwardAnnouncements forwards the newest announcement of each target whenever
// the target's shard changes owner, so that the new owner need not wait for the
// target's next announcement. It returns when ctx ends.
func (s *Service) ForwardAnnouncements(ctx context.Context) {
	for {
		changed := s.Source.Changed()
		s.forwardToNewOwners(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// forwardToNewOwners forwards the announcements whose shard has a new owner.
func (s *Service) forwardToNewOwners(ctx context.Context) {
	view := s.Source.View()
	slots := make(chan struct{}, forwardConcurrency)
	var wait sync.WaitGroup
	for _, cached := range s.latestAnnouncements.takeForNewOwners(view, time.Now()) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			s.forwardAnnouncement(ctx, view, cached.key, cached.announcement)
		})
	}
	wait.Wait()
}

// announcementCache holds the newest announcement of each target that announces
// to this instance.
type announcementCache struct {
	mu              sync.Mutex
	targets         map[announcementKey]*cachedAnnouncement
	forwardedEpochs map[session.ShardKey]uint64 // by shard: epoch of the last owner that got all announcements
}

type announcementKey struct{ team, service, target string }

type cachedAnnouncement struct {
	key          session.ShardKey
	announcement *api.Announcement
	receivedAt   time.Time
}

func newAnnouncementCache() *announcementCache {
	return &announcementCache{targets: map[announcementKey]*cachedAnnouncement{}, forwardedEpochs: map[session.ShardKey]uint64{}}
}

// put stores the newest announcement of a target. It fails with Overloaded if the cache
// is full of unexpired announcements.
func (a *announcementCache) put(key session.ShardKey, announcement *api.Announcement, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := announcementKey{announcement.GetTeam(), announcement.GetService(), announcement.GetTarget()}
	if _, known := a.targets[k]; !known && len(a.targets) >= maxAnnouncedTargets {
		a.deleteExpired(now)
		if len(a.targets) >= maxAnnouncedTargets {
			return resultcode.Newf(resultcode.Overloaded, "too many targets announce to this instance").WithRetryAfter(announcementLease)
		}
	}
	a.targets[k] = &cachedAnnouncement{key, announcement, now}
	return nil
}

// deleteExpired deletes the announcements whose lease has ended. The caller must hold a.mu.
func (a *announcementCache) deleteExpired(now time.Time) {
	for k, t := range a.targets {
		if now.Sub(t.receivedAt) > announcementLease {
			delete(a.targets, k)
		}
	}
}

// takeForNewOwners returns the unexpired announcements whose shard has a new owner
// since the last call, sorted by target name, and records the current owners'
// epochs.
func (a *announcementCache) takeForNewOwners(view *session.View, now time.Time) []cachedAnnouncement {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deleteExpired(now)
	var out []cachedAnnouncement
	for _, t := range a.targets {
		if assignment := view.Assignments[t.key]; assignment.GetOwnerSession() != 0 && assignment.GetEpoch() != a.forwardedEpochs[t.key] {
			out = append(out, *t)
		}
	}
	clear(a.forwardedEpochs)
	for _, t := range a.targets {
		a.forwardedEpochs[t.key] = view.Assignments[t.key].GetEpoch() // 0 if the shard has no owner, since an owner's epoch is never 0
	}
	slices.SortFunc(out, func(x, y cachedAnnouncement) int {
		return cmp.Compare(x.announcement.GetTarget(), y.announcement.GetTarget())
	})
	return out
}

// find returns the cached announcement of a target, or false if there is none or
// it has expired.
func (a *announcementCache) find(team, service, target string) (cachedAnnouncement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.targets[announcementKey{team, service, target}]
	if t == nil || time.Since(t.receivedAt) > announcementLease {
		return cachedAnnouncement{}, false
	}
	return *t, true
}
