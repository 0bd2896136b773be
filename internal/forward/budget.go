package forward

import (
	"sync"
	"time"
)

// BudgetConfig bounds the requests that are sent once more, summed over all
// instances: in any window at most Ratio of the requests plus Slack.
type BudgetConfig struct {
	Window time.Duration
	Ratio  float64
	Slack  int
}

// Shares of the budget that one instance uses. The rest covers windows that do
// not line up with the ones counted here.
const (
	ratioShare = 0.6
	slackShare = 0.4
	// budgetBuckets is the resolution of the sliding window.
	budgetBuckets = 20
)

// budget counts, by service, requests and repeats in a sliding window.
type budget struct {
	config BudgetConfig

	mu       sync.Mutex
	services map[string]*[budgetBuckets]budgetBucket
}

type budgetBucket struct {
	slice    int64 // number of the time slice that the counts belong to
	requests int
	repeats  int
}

func newBudget(c BudgetConfig) *budget {
	return &budget{config: c, services: map[string]*[budgetBuckets]budgetBucket{}}
}

// request notes the first send of a request.
func (b *budget) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).requests++
}

// repeat takes one repeat from the budget, shared by a number of instances.
func (b *budget) repeat(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, repeats := b.sum(service, now)
	allowed := ratioShare*b.config.Ratio*float64(requests) + slackShare*float64(b.config.Slack)/float64(max(1, instances))
	if float64(repeats+1) > allowed {
		return false
	}
	b.bucket(service, now).repeats++
	return true
}

func (b *budget) slice(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.config.Window)/(budgetBuckets/2))
}

func (b *budget) bucket(service string, now time.Time) *budgetBucket {
	ring := b.services[service]
	if ring == nil {
		ring = &[budgetBuckets]budgetBucket{}
		b.services[service] = ring
	}
	slice := b.slice(now)
	x := &ring[slice%budgetBuckets]
	if x.slice != slice {
		*x = budgetBucket{slice: slice}
	}
	return x
}

// sum counts over the window that ends now.
func (b *budget) sum(service string, now time.Time) (requests, repeats int) {
	ring := b.services[service]
	if ring == nil {
		return 0, 0
	}
	newest := b.slice(now)
	for _, x := range ring {
		if newest-x.slice < budgetBuckets/2 {
			requests += x.requests
			repeats += x.repeats
		}
	}
	return requests, repeats
}
