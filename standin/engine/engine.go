package engine

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/standin/announce"
	"github.com/endivetrack/endivetrack/standin/expected"
)

// maxScheduleLag is how far the step schedule may fall behind the clock before it
// restarts at the current time, so that a paused process does not rush to catch up.
const maxScheduleLag = 100 * time.Millisecond

// maxHashesPerAnnouncement keeps an announcement far below its limit of 64 KiB.
const maxHashesPerAnnouncement = 1000

// generation is one accepted request and the state that its readers see.
type generation struct {
	seq       *sequence
	workIndex int // index of the generation in Record.Work; -1 if the record was full
	prompt    string
	// readable is the number of tokens visible to readers. Tokens of the step in
	// progress become visible when it ends.
	readable     int
	done         bool
	outcome      string
	endedAt      time.Time
	latestReader int           // number of the newest reader; older ones stop
	changed      chan struct{} // closed and replaced whenever the state that readers see changes
	stalledSince time.Time     // time of the preemption that stalls the generation; zero while tokens are emitted
}

// notifyReaders wakes all requests that stream the generation's tokens.
func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

type loadSample struct {
	sampledAt       time.Time
	running, tokens int
}

type cacheEvent struct {
	publishAt time.Time
	event     announce.CacheEvent
}

// Engine runs generations in real time and serves them over HTTP.
type Engine struct {
	config      Config
	incarnation string
	address     string
	started     time.Time
	journal     journal
	hooks       Hooks

	mu             sync.Mutex
	batch          *batch
	generations    map[string]*generation
	acceptedIDs    map[string]bool // ids of all generations ever accepted; using one again is refused
	record         Record
	models         []string
	role           string
	version        string
	highestFencing uint64
	leaving        bool
	announcer      *announce.Announcer
	eventLossRNG   *rand.Rand // random source that decides which cache events are lost
	wake           chan struct{}
	loadSamples    []loadSample
	pendingEvents  []cacheEvent
	eventSeq       uint64
	eventLoss      float64
	writeDelay     time.Duration
	breakRNG       *rand.Rand // random source of the streams that break the protocol
	breakShare     float64
	announceNow    chan struct{}
}

// Hooks connect an engine to the process that hosts it.
type Hooks struct {
	// Die ends the process at once, for the injected fault "die".
	Die func()
	// Journal receives one JSON line per event, if not nil.
	Journal io.Writer
}

// New returns an engine that announces address. Call Run to compute steps.
func New(c Config, address string, hooks Hooks) *Engine {
	now := time.Now()
	e := &Engine{
		config: c, address: address, hooks: hooks, journal: journal{hooks.Journal},
		incarnation: fmt.Sprintf("%s-%d-%08x", c.Target, now.UnixMicro(), rand.Uint32()),
		started:     now, batch: newBatch(c), generations: map[string]*generation{}, acceptedIDs: map[string]bool{},
		models: slices.Clone(c.Models), eventLossRNG: rand.New(rand.NewPCG(c.Seed, 0xcac4e)), eventLoss: c.CacheEventLoss,
		breakRNG: newBreakRNG(c.Seed),
		wake:     make(chan struct{}, 1), announceNow: make(chan struct{}, 1),
	}
	e.record = Record{
		Target: c.Target, Service: c.Service, FailureDomain: c.FailureDomain,
		Incarnation: e.incarnation, StartedAt: now.UnixMicro(),
	}
	if e.batch.cold {
		e.record.Cold = []Period{{From: now.UnixMicro()}}
	}
	return e
}

// Run computes steps in real time until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		e.mu.Lock()
		e.removeExpired(time.Now())
		idle := e.batch.idle()
		e.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			case <-time.After(e.config.Heartbeat):
			}
			next = time.Now()
			continue
		}
		e.mu.Lock()
		e.updateColdState(time.Now())
		out := e.batch.step()
		e.recordStep(out)
		e.mu.Unlock()
		if next = next.Add(out.duration); time.Since(next) > maxScheduleLag {
			next = time.Now()
		}
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.mu.Lock()
		e.publishTokens(out)
		e.mu.Unlock()
	}
}

// recordStep records a step when it starts; publishTokens records the tokens that it
// generated when it ends.
func (e *Engine) recordStep(out step) {
	r, b, now := &e.record, e.batch, time.Now()
	r.Steps++
	n := len(b.running) + len(out.finished)
	r.PeakRunning, r.PeakResident = max(r.PeakRunning, n), max(r.PeakResident, b.residentTokens)
	seconds := out.duration.Seconds()
	r.BusySeconds += seconds
	r.RunningSeconds += seconds * float64(n)
	r.WaitingSeconds += seconds * float64(len(b.waiting))
	if out.overload {
		r.OverloadSteps++
	}
	if b.cold {
		r.PeakColdRunning = max(r.PeakColdRunning, n)
	}
	e.queueCacheEvents(now, out)
	for _, s := range out.preempted {
		r.Preemptions++
		g := e.generations[s.id]
		if g.stalledSince.IsZero() {
			g.stalledSince = now
		}
		if w := e.workRecord(g); w != nil {
			w.Preemptions++
		}
		g.notifyReaders()
	}
}

// updateColdState ends a cold period that is over, or starts one that is due. It is
// called outside of steps too, because an idle engine computes none.
func (e *Engine) updateColdState(now time.Time) {
	wasCold := e.batch.cold
	if e.batch.updateColdState(now.Sub(e.started)); wasCold != e.batch.cold {
		e.recordColdChange(now)
	}
}

func (e *Engine) recordColdChange(now time.Time) {
	if e.batch.cold {
		e.record.Cold = append(e.record.Cold, Period{From: now.UnixMicro()})
	} else if n := len(e.record.Cold); n > 0 {
		e.record.Cold[n-1].Until = now.UnixMicro()
	}
	e.journal.writeEvent("cold", e.batch.cold)
}

// publishTokens makes the tokens of a finished step readable and finishes the
// generations that ended in it.
func (e *Engine) publishTokens(out step) {
	now := time.Now()
	e.record.Tokens += len(out.emitted)
	for _, s := range out.emitted {
		g := e.generations[s.id]
		if g == nil || g.done {
			continue
		}
		g.readable++
		if w := e.workRecord(g); w != nil {
			w.Emitted = g.readable
			if w.FirstTokenAt == 0 {
				w.FirstTokenAt = now.UnixMicro()
			}
			if !g.stalledSince.IsZero() && !s.preempted {
				w.StallMicros += now.Sub(g.stalledSince).Microseconds()
			}
		}
		if !s.preempted {
			g.stalledSince = time.Time{}
		}
		g.notifyReaders()
	}
	for _, s := range out.finished {
		e.finishGeneration(e.generations[s.id], s.plan.Finish, now)
	}
	for _, s := range out.failed {
		e.finishGeneration(e.generations[s.id], "failed", now)
	}
}

// workRecord returns the record of g; nil if g is nil or was not recorded.
func (e *Engine) workRecord(g *generation) *Work {
	if g == nil || g.workIndex < 0 {
		return nil
	}
	return &e.record.Work[g.workIndex]
}

// finishGeneration records the end of a generation. A failed or cancelled
// generation is deleted at once, any other after Retention.
func (e *Engine) finishGeneration(g *generation, outcome string, now time.Time) {
	if g == nil || g.done {
		return
	}
	g.done, g.outcome, g.endedAt = true, outcome, now
	if w := e.workRecord(g); w != nil {
		w.Outcome, w.EndedAt, w.Emitted = outcome, now.UnixMicro(), g.readable
	}
	switch outcome {
	case "failed":
		e.record.Failed++
		delete(e.generations, g.seq.id)
	case "cancelled":
		e.record.Cancelled++
		delete(e.generations, g.seq.id)
	}
	e.journal.writeEvent("ended", map[string]any{"id": g.seq.id, "outcome": outcome, "emitted": g.readable})
	g.notifyReaders()
}

func (e *Engine) removeExpired(now time.Time) {
	for id, g := range e.generations {
		if g.done && now.Sub(g.endedAt) > e.config.Retention {
			delete(e.generations, id)
		}
	}
}

// acceptResult says whether a generation was accepted, or why it was refused.
type acceptResult int

const (
	accepted acceptResult = iota
	refusedDuplicate
	refusedFull
	refusedLeaving
)

// acceptGeneration queues a generation unless its id was used before, the engine is
// full, or the engine is leaving and LeavingAccept has passed. arrivedAt is when the
// kernel received the request, in wall clock microseconds.
func (e *Engine) acceptGeneration(id, prompt string, priority, maxTokens int, arrivedAt int64) (*generation, acceptResult) {
	hashes := expected.PrefixHashes(prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.updateColdState(now)
	switch {
	case e.acceptedIDs[id]:
		e.record.DuplicatesRefused++
		return nil, refusedDuplicate
	case e.leaving && now.UnixMicro()-e.record.LeavingAt > e.config.LeavingAccept.Microseconds():
		return nil, refusedLeaving
	case e.batch.full():
		e.record.FullRefused++
		return nil, refusedFull
	}
	s := &sequence{
		id: id, priority: priority, promptTokens: expected.PromptTokens(prompt), prefixHashes: hashes,
		plan: expected.Output(prompt, maxTokens),
	}
	g := &generation{seq: s, prompt: prompt, workIndex: -1, latestReader: 1, changed: make(chan struct{})}
	w := Work{
		ID: id, AcceptedAt: now.UnixMicro(), ArrivedAt: arrivedAt, Length: s.plan.Length, PromptTokens: s.promptTokens, Priority: priority,
		CachedTokens: e.batch.cache.cachedPrefixes(hashes) * expected.BlockTokens,
		Cold:         e.batch.cold, Leaving: e.leaving, Running: len(e.batch.running) + len(e.batch.waiting),
	}
	if len(e.record.Work) < e.config.MaxRecordedWork {
		g.workIndex = len(e.record.Work)
		e.record.Work = append(e.record.Work, w)
	} else {
		e.record.WorkDropped++
	}
	e.acceptedIDs[id], e.generations[id] = true, g
	e.batch.add(s)
	e.journal.writeEvent("work", w)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g, accepted
}

// cancelGeneration ends a running generation; an unknown id is ignored.
func (e *Engine) cancelGeneration(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.generations[id]; g != nil && !g.done {
		e.batch.remove(g.seq)
		e.finishGeneration(g, "cancelled", time.Now())
	}
}

// applyOrder carries out an order and reports whether it did so. An engine that
// checks fencing refuses an order whose fencing number is lower than the highest one
// that it has carried out.
func (e *Engine) applyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.At = time.Now().UnixMicro()
	o.CarriedOut = !e.config.ChecksFencing || o.Fencing >= e.highestFencing
	if o.CarriedOut {
		e.highestFencing = max(e.highestFencing, o.Fencing)
		switch o.Kind {
		case "load_model", "load_adapter":
			if !slices.Contains(e.models, o.Value) {
				e.models = append(e.models, o.Value)
			}
		case "set_version":
			e.version = o.Value
		case "set_role":
			e.role = o.Value
		}
	}
	e.record.Orders = append(e.record.Orders, o)
	e.journal.writeEvent("order", o)
	return o.CarriedOut
}

// Snapshot returns a copy of the record of the work that the engine has executed so
// far.
func (e *Engine) Snapshot() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.TakenAt = time.Now().UnixMicro()
	r.Work, r.Orders, r.Cold = slices.Clone(r.Work), slices.Clone(r.Orders), slices.Clone(r.Cold)
	if e.announcer != nil {
		r.Announcements, r.AnnouncementsFailed = e.announcer.Counts()
		r.AnnouncementError = e.announcer.LastError()
	}
	return r
}

// Leave announces that the engine is leaving and waits until LeavingAccept has
// passed and no sequence is left, or until ctx ends.
func (e *Engine) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving, e.record.LeavingAt = true, time.Now().UnixMicro()
	e.mu.Unlock()
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
	grace := time.NewTimer(e.config.LeavingAccept)
	defer grace.Stop()
	select {
	case <-ctx.Done():
		return
	case <-grace.C:
	}
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for {
		e.mu.Lock()
		idle := e.batch.idle()
		e.mu.Unlock()
		if idle {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}
