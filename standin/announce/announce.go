// Package announce sends a stand-in target's announcements to the entry instances
// (docs/targets.md, "Announcing").
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	interval         = 500 * time.Millisecond
	attemptTimeout   = 400 * time.Millisecond
	maxResponseBytes = 64 << 10
)

// Message is one announcement, in which a target reports its identity, address and
// load.
type Message struct {
	Team             string       `json:"team"`
	Service          string       `json:"service"`
	Target           string       `json:"target"`
	Incarnation      string       `json:"incarnation"`
	Address          string       `json:"address"`
	Region           string       `json:"region"`
	FailureDomain    string       `json:"failure_domain"`
	Models           []string     `json:"models"`
	Cold             bool         `json:"cold"`
	Leaving          bool         `json:"leaving"`
	ChecksFencing    bool         `json:"checks_fencing"`
	MaxRunning       int          `json:"max_running"`
	MemoryTokens     int          `json:"memory_tokens"`
	ReportedRunning  int          `json:"reported_running"`
	ReportedTokens   int          `json:"reported_tokens"`
	PreemptionsTotal int          `json:"preemptions_total"`
	CacheEvents      []CacheEvent `json:"cache_events"`
}

// CacheEvent reports prefix blocks that were added to or evicted from a target's
// prompt prefix cache.
type CacheEvent struct {
	Sequence     uint64   `json:"sequence"`
	Evicted      bool     `json:"evicted"`
	PrefixHashes []string `json:"prefix_hashes"`
}

// Announcer sends announcements to one entry instance at a time and switches to the
// next one after a failure.
type Announcer struct {
	seeds     []string
	addresses []string
	next      int
	key       string
	message   func() Message
	client    *http.Client

	accepted, failed atomic.Int64
	paused           atomic.Bool
	lastError        atomic.Pointer[string]
}

// New returns an announcer that initially sends to the entry instances at the seed
// addresses. key is sent as bearer token; message builds each announcement.
func New(seeds []string, key string, message func() Message) *Announcer {
	return &Announcer{
		seeds: seeds, addresses: seeds, key: key, message: message,
		client: &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{IdleConnTimeout: 5 * time.Second}},
	}
}

// Pause stops announcements if paused is true, to simulate a target that went
// silent, and restarts them otherwise.
func (a *Announcer) Pause(paused bool) { a.paused.Store(paused) }

// Counts returns how many announcements were accepted and how many failed.
func (a *Announcer) Counts() (accepted, failed int64) { return a.accepted.Load(), a.failed.Load() }

// LastError returns the text of the latest failure, or "" if there was none.
func (a *Announcer) LastError() string {
	if e := a.lastError.Load(); e != nil {
		return *e
	}
	return ""
}

// Run announces at a fixed interval until ctx ends. A value from trigger causes an
// announcement at once. Without seeds Run returns at once.
func (a *Announcer) Run(ctx context.Context, trigger <-chan struct{}) {
	if len(a.seeds) == 0 {
		return
	}
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if !a.paused.Load() {
			a.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-trigger:
		}
	}
}

// announce sends one announcement to the first entry instance that accepts it,
// trying each known address at most once.
func (a *Announcer) announce(ctx context.Context) {
	body, err := json.Marshal(a.message())
	if err != nil {
		panic(err) // encoding a Message cannot fail
	}
	for range len(a.addresses) {
		address := a.addresses[a.next%len(a.addresses)]
		received, err := a.send(ctx, address, body)
		if err == nil {
			a.accepted.Add(1)
			a.updateAddresses(address, received)
			return
		}
		if ctx.Err() != nil {
			return
		}
		a.failed.Add(1)
		text := address + ": " + err.Error()
		a.lastError.Store(&text)
		a.next++
	}
	// Every address failed: fall back to the seeds.
	a.addresses, a.next = a.seeds, a.next%len(a.seeds)
}

// updateAddresses sets the addresses of entry instances to try: first the current
// one, then those in the response of this instance, then the seeds.
func (a *Announcer) updateAddresses(current string, received []string) {
	addresses := []string{current}
	for _, s := range append(slices.Clone(received), a.seeds...) {
		if !slices.Contains(addresses, s) {
			addresses = append(addresses, s)
		}
	}
	a.addresses, a.next = addresses, 0
}

// send posts one announcement and returns the addresses of the entry instances in
// the response.
func (a *Announcer) send(ctx context.Context, address string, body []byte) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/targets/announce", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	var response struct {
		Addresses []string `json:"addresses"`
	}
	return response.Addresses, json.Unmarshal(data, &response)
}
