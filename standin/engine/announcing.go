package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/standin/announce"
)

// Announce sends the engine's announcements to the entry instances until ctx ends.
// key is sent as bearer token.
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
	e.updateColdState(now)
	load := e.reportedLoad(now)
	return announce.Message{
		Team: c.Team, Service: c.Service, Target: c.Target, Incarnation: e.incarnation, Address: e.address,
		Region: c.Region, FailureDomain: c.FailureDomain, Models: slices.Clone(e.models),
		Cold: e.announcesCold(), Leaving: e.leaving, ChecksFencing: c.ChecksFencing,
		MaxRunning: c.MaxRunning, MemoryTokens: c.MemoryTokens,
		ReportedRunning: load.running, ReportedTokens: load.tokens,
		PreemptionsTotal: e.record.Preemptions, CacheEvents: e.dueCacheEvents(now),
	}
}

// announcesCold reports whether the announcement says that the engine is cold.
// It does so only for the cold start: later cold periods are not announced.
func (e *Engine) announcesCold() bool {
	return e.batch.cold && !e.config.WarmStart && len(e.record.Cold) == 1
}

// reportedLoad records the engine's current load and returns the newest load sample
// that is at least LoadReportLag old, or a zero sample if there is none.
func (e *Engine) reportedLoad(now time.Time) loadSample {
	e.loadSamples = append(e.loadSamples, loadSample{now, len(e.batch.running) + len(e.batch.waiting), e.batch.residentTokens})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].sampledAt) >= e.config.LoadReportLag {
		e.loadSamples = e.loadSamples[1:]
	}
	if now.Sub(e.loadSamples[0].sampledAt) < e.config.LoadReportLag {
		return loadSample{}
	}
	return e.loadSamples[0]
}

// queueCacheEvents queues a step's cache changes as events that are announced after
// CacheEventLag. It drops a random share of the events; their sequence numbers are
// missing in the announcements.
func (e *Engine) queueCacheEvents(now time.Time, out step) {
	for _, change := range []struct {
		cacheEvicted bool
		hashes       []uint64
	}{{false, out.cacheAdded}, {true, out.cacheEvicted}} {
		if len(change.hashes) == 0 {
			continue
		}
		e.eventSeq++
		if e.eventLossRNG.Float64() < e.eventLoss {
			continue
		}
		event := announce.CacheEvent{Sequence: e.eventSeq, Evicted: change.cacheEvicted}
		for _, h := range change.hashes {
			event.PrefixHashes = append(event.PrefixHashes, fmt.Sprintf("%016x", h))
		}
		e.pendingEvents = append(e.pendingEvents, cacheEvent{now.Add(e.config.CacheEventLag), event})
	}
}

// dueCacheEvents removes and returns queued events that are due. It stops after the
// event with which they reach maxHashesPerAnnouncement hashes in total.
func (e *Engine) dueCacheEvents(now time.Time) []announce.CacheEvent {
	var out []announce.CacheEvent
	hashes := 0
	for len(e.pendingEvents) > 0 && !e.pendingEvents[0].publishAt.After(now) && hashes < maxHashesPerAnnouncement {
		event := e.pendingEvents[0].event
		// If one event alone exceeds the limit, its remaining hashes are lost.
		event.PrefixHashes = event.PrefixHashes[:min(len(event.PrefixHashes), maxHashesPerAnnouncement)]
		hashes += len(event.PrefixHashes)
		out = append(out, event)
		e.pendingEvents = e.pendingEvents[1:]
	}
	return out
}
