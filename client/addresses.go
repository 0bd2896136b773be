package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	addressFetchTimeout = 2 * time.Second
	maxAddressListBytes = 1 << 20
	// avoidFor is how long a failed instance is used only as a last resort.
	avoidFor = 2 * time.Second
)

// addressCache caches the list of entry instances, in order of preference, and
// the time until which each failed one is avoided.
type addressCache struct {
	cfg  Config
	http *http.Client

	mu         sync.Mutex
	instances  []string
	expires    time.Time
	avoidUntil map[string]time.Time
	refreshed  chan struct{} // closed when the refresh in progress ends; nil if there is none
	cancelled  bool          // the last refresh ended because its caller left
}

func newAddressCache(cfg Config, c *http.Client) *addressCache {
	return &addressCache{cfg: cfg, http: c, avoidUntil: map[string]time.Time{}}
}

// pickInstance returns the most preferred instance that has not failed recently. If
// all have, it returns the one whose last failure is the oldest. An expired list is
// refreshed by one caller; others use the old list meanwhile, or wait if there is none. If
// the caller that refreshes leaves, one of those that wait takes over.
func (a *addressCache) pickInstance(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().After(a.expires) {
		a.updateInstances(ctx)
	}
	if len(a.instances) == 0 {
		return "", &Error{Code: CodeNoInstance, Name: "NO_INSTANCE", Message: "no entry instance answers", Execution: NotRun}
	}
	now := time.Now()
	for _, address := range a.instances {
		if now.After(a.avoidUntil[address]) {
			return address, nil
		}
	}
	a.expires = time.Time{} // refresh the list of instances at the next call
	return slices.MinFunc(a.instances, func(x, y string) int { return a.avoidUntil[x].Compare(a.avoidUntil[y]) }), nil
}

// updateInstances refreshes the list or, if there is none, waits until another caller has.
// The caller must hold a.mu, which is released meanwhile.
func (a *addressCache) updateInstances(ctx context.Context) {
	if a.refreshed == nil {
		a.refresh(ctx)
		return
	}
	for len(a.instances) == 0 && ctx.Err() == nil {
		if a.refreshed == nil {
			if a.cancelled {
				a.refresh(ctx)
			}
			return
		}
		a.awaitRefresh(ctx)
	}
}

// awaitRefresh waits for the refresh in progress. The caller must hold a.mu, which is
// released meanwhile.
func (a *addressCache) awaitRefresh(ctx context.Context) {
	refreshed := a.refreshed
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-refreshed:
	case <-ctx.Done():
	}
}

// markFailed makes the instance a last resort for the duration avoidFor.
func (a *addressCache) markFailed(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoidUntil[address] = time.Now().Add(avoidFor)
}

// refresh fetches the list of addresses from the first instance that returns it.
// It tries cached instances before configured ones, and recently failed ones
// last. If no instance returns a list, the old one stays in use. The caller must hold
// a.mu, which is released during the queries.
func (a *addressCache) refresh(ctx context.Context) {
	a.refreshed = make(chan struct{})
	defer func() {
		a.cancelled = ctx.Err() != nil
		close(a.refreshed)
		a.refreshed = nil
	}()
	for _, source := range a.sources() {
		a.mu.Unlock()
		list, ttl, err := a.fetchAddresses(ctx, source)
		a.mu.Lock()
		if err == nil && len(list) > 0 {
			a.instances, a.expires = list, time.Now().Add(ttl)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.avoidUntil[source] = time.Now().Add(avoidFor)
		}
	}
}

// sources returns the instances to ask for addresses, in order. The caller must hold
// a.mu.
func (a *addressCache) sources() []string {
	now := time.Now()
	for address, until := range a.avoidUntil {
		if now.After(until) {
			delete(a.avoidUntil, address)
		}
	}
	sources := slices.Clone(a.instances)
	for _, e := range a.cfg.Entries {
		if !slices.Contains(sources, e) {
			sources = append(sources, e)
		}
	}
	slices.SortStableFunc(sources, func(x, y string) int { return a.avoidUntil[x].Compare(a.avoidUntil[y]) })
	return sources
}

func (a *addressCache) fetchAddresses(ctx context.Context, source string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressFetchTimeout)
	defer cancel()
	query := url.Values{"region": {a.cfg.Region}, "failure_domain": {a.cfg.FailureDomain}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+"/v1/addresses?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := a.http.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		TTLMS     int64 `json:"ttl_ms"`
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAddressListBytes)).Decode(&answer); err != nil {
		return nil, 0, err
	}
	list := make([]string, 0, len(answer.Addresses))
	for _, i := range answer.Addresses {
		list = append(list, i.Address)
	}
	return list, time.Duration(answer.TTLMS) * time.Millisecond, nil
}
