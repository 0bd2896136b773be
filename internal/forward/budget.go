package forward

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// BudgetConfig limits the retries of all instances together. In any window of
// length Window there are at most Ratio times as many retries as requests, plus
// Slack.
type BudgetConfig struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Fractions of BudgetConfig.Ratio and BudgetConfig.Slack that all instances
// together use. The rest is left unused because the limit must also hold in windows
// that are not aligned with the time slices counted here.
const (
	ratioShare = 0.6
	slackShare = 0.4
	// budgetBuckets is the number of slices kept per service. One window spans half of them.
	budgetBuckets = 20
)

// budget counts requests and retries per service in a sliding window.
type budget struct {
	config BudgetConfig

	mu       sync.Mutex
	services map[string]*[budgetBuckets]budgetBucket
}

type budgetBucket struct {
	sliceNumber int64 // number of the time slice in which the requests and retries are counted
	requests    int
	retries     int
}

func newBudget(c BudgetConfig) *budget {
	return &budget{config: c, services: map[string]*[budgetBuckets]budgetBucket{}}
}

// recordRequest counts the first attempt of a request.
func (b *budget) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).requests++
}

// allowRetry reports whether the budget permits another retry, and counts it if
// so. instances is the number of instances that share the budget.
func (b *budget) allowRetry(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries := b.windowCounts(service, now)
	allowed := ratioShare*b.config.Ratio*float64(requests) + slackShare*b.config.Slack/float64(max(1, instances))
	if float64(retries+1) > allowed {
		return false
	}
	b.bucket(service, now).retries++
	return true
}

func (b *budget) sliceNumber(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.config.Window)/(budgetBuckets/2))
}

func (b *budget) bucket(service string, now time.Time) *budgetBucket {
	ring := b.services[service]
	sliceNumber := b.sliceNumber(now)
	if ring == nil {
		b.dropUnused(sliceNumber)
		ring = &[budgetBuckets]budgetBucket{}
		b.services[service] = ring
	}
	x := &ring[sliceNumber%budgetBuckets]
	if x.sliceNumber != sliceNumber {
		*x = budgetBucket{sliceNumber: sliceNumber}
	}
	return x
}

// dropUnused forgets the services without a request in the window: manifests may name others
// again and again.
func (b *budget) dropUnused(newest int64) {
	maps.DeleteFunc(b.services, func(_ string, ring *[budgetBuckets]budgetBucket) bool {
		return !slices.ContainsFunc(ring[:], func(x budgetBucket) bool { return newest-x.sliceNumber < budgetBuckets/2 })
	})
}

// windowCounts returns the numbers of requests and retries of the service in the
// window that ends now.
func (b *budget) windowCounts(service string, now time.Time) (requests, retries int) {
	ring := b.services[service]
	if ring == nil {
		return 0, 0
	}
	newest := b.sliceNumber(now)
	for _, x := range ring {
		if newest-x.sliceNumber < budgetBuckets/2 {
			requests += x.requests
			retries += x.retries
		}
	}
	return requests, retries
}
