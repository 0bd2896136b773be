package permit

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// retryReserve is the initial and the maximum credit of a team's retry budget, in
// retries. A team's retries at one instance are at most RetryPercent of its requests
// there plus this reserve.
const retryReserve = 10

// RetryBudget limits each team's retries and hedged reads to a percentage of its
// requests.
type RetryBudget struct {
	mu      sync.Mutex
	credits map[string]float64 // each team's credit in retries; teams come from the settings only
	refused tally.Counter
	spent   tally.Counter
}

// NewRetryBudget returns a budget that reports its counters to scope.
func NewRetryBudget(scope tally.Scope) *RetryBudget {
	return &RetryBudget{
		credits: map[string]float64{},
		refused: scope.Counter("entry.retries_refused"),
		spent:   scope.Counter("entry.retries"),
	}
}

// Earn credits the team for the first attempt of a request: percent/100 of a retry.
// Retries and hedged reads earn nothing.
func (b *RetryBudget) Earn(team string, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credits[team] = min(b.credit(team)+float64(percent)/100, retryReserve)
}

// Take spends one retry and reports whether the budget allowed it. At 0 percent it
// never does.
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

// credit returns the team's credit in retries. The caller must hold b.mu.
func (b *RetryBudget) credit(team string) float64 {
	if c, ok := b.credits[team]; ok {
		return c
	}
	return retryReserve
}

// linkBurst is the largest balance of a LinkBudget, expressed as the time in which the
// rate adds up to that balance.
const linkBurst = time.Second

// LinkBudget limits the rate of bytes that each team's requests send across regions,
// as a token bucket. Streams are charged while they run, so the balance can become
// negative; no further work is sent to other regions until it is positive again.
type LinkBudget struct {
	mu      sync.Mutex
	teams   map[string]*linkBalance
	bytes   tally.Counter
	refused tally.Counter
}

type linkBalance struct {
	balance   float64
	updatedAt time.Time
}

// NewLinkBudget returns a budget that reports its counters to scope.
func NewLinkBudget(scope tally.Scope) *LinkBudget {
	return &LinkBudget{
		teams:   map[string]*linkBalance{},
		bytes:   scope.Counter("entry.cross_region_bytes"),
		refused: scope.Counter("entry.cross_region_refused"),
	}
}

// Positive reports whether the team's balance is positive, so that further work may be
// sent to another region. rate is this instance's share in bytes per second.
func (b *LinkBudget) Positive(now time.Time, team string, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refilledBalance(now, team, rate).balance > 0 {
		return true
	}
	b.refused.Inc(1)
	return false
}

// Spend charges n bytes that crossed regions. rate is as for Positive.
func (b *LinkBudget) Spend(now time.Time, team string, rate float64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refilledBalance(now, team, rate).balance -= float64(n)
	b.bytes.Inc(int64(n))
}

// refilledBalance returns the team's balance, refilled up to now. The caller must hold b.mu.
func (b *LinkBudget) refilledBalance(now time.Time, team string, rate float64) *linkBalance {
	burst := rate * linkBurst.Seconds()
	st, ok := b.teams[team]
	if !ok {
		st = &linkBalance{balance: burst, updatedAt: now}
		b.teams[team] = st
	}
	if d := now.Sub(st.updatedAt); d > 0 {
		st.balance, st.updatedAt = min(st.balance+rate*d.Seconds(), burst), now
	}
	return st
}
