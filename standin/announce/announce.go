// Package announce makes a stand-in target known to the entry instances
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
	interval       = 500 * time.Millisecond
	attemptTimeout = 400 * time.Millisecond
	maxAnswerBytes = 64 << 10
)

// Message is one announcement.
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

// CacheEvent tells of prefix blocks that entered or left a cache.
type CacheEvent struct {
	Sequence     uint64   `json:"sequence"`
	Evicted      bool     `json:"evicted"`
	PrefixHashes []string `json:"prefix_hashes"`
}

// Announcer sends announcements to one entry instance at a time and moves on to
// the next one after a failure.
type Announcer struct {
	seeds   []string
	known   []string
	next    int
	key     string
	message func() Message
	client  *http.Client

	accepted, failed atomic.Int64
	paused           atomic.Bool
	lastError        atomic.Pointer[string]
}

// New returns an announcer that starts with the seed addresses. message builds
// each announcement.
func New(seeds []string, key string, message func() Message) *Announcer {
	return &Announcer{
		seeds: seeds, known: seeds, key: key, message: message,
		client: &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{IdleConnTimeout: 5 * time.Second}},
	}
}

// Pause stops announcements, as a target that goes silent does.
func (a *Announcer) Pause(on bool) { a.paused.Store(on) }

// Counts returns how many announcements were accepted and how many failed.
func (a *Announcer) Counts() (accepted, failed int64) { return a.accepted.Load(), a.failed.Load() }

// LastError returns the newest failure, or "".
func (a *Announcer) LastError() string {
	if e := a.lastError.Load(); e != nil {
		return *e
	}
	return ""
}

// Run announces until ctx ends. now asks for an announcement at once.
func (a *Announcer) Run(ctx context.Context, now <-chan struct{}) {
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
		case <-now:
		}
	}
}

// announce tries each known address once.
func (a *Announcer) announce(ctx context.Context) {
	body, err := json.Marshal(a.message())
	if err != nil {
		panic(err) // a Message always encodes
	}
	for range len(a.known) {
		address := a.known[a.next%len(a.known)]
		answer, err := a.send(ctx, address, body)
		if err == nil {
			a.accepted.Add(1)
			a.learn(address, answer)
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
	// Every learned address failed: fall back to the configured ones.
	a.known, a.next = a.seeds, a.next%len(a.seeds)
}

// learn keeps the instances named in an answer, the current one first, and
// the seeds after them.
func (a *Announcer) learn(current string, answer []string) {
	known := []string{current}
	for _, s := range append(slices.Clone(answer), a.seeds...) {
		if !slices.Contains(known, s) {
			known = append(known, s)
		}
	}
	a.known, a.next = known, 0
}

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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	return answer.Addresses, json.Unmarshal(data, &answer)
}
