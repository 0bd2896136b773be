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
	addressTimeout  = 2 * time.Second
	maxAddressBytes = 1 << 20
	// avoidFor is how long an instance that failed is used last.
	avoidFor = 2 * time.Second
)

// addresses caches the entry instances to use, in order of preference.
type addresses struct {
	cfg  Config
	http *http.Client

	mu     sync.Mutex
	list   []string
	expire time.Time
	avoid  map[string]time.Time
}

func newAddresses(cfg Config, c *http.Client) *addresses {
	return &addresses{cfg: cfg, http: c, avoid: map[string]time.Time{}}
}

// pick returns the best instance that did not fail lately; if all did, the
// best one that failed longest ago.
func (a *addresses) pick(ctx context.Context) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if now.After(a.expire) {
		a.refresh(ctx, now)
	}
	if len(a.list) == 0 {
		return "", &Error{Code: CodeNoInstance, Name: "NO_INSTANCE", Message: "no entry instance answers", Execution: NotRun}
	}
	for _, address := range a.list {
		if now.After(a.avoid[address]) {
			return address, nil
		}
	}
	a.expire = time.Time{} // ask again next time
	return slices.MinFunc(a.list, func(x, y string) int { return a.avoid[x].Compare(a.avoid[y]) }), nil
}

// failed makes the instance the last choice for a while.
func (a *addresses) failed(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoid[address] = time.Now().Add(avoidFor)
}

// refresh asks for the addresses: first the known instances that work, then
// the configured ones. An old list stays in use when nobody answers.
func (a *addresses) refresh(ctx context.Context, now time.Time) {
	for known, until := range a.avoid {
		if now.After(until) {
			delete(a.avoid, known)
		}
	}
	sources := slices.Clone(a.list)
	for _, e := range a.cfg.Entries {
		if !slices.Contains(sources, e) {
			sources = append(sources, e)
		}
	}
	slices.SortStableFunc(sources, func(x, y string) int { return a.avoid[x].Compare(a.avoid[y]) })
	for _, source := range sources {
		list, ttl, err := a.ask(ctx, source)
		if err == nil && len(list) > 0 {
			a.list, a.expire = list, now.Add(ttl)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			a.avoid[source] = now.Add(avoidFor)
		}
	}
}

func (a *addresses) ask(ctx context.Context, source string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&answer); err != nil {
		return nil, 0, err
	}
	list := make([]string, 0, len(answer.Addresses))
	for _, i := range answer.Addresses {
		list = append(list, i.Address)
	}
	return list, time.Duration(answer.TTLMS) * time.Millisecond, nil
}
