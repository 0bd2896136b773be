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
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Bounds of announcements; docs/targets.md states them.
const (
	maxAnnouncementBytes = 64 << 10
	announcementLease    = 3 * time.Second
	maxAnnounced         = 16_384
	maxModels            = 256
	maxAnswerAddresses   = 8
	hashDigits           = 16
	// passOnWorkers bounds the announcements that are passed on at one time
	// after a change of owners.
	passOnWorkers = 16
)

// announcementBody is the JSON form of an announcement.
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

type announcementAnswer struct {
	LeaseMS   int64    `json:"lease_ms"`
	Addresses []string `json:"addresses"`
}

// Announce serves POST /v1/targets/announce.
func (s *Service) Announce(c echo.Context) error {
	w, r := c.Response(), c.Request()
	text, err := reply.ReadBody(w, r, maxAnnouncementBytes)
	if err != nil {
		return s.refuseAnnouncement(resultcode.Newf(resultcode.AnnouncementMalformed, "%v", err))
	}
	body, err := decodeAnnouncement(text)
	if err != nil {
		return s.refuseAnnouncement(err)
	}
	view := s.Source.View()
	team, service, err := access.TargetService(view, body.Team, body.Service, r.Header)
	if err != nil {
		return s.refuseAnnouncement(err)
	}
	a, err := body.check(team, service, s.Region)
	if err != nil {
		return s.refuseAnnouncement(err)
	}
	key := session.ShardKey{
		Team: body.Team, Service: body.Service, Region: body.Region,
		Number: session.ShardOfTarget(body.Target, service.Shards),
	}
	if err := s.targets.put(key, a, time.Now()); err != nil {
		return s.refuseAnnouncement(err)
	}
	if !s.passOn(r.Context(), view, key, a) {
		return s.refuseAnnouncement(resultcode.Newf(resultcode.NoOwner, "the owner of shard %s cannot be reached", key).WithRetryAfter(retryFull))
	}
	s.counts.announcements.Inc(1)
	reply.JSON(w, announcementAnswer{LeaseMS: announcementLease.Milliseconds(), Addresses: s.otherAddresses(view, team)})
	return nil
}

// decodeAnnouncement reads the JSON form; check validates its content.
func decodeAnnouncement(text []byte) (*announcementBody, error) {
	var body announcementBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, malformed("the announcement does not decode: %v", err)
	}
	return &body, nil
}

func (s *Service) refuseAnnouncement(err error) error {
	s.counts.announcedRefused.Inc(1)
	return err
}

// otherAddresses are the entry instances of this region that targets may
// announce to.
func (s *Service) otherAddresses(view *session.View, team *settings.Team) []string {
	out := []string{}
	for _, i := range access.HandedOut(view, team) {
		if i.GetRegion() == s.Region && len(out) < maxAnswerAddresses {
			out = append(out, i.GetAddress())
		}
	}
	return out
}

func malformed(format string, args ...any) error {
	return resultcode.Newf(resultcode.AnnouncementMalformed, format, args...)
}

// check validates the announcement and returns its message form.
func (b *announcementBody) check(team *settings.Team, service settings.Service, region string) (*api.Announcement, error) {
	if !settings.ValidName(b.Target) {
		return nil, malformed("target %q is not a name", b.Target)
	}
	if b.Incarnation == "" || len(b.Incarnation) > 128 {
		return nil, malformed("incarnation must have 1 to 128 characters")
	}
	if len(b.Models) > maxModels {
		return nil, malformed("%d models, at most %d", len(b.Models), maxModels)
	}
	for _, m := range b.Models {
		if !slices.Contains(service.Models, m) {
			return nil, malformed("model %q is not one of service %q", m, b.Service)
		}
	}
	if err := process.CheckAddress(b.Address); err != nil {
		return nil, resultcode.Newf(resultcode.AnnouncementAddress, "address %q: %v", b.Address, err)
	}
	domain, ok := team.FailureDomains[b.FailureDomain]
	if !ok || domain.Region != b.Region {
		return nil, resultcode.Newf(resultcode.AnnouncementAddress, "failure domain %q of region %q is not in the settings", b.FailureDomain, b.Region)
	}
	if b.Region != region {
		return nil, resultcode.Newf(resultcode.AnnouncementAddress, "this instance is in region %q; announce in region %q", region, b.Region)
	}
	events, err := cacheEvents(b.CacheEvents)
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

func cacheEvents(in []cacheEventBody) ([]*api.CacheEvent, error) {
	out := make([]*api.CacheEvent, 0, len(in))
	for _, e := range in {
		hashes := make([]uint64, 0, len(e.PrefixHashes))
		for _, text := range e.PrefixHashes {
			h, err := strconv.ParseUint(text, 16, 64)
			if err != nil || len(text) != hashDigits {
				return nil, malformed("prefix hash %q is not %d hex digits", text, hashDigits)
			}
			hashes = append(hashes, h)
		}
		out = append(out, &api.CacheEvent{Sequence: e.Sequence, Evicted: e.Evicted, PrefixHashes: hashes})
	}
	return out, nil
}

// passOn sends an announcement to the owner of its shard.
func (s *Service) passOn(ctx context.Context, view *session.View, key session.ShardKey, a *api.Announcement) bool {
	owner, ok := s.Owners.Of(view, key)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := owner.Command.Announce(ctx, &api.AnnounceRequest{Shard: key.Proto(), Announcement: a})
	return err == nil && !answer.GetNotOwner()
}

// PassOnAnnouncements sends the newest announcement of each target to the
// shard's owner whenever that changes, so that a new owner need not wait for
// the targets' next announcements. It returns when ctx ends.
func (s *Service) PassOnAnnouncements(ctx context.Context) {
	for {
		changed := s.Source.Changed()
		s.passOnAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Service) passOnAll(ctx context.Context) {
	view := s.Source.View()
	slots := make(chan struct{}, passOnWorkers)
	var wait sync.WaitGroup
	for _, due := range s.targets.due(view, time.Now()) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			s.passOn(ctx, view, due.key, due.announcement)
		})
	}
	wait.Wait()
}

// announced keeps the newest announcement of each target that announces here.
type announced struct {
	mu      sync.Mutex
	targets map[announcedKey]*announcedTarget
	epochs  map[session.ShardKey]uint64 // of the owner that was passed all announcements
}

type announcedKey struct{ team, service, target string }

type announcedTarget struct {
	key          session.ShardKey
	announcement *api.Announcement
	at           time.Time
}

func newAnnounced() *announced {
	return &announced{targets: map[announcedKey]*announcedTarget{}, epochs: map[session.ShardKey]uint64{}}
}

func (a *announced) put(key session.ShardKey, m *api.Announcement, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := announcedKey{m.GetTeam(), m.GetService(), m.GetTarget()}
	if _, known := a.targets[k]; !known && len(a.targets) >= maxAnnounced {
		a.expire(now)
		if len(a.targets) >= maxAnnounced {
			return resultcode.Newf(resultcode.Overloaded, "too many targets announce here").WithRetryAfter(announcementLease)
		}
	}
	a.targets[k] = &announcedTarget{key, m, now}
	return nil
}

func (a *announced) expire(now time.Time) {
	for k, t := range a.targets {
		if now.Sub(t.at) > announcementLease {
			delete(a.targets, k)
		}
	}
}

// due returns the announcements whose shard has another owner than before, and
// whose target still counts as present.
func (a *announced) due(view *session.View, now time.Time) []announcedTarget {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	var out []announcedTarget
	for _, t := range a.targets {
		if as := view.Assignments[t.key]; as.GetOwnerSession() != 0 && as.GetEpoch() != a.epochs[t.key] {
			out = append(out, *t)
		}
	}
	clear(a.epochs)
	for _, t := range a.targets {
		a.epochs[t.key] = view.Assignments[t.key].GetEpoch() // 0 without an owner, which no owner has
	}
	slices.SortFunc(out, func(x, y announcedTarget) int {
		return cmp.Compare(x.announcement.GetTarget(), y.announcement.GetTarget())
	})
	return out
}

// find returns a target that announced here lately.
func (a *announced) find(team, service, target string) (announcedTarget, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.targets[announcedKey{team, service, target}]
	if t == nil || time.Since(t.at) > announcementLease {
		return announcedTarget{}, false
	}
	return *t, true
}
