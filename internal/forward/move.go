package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Limits for moving a run off a draining target.
const (
	// minPreCopies and maxPreCopies bound the copies made while the run executes.
	// Each transfers what changed since the previous one, so that the final copy,
	// during which the stream pauses, is short. They are repeated only until one
	// takes less than shortCopy, since copies of other runs use the same link.
	minPreCopies = 2
	maxPreCopies = 6
	shortCopy    = 60 * time.Millisecond
	// copyTimeout bounds one copy and the call that releases it.
	copyTimeout = 4 * time.Second
	// moveRetryPause is the pause after an attempt that found no run or no suitable target.
	moveRetryPause = 60 * time.Millisecond
	// maxMoveAttempts bounds the attempts to move one run.
	maxMoveAttempts = 40
	// handoffWait bounds the wait for the final copy after the source's stream ended.
	handoffWait = 1500 * time.Millisecond
	// sourceEndWait is how long the source of a moved run may take to end its response.
	// Events that are then still on their way are sent again by the next target.
	sourceEndWait = 200 * time.Millisecond
)

// Copy describes a copy of a run's memory at another engine.
type Copy struct {
	// Handle identifies the copy. It can be used once.
	Handle string
	// Events is the number of events that the run had produced when it was copied.
	Events int
}

// Errors of Engines.Move.
var (
	// ErrNoRun means that the engine does not run the request.
	ErrNoRun = errors.New("the engine does not run the request")
	// ErrCopying means that a copy is already in progress.
	ErrCopying = errors.New("a copy is in progress")
	// ErrNoRoom means that the engine to copy to lacks memory or cannot be reached.
	ErrNoRoom = errors.New("no room at the other engine")
)

// errRunEnded means that the run had ended when it was asked to stop.
var errRunEnded = errors.New("the run had ended before its stop")

// errUncounted means that the run's newest events have no numbers, so that it could not be
// continued elsewhere.
var errUncounted = errors.New("the run's events are not numbered")

// mover moves a run to another target when the target of its current leg (the
// part of the stream that one target serves) starts to drain.
type mover struct {
	f             *Forwarder
	streamSession *streamSession
	source        *lease
	response      *targetResponse // the source's
	cancel        context.CancelFunc
	// stopping is closed before the source is asked to stop the run.
	stopping     chan struct{}
	stoppingOnce sync.Once
	// done is closed when destination, runEnded and copyHandle are final.
	done        chan struct{}
	destination *handoff
	runEnded    bool   // the run had ended by itself when it was asked to stop
	copyHandle  string // handle of a copy that may still occupy memory at the other target
	// preCopies counts the copies that the current attempt completed while the
	// run still executed; firstCopy is how long the first one took.
	preCopies int
	firstCopy time.Duration
}

// startMover returns a mover that watches the target of a leg in the background until the
// leg ends.
func (f *Forwarder) startMover(ctx context.Context, r *streamSession, l *lease, resp *targetResponse) *mover {
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{f: f, streamSession: r, source: l, response: resp, cancel: cancel, done: make(chan struct{}), stopping: make(chan struct{})}
	if !m.shouldMove() {
		close(m.done)
		return m
	}
	go m.moveWhenDraining(ctx)
	return m
}

// shouldMove reports whether the run is moved when its target drains. A
// resumable run is not moved: if it is short, it ends before its target does,
// and otherwise it can be restarted elsewhere.
func (m *mover) shouldMove() bool {
	q := m.streamSession.q
	return q.service.Engine != nil && q.service.Engine.Moves && q.route.Kind == manifest.Streaming && !q.route.Resumable
}

func (m *mover) moveWhenDraining(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-m.source.endpoint.drainStarted:
		m.destination = m.moveRun(ctx)
	}
	close(m.done)
	if m.destination != nil {
		m.endSource(ctx)
	}
}

// endSource makes reads of the source's response fail if the run was moved and the source
// does not end the response within sourceEndWait. ctx ends with the leg.
func (m *mover) endSource(ctx context.Context) {
	if sleep.For(ctx, sourceEndWait) {
		m.f.config.Metrics.Counter("forward.source_left_open").Inc(1)
		_ = m.response.conn.SetDeadline(expiredDeadline) // fails only on a closed connection
	}
}

// abandonMove stops the mover of a leg whose stream has ended, and releases the
// lease on another target and the copy of the run's memory there, if the mover
// holds them.
func (m *mover) abandonMove() {
	m.cancel()
	go func() {
		<-m.done
		if m.destination != nil {
			m.destination.lease.release()
		}
		if m.copyHandle != "" {
			m.f.releaseCopy(context.Background(), m.source.endpoint.address, m.copyHandle)
		}
	}()
}

// releaseCopy releases the copy of a run's memory.
func (f *Forwarder) releaseCopy(ctx context.Context, source, handle string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if err := f.config.Engines.Release(ctx, source, handle); err != nil {
		f.config.Metrics.Counter("forward.copy_not_released").Inc(1)
	}
}

// stopRequested reports whether the source was asked to stop the run.
func (m *mover) stopRequested() bool {
	select {
	case <-m.stopping:
		return true
	default:
		return false
	}
}

// awaitHandoff is called after the stream has ended at the source. It waits for
// a move in progress and returns where the stream continues, or nil if the run
// was not moved. It also reports whether the run ended by itself: the end of one that may
// have been stopped is not the end of its stream.
func (m *mover) awaitHandoff(ctx context.Context) (next *handoff, runEnded bool) {
	if !m.stopRequested() {
		m.abandonMove()
		return nil, true
	}
	timeout := time.NewTimer(handoffWait)
	defer timeout.Stop()
	select {
	case <-m.done:
		if m.destination == nil {
			m.abandonMove()
		}
		m.cancel()
		return m.destination, m.runEnded
	case <-timeout.C:
	case <-ctx.Done():
	}
	m.abandonMove()
	return nil, false
}

// moveRun copies the run to another target; the first copies are made while the
// run executes. The source's link carries copies in the order in which they are
// requested. Runs are therefore moved one at a time,
// so that a run's final copy, during which its stream pauses, does not wait for
// the first copies of other runs.
func (m *mover) moveRun(ctx context.Context) *handoff {
	source := m.source.endpoint
	if !sleep.For(ctx, m.f.table.moveDelay(source, m.streamSession.q)) {
		return nil
	}
	exclude := []*endpoint{source}
	for range maxMoveAttempts {
		select {
		case <-ctx.Done():
			return nil
		case source.moveSlot <- struct{}{}:
		}
		next, tried, err := m.tryMove(ctx, exclude)
		<-source.moveSlot
		if next != nil || ctx.Err() != nil {
			return next
		}
		if m.stopRequested() && (errors.Is(err, errRunEnded) || errors.Is(err, ErrNoRun)) {
			m.runEnded = errors.Is(err, errRunEnded)
			return nil
		}
		switch {
		case tried == nil:
			exclude = exclude[:1]
		case errors.Is(err, ErrNoRoom):
			exclude = append(exclude, tried)
			continue
		}
		if !sleep.For(ctx, moveRetryPause) {
			return nil
		}
	}
	return nil
}

// tryMove moves the run to the best target that is not excluded. It also returns
// that target; nil if there is none.
func (m *mover) tryMove(ctx context.Context, exclude []*endpoint) (*handoff, *endpoint, error) {
	q, source := m.streamSession.q, m.source.endpoint
	if _, found := m.f.config.Quarantine.Match(q.features); found {
		return nil, nil, nil // the destination would begin the run and crash
	}
	if !m.streamSession.caller.canContinue() {
		return nil, nil, errUncounted
	}
	l := m.f.table.acquireLease(&demand{
		q: q, origin: Location{Region: source.region, FailureDomain: source.failureDomain}, costs: moveCosts, exclude: exclude, version: &source.version, isMove: true,
	}, time.Now())
	if l == nil {
		return nil, nil, nil
	}
	started := time.Now()
	m.preCopies, m.firstCopy = 0, 0
	next, err := m.moveRunTo(ctx, l)
	if next != nil {
		return next, l.endpoint, nil
	}
	l.release()
	m.f.config.Metrics.Counter("forward.move_failed").Inc(1)
	m.f.config.Logger.Info().Str("request", q.id).Str("from", source.id).Str("to", l.endpoint.id).
		Int("pre_copies", m.preCopies).Dur("first_copy", m.firstCopy).Dur("took", time.Since(started)).Err(err).Msg("run not moved")
	if m.copyHandle != "" && ctx.Err() == nil {
		// The failed attempt's copy is released because a run has at most one:
		// the engine refuses a copy to another target until then.
		m.f.releaseCopy(ctx, source.address, m.copyHandle)
		m.copyHandle = ""
	}
	return nil, l.endpoint, err
}

// moveDelay returns how long this instance waits before it moves runs off a
// source. The instances move their runs one after another, in the order of their
// names: each waits for the time that the copies of the earlier instances take.
func (t *table) moveDelay(e *endpoint, q *request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := 0
	for name, l := range e.otherLoads {
		if name < t.self.Name {
			tokens += l.Tokens
		}
	}
	return q.service.Engine.CopyTime(tokens)
}

// moveRunTo copies the run to one target. The final copy stops the run at the
// source.
func (m *mover) moveRunTo(ctx context.Context, l *lease) (*handoff, error) {
	q, source := m.streamSession.q, m.source.endpoint
	started := time.Now()
	m.f.table.addIncomingCopies(l.endpoint, 1)
	defer m.f.table.addIncomingCopies(l.endpoint, -1)
	for n := 1; n <= maxPreCopies; n++ {
		began := time.Now()
		c, err := m.copyRun(ctx, l, false, func() {})
		if err != nil {
			return nil, err
		}
		m.copyHandle = c.Handle
		m.preCopies++
		if n == 1 {
			m.firstCopy = time.Since(began)
		}
		if n >= minPreCopies && time.Since(began) < shortCopy {
			break
		}
	}
	if !m.streamSession.caller.canContinue() {
		return nil, errUncounted
	}
	stoppedBefore := m.stopRequested()
	c, err := m.copyRun(ctx, l, true, func() { m.stoppingOnce.Do(func() { close(m.stopping) }) })
	if errors.Is(err, ErrNoRun) && !stoppedBefore {
		return nil, errRunEnded
	}
	if c.Handle == "" {
		return nil, err
	}
	m.copyHandle = c.Handle
	m.f.config.Metrics.Counter("forward.moved").Inc(1)
	m.f.latencies.Record(moveLatency, time.Since(started))
	m.f.config.Logger.Info().Str("request", q.id).Str("from", source.id).Str("to", l.endpoint.id).Int("events", c.Events).
		Int("pre_copies", m.preCopies).Dur("first_copy", m.firstCopy).Dur("took", time.Since(started)).AnErr("last_copy", err).Msg("run moved")
	if err != nil {
		// The run has stopped and its memory exists only at the source, so the
		// stream continues there.
		l.release()
		l = m.f.table.reserveCapacity(source, q)
	}
	return &handoff{lease: l, resume: &resumePoint{source: source.address, handle: c.Handle}, copied: c.Events}, nil
}

func (m *mover) copyRun(ctx context.Context, l *lease, last bool, beforeSend func()) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return m.f.config.Engines.Move(ctx, m.source.endpoint.address, m.streamSession.q.id, l.endpoint.address, last, beforeSend)
}
