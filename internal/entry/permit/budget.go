package permit

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// retryReserve is how many retries a team may make before its first requests
// have earned any, and the most that it can save up. Retries of a team at one
// instance are at most RetryPercent of its requests there plus this reserve.
const retryReserve = 10

// RetryBudget bounds retries and hedged reads per team as a share of requests.
type RetryBudget struct {
	mu      sync.Mutex
	credits map[string]float64 // by team; teams come from the settings only
	refused tally.Counter
	spent   tally.Counter
}

// NewRetryBudget returns a budget that counts in scope.
func NewRetryBudget(scope tally.Scope) *RetryBudget {
	return &RetryBudget{
		credits: map[string]float64{},
		refused: scope.Counter("entry.retries_refused"),
		spent:   scope.Counter("entry.retries"),
	}
}

// Earn counts one first attempt of the team.
func (b *RetryBudget) Earn(team string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[team] = min(b.credit(team)+float64(percent)/100, retryReserve)
}

// Take spends one retry, if the budget allows it. A team that allows 0 percent
// gets none.
func (b *RetryBudget) Take(team string, percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.credit(team)
	if c < 1 || percent == 0 {
		b.refused.Inc(1)
		return false
	}
	b.credits[team] = c - 1
	b.spent.Inc(1)
	return true
}

func (b *RetryBudget) credit(team string) float64 {
	if c, ok := b.credits[team]; ok {
		return c
	}
	return retryReserve
}

// linkBurst is how much of the link's rate may be used at once.
const linkBurst = time.Second

// LinkBudget bounds the bytes that a team's requests spend on the link between
// regions. Streams are charged as they flow, so the balance can go below zero;
// no further work is sent across until it is positive again.
type LinkBudget struct {
	mu      sync.Mutex
	teams   map[string]*linkState
	bytes   tally.Counter
	refused tally.Counter
}

type linkState struct {
	balance float64
	at      time.Time
}

// NewLinkBudget returns a budget that counts in scope.
func NewLinkBudget(scope tally.Scope) *LinkBudget {
	return &LinkBudget{
		teams:   map[string]*linkState{},
		bytes:   scope.Counter("entry.cross_region_bytes"),
		refused: scope.Counter("entry.cross_region_refused"),
	}
}

// Positive reports whether further work may be sent across the link. rate is
// this instance's share in bytes per second.
func (b *LinkBudget) Positive(now time.Time, team string, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state(now, team, rate).balance > 0 {
		return true
	}
	b.refused.Inc(1)
	return false
}

// Spend charges bytes that crossed the link.
func (b *LinkBudget) Spend(now time.Time, team string, rate float64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(now, team, rate).balance -= float64(n)
	b.bytes.Inc(int64(n))
}

func (b *LinkBudget) state(now time.Time, team string, rate float64) *linkState {
	burst := rate * linkBurst.Seconds()
	st, ok := b.teams[team]
	if !ok {
		st = &linkState{balance: burst, at: now}
		b.teams[team] = st
	}
	if d := now.Sub(st.at); d > 0 {
		st.balance, st.at = min(st.balance+rate*d.Seconds(), burst), now
	}
	return st
}
