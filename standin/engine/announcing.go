package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/standin/announce"
)

// Announce announces the engine to the entry instances until ctx ends.
func (e *Engine) Announce(ctx context.Context, entries []string, key string) {
	a := announce.New(entries, key, e.announcement)
	e.mu.Lock()
	e.announcer = a
	e.mu.Unlock()
	a.Run(ctx, e.announceNow)
}

func (e *Engine) announcement() announce.Message {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.config
	e.refreshCold(now)
	load := e.laggedLoad(now)
	return announce.Message{
		Team: c.Team, Service: c.Service, Target: c.Target, Incarnation: e.incarnation, Address: e.address,
		Region: c.Region, FailureDomain: c.FailureDomain, Models: slices.Clone(e.models),
		Cold: e.announcesCold(), Leaving: e.leaving, ChecksFencing: c.ChecksFencing,
		MaxRunning: c.MaxRunning, MemoryTokens: c.MemoryTokens,
		ReportedRunning: load.running, ReportedTokens: load.tokens,
		PreemptionsTotal: e.record.Preemptions, CacheEvents: e.dueCacheEvents(now),
	}
}

// announcesCold is true only for the cold start: an engine that turns cold
// later does so without warning.
func (e *Engine) announcesCold() bool {
	return e.batch.cold && !e.config.WarmStart && len(e.record.Cold) == 1
}

// laggedLoad notes the present load and returns the one that LoadReportLag ago
// was the newest.
func (e *Engine) laggedLoad(now time.Time) loadSample {
	e.loads = append(e.loads, loadSample{now, len(e.batch.running) + len(e.batch.waiting), e.batch.resident})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.config.LoadReportLag {
		e.loads = e.loads[1:]
	}
	if now.Sub(e.loads[0].at) < e.config.LoadReportLag {
		return loadSample{}
	}
	return e.loads[0]
}

// queueCacheEvents turns a step's cache changes into events that are published
// late; some are lost, which shows as a gap in the sequence numbers.
func (e *Engine) queueCacheEvents(now time.Time, out step) {
	for _, change := range []struct {
		evicted bool
		hashes  []uint64
	}{{false, out.added}, {true, out.evicted}} {
		if len(change.hashes) == 0 {
			continue
		}
		e.eventSeq++
		if e.rng.Float64() < e.eventLoss {
			continue
		}
		event := announce.CacheEvent{Sequence: e.eventSeq, Evicted: change.evicted}
		for _, h := range change.hashes {
			event.PrefixHashes = append(event.PrefixHashes, fmt.Sprintf("%016x", h))
		}
		e.events = append(e.events, cacheEvent{now.Add(e.config.CacheEventLag), event})
	}
}

func (e *Engine) dueCacheEvents(now time.Time) []announce.CacheEvent {
	var out []announce.CacheEvent
	hashes := 0
	for len(e.events) > 0 && !e.events[0].due.After(now) && hashes < maxHashesPerAnnouncement {
		event := e.events[0].event
		// A single event that is too large is cut, which counts as loss.
		event.PrefixHashes = event.PrefixHashes[:min(len(event.PrefixHashes), maxHashesPerAnnouncement)]
		hashes += len(event.PrefixHashes)
		out = append(out, event)
		e.events = e.events[1:]
	}
	return out
}
