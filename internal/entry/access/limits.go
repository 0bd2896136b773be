package access

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// retryInFlight is the advice to a caller whose requests are all in flight.
const retryInFlight = 250 * time.Millisecond

// HandedOut returns the instances whose address callers of the team are given:
// those that are not draining and whose failure domain is in service.
func HandedOut(view *session.View, team *settings.Team) []*api.Instance {
	var out []*api.Instance
	for _, i := range view.Instances {
		if !i.GetDraining() && team.FailureDomainInService(i.GetFailureDomain()) {
			out = append(out, i)
		}
	}
	return out
}

// Share is this instance's part of the limits that hold over all instances.
//
// With n instances handed out, each takes limit/n of rate, burst and in-flight
// requests; the remainder of whole requests goes to the instances that come
// first by name. Below one whole request an instance still gets one, so that
// an account can be served anywhere: over all instances the in-flight bound
// and the burst are max(limit, n). The rate has no floor and sums to the
// limit. An instance that is not handed out any more keeps a share of the same
// size for callers that still use its address; while m such instances drain,
// the sums are larger by the factor (n+m)/n.
type Share struct {
	Instances int // instances handed out, at least 1
	Rank      int // this instance's place among them, by name
}

// ShareOf returns the share of the named instance.
func ShareOf(handedOut []*api.Instance, name string) Share {
	s := Share{Instances: max(len(handedOut), 1)}
	for _, i := range handedOut {
		if i.GetName() < name {
			s.Rank++
		}
	}
	return s
}

// Count returns the share of a limit on whole requests.
func (s Share) Count(limit int) int {
	n := limit / s.Instances
	if s.Rank < limit%s.Instances {
		n++
	}
	return max(n, 1)
}

// Rate returns the share of a rate per second.
func (s Share) Rate(limit float64) float64 { return limit / float64(s.Instances) }

type accountKey struct{ team, account string }

type accountState struct {
	bucket   *rate.Limiter
	inFlight int
}

// Limiter admits requests within each account's share of its limits. Its size
// is bounded by the accounts in the settings: only authenticated accounts get
// an entry, and accounts no longer in the settings are dropped.
type Limiter struct {
	name   string
	source session.Source

	mu       sync.Mutex
	view     *session.View
	shares   map[string]Share // by team
	accounts map[accountKey]*accountState
}

// NewLimiter returns a limiter for the named instance.
func NewLimiter(name string, source session.Source) *Limiter {
	return &Limiter{name: name, source: source, accounts: map[accountKey]*accountState{}}
}

// Share returns the share of the team's limits in force.
func (l *Limiter) Share(team string) Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(team)
}

func (l *Limiter) share(team string) Share {
	l.refresh()
	share := l.shares[team]
	share.Instances = max(share.Instances, 1) // a team that just left the settings
	return share
}

// Admit takes one request of the account into account. The returned function
// ends it and must be called exactly once.
func (l *Limiter) Admit(now time.Time, id *Identity) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share(id.TeamName)
	st := l.state(now, id, share)
	if st.inFlight >= share.Count(id.Account.MaxInFlight) {
		return nil, resultcode.Newf(resultcode.AccountInFlight, "account %q has %d requests in flight here", id.AccountName, st.inFlight).WithRetryAfter(retryInFlight)
	}
	if !st.bucket.AllowN(now, 1) {
		wait := (1 - st.bucket.TokensAt(now)) / float64(st.bucket.Limit())
		return nil, resultcode.Newf(resultcode.AccountRateLimited, "account %q exceeds its rate", id.AccountName).
			WithRetryAfter(time.Duration(math.Ceil(wait*1000)) * time.Millisecond)
	}
	st.inFlight++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		st.inFlight--
	}, nil
}

// refresh follows a change of view.
func (l *Limiter) refresh() {
	view := l.source.View()
	if view == l.view {
		return
	}
	l.view, l.shares = view, map[string]Share{}
	for name, team := range view.Teams {
		l.shares[name] = ShareOf(HandedOut(view, team.Settings), l.name)
	}
	for key, st := range l.accounts {
		if _, ok := accountOf(view, key); !ok && st.inFlight == 0 {
			delete(l.accounts, key)
		}
	}
}

func (l *Limiter) state(now time.Time, id *Identity, share Share) *accountState {
	limit, burst := rate.Limit(share.Rate(id.Account.RatePerSecond)), share.Count(id.Account.Burst)
	key := accountKey{id.TeamName, id.AccountName}
	st, ok := l.accounts[key]
	if !ok {
		st = &accountState{bucket: rate.NewLimiter(limit, burst)}
		l.accounts[key] = st
	}
	if st.bucket.Limit() != limit {
		st.bucket.SetLimitAt(now, limit)
	}
	if st.bucket.Burst() != burst {
		st.bucket.SetBurstAt(now, burst)
	}
	return st
}

func accountOf(view *session.View, key accountKey) (settings.ClientAccount, bool) {
	team, ok := view.Teams[key.team]
	if !ok {
		return settings.ClientAccount{}, false
	}
	a, ok := team.Settings.Accounts[key.account]
	return a, ok
}
