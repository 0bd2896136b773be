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

// inFlightRetryAfter is the Retry-After value for an account that has reached its
// limit of requests in flight.
const inFlightRetryAfter = 250 * time.Millisecond

// AdvertisedInstances returns the entry instances whose addresses are given to callers of
// the team: those that are not draining and whose failure domain is in service. The
// team's limits are divided among them.
func AdvertisedInstances(view *session.View, team *settings.Team) []*api.Instance {
	var out []*api.Instance
	for _, i := range view.Instances {
		if !i.GetDraining() && team.FailureDomainInService(i.GetFailureDomain()) {
			out = append(out, i)
		}
	}
	return out
}

// Share is one instance's part of the limits that apply to all instances
// together.
//
// If n instances are advertised to callers, each gets limit/n of the rate, the
// burst and the requests in flight. The remainder of the integer limits goes to
// the instances that come first by name. Each instance gets a burst and in-flight
// limit of at least one request, so that an account can be served by any
// instance; the sums over all instances are therefore max(limit, n). The rate has
// no minimum and sums to the limit. An instance that is no longer advertised
// keeps a share of the same size for callers that still use its address; while m
// such instances drain, the sums grow by the factor (n+m)/n.
type Share struct {
	Instances int // number of advertised instances, at least 1
	Rank      int // number of advertised instances whose names sort before this instance's
}

// NewShare returns the share of the named instance, which need not be one of the advertised
// instances.
func NewShare(advertised []*api.Instance, name string) Share {
	s := Share{Instances: max(len(advertised), 1)}
	for _, i := range advertised {
		if i.GetName() < name {
			s.Rank++
		}
	}
	return s
}

// Count returns the instance's share of a limit that is a number of requests. It is at
// least 1.
func (s Share) Count(limit int) int {
	n := limit / s.Instances
	if s.Rank < limit%s.Instances {
		n++
	}
	return max(n, 1)
}

// Rate returns the instance's share of a rate limit, in the limit's own unit (requests or
// bytes per second).
func (s Share) Rate(limit float64) float64 { return limit / float64(s.Instances) }

type accountKey struct{ team, account string }

type accountState struct {
	bucket   *rate.Limiter
	inFlight int
}

// Limiter enforces this instance's share of each account's limits. Its memory is
// bounded by the number of accounts in the settings: only authenticated accounts
// get an entry, and the entry of an account that was removed from the settings is
// dropped once the account has no request in flight.
type Limiter struct {
	name   string
	source session.Source

	mu       sync.Mutex
	view     *session.View
	shares   map[string]Share // this instance's share of each team's limits
	accounts map[accountKey]*accountState
}

// NewLimiter returns a limiter for the instance with the given name.
func NewLimiter(name string, source session.Source) *Limiter {
	return &Limiter{name: name, source: source, accounts: map[accountKey]*accountState{}}
}

// Share returns this instance's current share of the team's limits.
func (l *Limiter) Share(team string) Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentShare(team)
}

func (l *Limiter) currentShare(team string) Share {
	l.refreshShares()
	share := l.shares[team]
	share.Instances = max(share.Instances, 1) // Instances is 0 for a team that was just removed
	return share
}

// Admit counts one request against the account's limits. The returned function
// ends the request; it must be called exactly once. If a limit is reached, Admit
// returns an error with a Retry-After value instead.
func (l *Limiter) Admit(now time.Time, id *Identity) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.currentShare(id.TeamName)
	st := l.accountStateFor(now, id, share)
	if st.inFlight >= share.Count(id.Account.MaxInFlight) {
		return nil, resultcode.Newf(resultcode.AccountInFlight, "account %q has %d requests in flight here", id.AccountName, st.inFlight).WithRetryAfter(inFlightRetryAfter)
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

// refreshShares recomputes the shares and drops entries of removed accounts if the view
// (this instance's copy of the replicated state) has changed. l.mu must be held.
func (l *Limiter) refreshShares() {
	view := l.source.View()
	if view == l.view {
		return
	}
	l.view, l.shares = view, map[string]Share{}
	for name, team := range view.Teams {
		l.shares[name] = NewShare(AdvertisedInstances(view, team.Settings), l.name)
	}
	for key, st := range l.accounts {
		if _, ok := lookupAccount(view, key); !ok && st.inFlight == 0 {
			delete(l.accounts, key)
		}
	}
}

func (l *Limiter) accountStateFor(now time.Time, id *Identity, share Share) *accountState {
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

func lookupAccount(view *session.View, key accountKey) (settings.ClientAccount, bool) {
	team, ok := view.Teams[key.team]
	if !ok {
		return settings.ClientAccount{}, false
	}
	a, ok := team.Settings.Accounts[key.account]
	return a, ok
}
