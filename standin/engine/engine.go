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

// maxLag bounds how far the engine's schedule may trail real time before it
// starts again from the present, so that a paused process does not race.
const maxLag = 100 * time.Millisecond

// maxHashesPerAnnouncement keeps an announcement far below its 64 KiB bound.
const maxHashesPerAnnouncement = 1000

// generation is one accepted request and its readers' view of it.
type generation struct {
	seq    *sequence
	work   int // index in the record; -1 when the record is full
	prompt string
	// readable is the count of tokens that readers see; those of the step in
	// progress come at its end.
	readable int
	done     bool
	outcome  string
	ended    time.Time
	reader   int           // newest reader; older ones stop
	changed  chan struct{} // closed at each change
	stalled  time.Time     // when it was preempted last
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

type loadSample struct {
	at              time.Time
	running, tokens int
}

type cacheEvent struct {
	due   time.Time
	event announce.CacheEvent
}

// Engine runs generations in real time and serves them over HTTP.
type Engine struct {
	config      Config
	incarnation string
	address     string
	started     time.Time
	journal     journal
	hooks       Hooks

	mu          sync.Mutex
	batch       *batch
	generations map[string]*generation
	seen        map[string]bool // every id accepted; a second POST is refused
	record      Record
	models      []string
	role        string
	version     string
	fencing     uint64
	leaving     bool
	announcer   *announce.Announcer
	rng         *rand.Rand // for cache event loss
	wake        chan struct{}
	loads       []loadSample
	events      []cacheEvent
	eventSeq    uint64
	eventLoss   float64
	delay       time.Duration
	announceNow chan struct{}
}

// Hooks connect an engine to the process that hosts it.
type Hooks struct {
	// Die ends the process at once.
	Die func()
	// Journal receives a line for each fact, if not nil.
	Journal io.Writer
}

// New returns an engine that announces address.
func New(c Config, address string, hooks Hooks) *Engine {
	now := time.Now()
	e := &Engine{
		config: c, address: address, hooks: hooks, journal: journal{hooks.Journal},
		incarnation: fmt.Sprintf("%s-%d-%08x", c.Target, now.UnixMicro(), rand.Uint32()),
		started:     now, batch: newBatch(c), generations: map[string]*generation{}, seen: map[string]bool{},
		models: slices.Clone(c.Models), rng: rand.New(rand.NewPCG(c.Seed, 0xcac4e)), eventLoss: c.CacheEventLoss,
		wake: make(chan struct{}, 1), announceNow: make(chan struct{}, 1),
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

// Run computes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		e.mu.Lock()
		e.reap(time.Now())
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
		e.refreshCold(time.Now())
		out := e.batch.step()
		e.noteStep(out)
		e.mu.Unlock()
		if next = next.Add(out.duration); time.Since(next) > maxLag {
			next = time.Now()
		}
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.mu.Lock()
		e.publish(out)
		e.mu.Unlock()
	}
}

// noteStep records what a step starts with; its tokens come at its end.
func (e *Engine) noteStep(out step) {
	r, b, now := &e.record, e.batch, time.Now()
	r.Steps++
	n := len(b.running) + len(out.finished)
	r.PeakRunning, r.PeakResident = max(r.PeakRunning, n), max(r.PeakResident, b.resident)
	seconds := out.duration.Seconds()
	r.BusySeconds += seconds
	r.RunningSeconds += seconds * float64(n)
	r.WaitingSeconds += seconds * float64(len(b.waiting))
	if out.overload {
		r.OverloadSteps++
	}
	if b.cold {
		r.PeakColdActive = max(r.PeakColdActive, n)
	}
	e.queueCacheEvents(now, out)
	for _, s := range out.preempted {
		r.Preemptions++
		g := e.generations[s.id]
		if g.stalled.IsZero() {
			g.stalled = now
		}
		if w := e.workOf(g); w != nil {
			w.Preemptions++
		}
		g.notify()
	}
}

// refreshCold lets the engine warm up, or turn cold, also while it is idle.
func (e *Engine) refreshCold(now time.Time) {
	wasCold := e.batch.cold
	if e.batch.updateCold(now.Sub(e.started)); wasCold != e.batch.cold {
		e.noteCold(now)
	}
}

func (e *Engine) noteCold(now time.Time) {
	if e.batch.cold {
		e.record.Cold = append(e.record.Cold, Period{From: now.UnixMicro()})
	} else if n := len(e.record.Cold); n > 0 {
		e.record.Cold[n-1].Until = now.UnixMicro()
	}
	e.journal.write("cold", e.batch.cold)
}

// publish makes the tokens of a finished step readable.
func (e *Engine) publish(out step) {
	now := time.Now()
	e.record.Tokens += len(out.emitted)
	for _, s := range out.emitted {
		g := e.generations[s.id]
		if g == nil || g.done {
			continue
		}
		g.readable++
		if w := e.workOf(g); w != nil {
			w.Emitted = g.readable
			if w.FirstTokenAt == 0 {
				w.FirstTokenAt = now.UnixMicro()
			}
			if !g.stalled.IsZero() && !s.preempted {
				w.StallMicros += now.Sub(g.stalled).Microseconds()
			}
		}
		if !s.preempted {
			g.stalled = time.Time{}
		}
		g.notify()
	}
	for _, s := range out.finished {
		e.end(e.generations[s.id], s.plan.Finish, now)
	}
	for _, s := range out.failed {
		e.end(e.generations[s.id], "failed", now)
	}
}

func (e *Engine) workOf(g *generation) *Work {
	if g == nil || g.work < 0 {
		return nil
	}
	return &e.record.Work[g.work]
}

// end closes a generation. A failed or cancelled one is forgotten at once.
func (e *Engine) end(g *generation, outcome string, now time.Time) {
	if g == nil || g.done {
		return
	}
	g.done, g.outcome, g.ended = true, outcome, now
	if w := e.workOf(g); w != nil {
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
	e.journal.write("ended", map[string]any{"id": g.seq.id, "outcome": outcome, "emitted": g.readable})
	g.notify()
}

func (e *Engine) reap(now time.Time) {
	for id, g := range e.generations {
		if g.done && now.Sub(g.ended) > e.config.Retention {
			delete(e.generations, id)
		}
	}
}

// refusal says why a generation was not accepted.
type refusal int

const (
	accepted refusal = iota
	refusedDuplicate
	refusedFull
	refusedLeaving
)

// accept starts a generation unless the engine is full or knows the id.
func (e *Engine) accept(id, prompt string, priority, maxTokens int, arrivedAt int64) (*generation, refusal) {
	hashes := expected.PrefixHashes(prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.refreshCold(now)
	switch {
	case e.seen[id]:
		e.record.Duplicates++
		return nil, refusedDuplicate
	case e.leaving && now.UnixMicro()-e.record.LeavingAt > e.config.LeavingAccept.Microseconds():
		return nil, refusedLeaving
	case e.batch.full():
		e.record.Full++
		return nil, refusedFull
	}
	s := &sequence{
		id: id, priority: priority, prompt: expected.PromptTokens(prompt), hashes: hashes,
		plan: expected.Output(prompt, maxTokens),
	}
	g := &generation{seq: s, prompt: prompt, work: -1, reader: 1, changed: make(chan struct{})}
	w := Work{
		ID: id, AcceptedAt: now.UnixMicro(), ArrivedAt: arrivedAt, Length: s.plan.Length, PromptTokens: s.prompt, Priority: priority,
		CachedTokens: e.batch.cache.matched(hashes) * expected.BlockTokens,
		Cold:         e.batch.cold, Leaving: e.leaving, Running: len(e.batch.running) + len(e.batch.waiting),
	}
	if len(e.record.Work) < e.config.MaxRecordedWork {
		g.work = len(e.record.Work)
		e.record.Work = append(e.record.Work, w)
	} else {
		e.record.WorkDropped++
	}
	e.seen[id], e.generations[id] = true, g
	e.batch.add(s)
	e.journal.write("work", w)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g, accepted
}

// cancel ends a generation; an unknown one is ignored.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.generations[id]; g != nil && !g.done {
		e.batch.remove(g.seq)
		e.end(g, "cancelled", time.Now())
	}
}

// order carries out an order, unless its fencing number is older than one seen
// and the engine checks that.
func (e *Engine) order(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.At = time.Now().UnixMicro()
	o.Carried = !e.config.ChecksFencing || o.Fencing >= e.fencing
	if o.Carried {
		e.fencing = max(e.fencing, o.Fencing)
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
	e.journal.write("order", o)
	return o.Carried
}

// Snapshot returns the record so far.
func (e *Engine) Snapshot() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.TakenAt = time.Now().UnixMicro()
	r.Work, r.Orders, r.Cold = slices.Clone(r.Work), slices.Clone(r.Orders), slices.Clone(r.Cold)
	if e.announcer != nil {
		r.Announced, r.AnnounceFailed = e.announcer.Counts()
		r.AnnounceError = e.announcer.LastError()
	}
	return r
}

// Leave announces that the engine leaves and waits until nothing runs and the
// time in which work is still accepted has passed, or ctx ends.
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
