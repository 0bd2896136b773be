package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Pace of moving a run off a target that leaves.
const (
	// leastPreCopies and maxPreCopies bound the copies made while the run goes
	// on. Each copies what the one before left over, so that the last one,
	// during which the stream pauses, is short; they are repeated while one
	// takes longer than shortCopy, since others use the same link.
	leastPreCopies = 2
	maxPreCopies   = 6
	shortCopy      = 60 * time.Millisecond
	// moveTimeout bounds one copy.
	moveTimeout = 4 * time.Second
	// movePause follows an attempt that found no run or no room yet.
	movePause = 60 * time.Millisecond
	// maxMoveTries bounds the targets that are asked for room.
	maxMoveTries = 40
	// handoffWait bounds the wait for the last copy after the stream has ended.
	handoffWait = 1500 * time.Millisecond
)

// Copy is the result of copying a run's memory.
type Copy struct {
	// Handle names the copy, once.
	Handle string
	// Events is how many events the run had made.
	Events int
}

// Reasons for which a copy is not made.
var (
	// ErrNoRun means that the engine does not run the request.
	ErrNoRun = errors.New("the engine does not run the request")
	// ErrCopying means that a copy is already in progress.
	ErrCopying = errors.New("a copy is in progress")
	// ErrNoRoom means that the other engine has no room or cannot be reached.
	ErrNoRoom = errors.New("no room at the other engine")
)

// mover moves one leg of a stream once its target leaves.
type mover struct {
	f      *Forwarder
	run    *run
	source *lease
	cancel context.CancelFunc
	// stopping is closed before the run is told to stop at the source.
	stopping     chan struct{}
	stoppingOnce sync.Once
	// done is closed when next and handle are final.
	done   chan struct{}
	next   *handoff
	handle string // of a copy that may still occupy the other target
	// preCopies counts the copies of the present try that were complete while
	// the run went on; firstCopy is how long the first one took.
	preCopies int
	firstCopy time.Duration
}

// startMover watches the leg's target.
func (f *Forwarder) startMover(ctx context.Context, r *run, l *lease) *mover {
	ctx, cancel := context.WithCancel(ctx)
	m := &mover{f: f, run: r, source: l, cancel: cancel, done: make(chan struct{}), stopping: make(chan struct{})}
	if !m.worthMoving() {
		close(m.done)
		return m
	}
	go m.watch(ctx)
	return m
}

// worthMoving: a run that may start anew elsewhere is left to do so, since a
// short one ends before its target does.
func (m *mover) worthMoving() bool {
	q := m.run.q
	return q.service.Engine != nil && q.service.Engine.Moves && q.route.Kind == manifest.Streaming && !q.route.Resumable
}

func (m *mover) watch(ctx context.Context) {
	defer close(m.done)
	select {
	case <-ctx.Done():
		return
	case <-m.source.endpoint.left:
	}
	m.next = m.move(ctx)
}

// abandon ends the mover of a leg whose stream is over, and gives a place and a
// copy at another target back.
func (m *mover) abandon() {
	m.cancel()
	go func() {
		<-m.done
		if m.next != nil {
			m.next.lease.release()
		}
		if m.handle == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		defer cancel()
		if err := m.f.config.Engines.Release(ctx, m.source.endpoint.address, m.handle); err != nil {
			m.f.config.Metrics.Counter("forward.copy_not_released").Inc(1)
		}
	}()
}

// told reports whether the run was told to stop at the source.
func (m *mover) told() bool {
	select {
	case <-m.stopping:
		return true
	default:
		return false
	}
}

// finish returns where the stream goes on after it ended at the source; nil if
// the run was not moved.
func (m *mover) finish(ctx context.Context) *handoff {
	if !m.told() {
		m.abandon()
		return nil
	}
	timeout := time.NewTimer(handoffWait)
	defer timeout.Stop()
	select {
	case <-m.done:
		m.cancel()
		return m.next
	case <-timeout.C:
	case <-ctx.Done():
	}
	m.abandon()
	return nil
}

// move copies the run to another target, first while it goes on. Copies share
// the source's link in the order in which they are asked for: runs are moved
// one after the other, so that a run's last copy, during which its stream
// pauses, does not wait behind the first copies of others.
func (m *mover) move(ctx context.Context) *handoff {
	source := m.source.endpoint
	if !sleep.For(ctx, m.f.table.turn(source, m.run.q)) {
		return nil
	}
	exclude := []*endpoint{source}
	for range maxMoveTries {
		select {
		case <-ctx.Done():
			return nil
		case source.moving <- struct{}{}:
		}
		next, tried, err := m.try(ctx, exclude)
		<-source.moving
		if next != nil || ctx.Err() != nil {
			return next
		}
		switch {
		case tried == nil:
			exclude = exclude[:1]
		case errors.Is(err, ErrNoRoom):
			exclude = append(exclude, tried)
			continue
		}
		if !sleep.For(ctx, movePause) {
			return nil
		}
	}
	return nil
}

// try moves the run to the best target that is not excluded.
func (m *mover) try(ctx context.Context, exclude []*endpoint) (*handoff, *endpoint, error) {
	q, source := m.run.q, m.source.endpoint
	l := m.f.table.acquire(&demand{
		q: q, from: Place{Region: source.region, FailureDomain: source.zone}, far: nearSource, exclude: exclude, copied: true,
	}, time.Now())
	if l == nil {
		return nil, nil, nil
	}
	started := time.Now()
	m.preCopies, m.firstCopy = 0, 0
	next, err := m.moveTo(ctx, l)
	if next != nil {
		return next, l.endpoint, nil
	}
	l.release()
	m.f.config.Metrics.Counter("forward.move_failed").Inc(1)
	m.f.config.Logger.Info().Str("request", q.id).Str("from", source.id).Str("to", l.endpoint.id).
		Int("pre_copies", m.preCopies).Dur("first_copy", m.firstCopy).Dur("took", time.Since(started)).Err(err).Msg("run not moved")
	if m.handle != "" && ctx.Err() == nil {
		// A run has one copy at most: another target is refused until it is
		// given back.
		if err := m.f.config.Engines.Release(ctx, source.address, m.handle); err != nil {
			m.f.config.Metrics.Counter("forward.copy_not_released").Inc(1)
		}
		m.handle = ""
	}
	return nil, l.endpoint, err
}

// turn is how long this instance waits before it moves runs off a source, so
// that the instances do so one after the other: in the order of their names,
// each after the time that the copies of those before it take.
func (t *table) turn(e *endpoint, q *request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens := 0
	for name, l := range e.others {
		if name < t.self.Name {
			tokens += l.Tokens
		}
	}
	return q.service.Engine.CopyTime(tokens)
}

// moveTo copies the run to one target; the run stops with the last copy.
func (m *mover) moveTo(ctx context.Context, l *lease) (*handoff, error) {
	q, source := m.run.q, m.source.endpoint
	started := time.Now()
	m.f.table.countIncoming(l.endpoint, 1)
	defer m.f.table.countIncoming(l.endpoint, -1)
	for n := 1; n <= maxPreCopies; n++ {
		began := time.Now()
		c, err := m.copy(ctx, l, false)
		if err != nil {
			return nil, err
		}
		m.handle = c.Handle
		m.preCopies++
		if n == 1 {
			m.firstCopy = time.Since(began)
		}
		if n >= leastPreCopies && time.Since(began) < shortCopy {
			break
		}
	}
	m.stoppingOnce.Do(func() { close(m.stopping) })
	c, err := m.copy(ctx, l, true)
	if c.Handle == "" {
		return nil, err
	}
	m.handle = c.Handle
	m.f.config.Metrics.Counter("forward.moved").Inc(1)
	m.f.observed.Record(moveLatency, time.Since(started))
	m.f.config.Logger.Info().Str("request", q.id).Str("from", source.id).Str("to", l.endpoint.id).Int("events", c.Events).
		Int("pre_copies", m.preCopies).Dur("first_copy", m.firstCopy).Dur("took", time.Since(started)).AnErr("last_copy", err).Msg("run moved")
	if err != nil {
		// The run has stopped and its memory is still at the source only.
		l.release()
		l = m.f.table.place(source, q)
	}
	return &handoff{lease: l, from: &resume{copyFrom: source.address + "/" + c.Handle}}, nil
}

func (m *mover) copy(ctx context.Context, l *lease, last bool) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	return m.f.config.Engines.Move(ctx, m.source.endpoint.address, m.run.q.id, l.endpoint.address, last)
}
