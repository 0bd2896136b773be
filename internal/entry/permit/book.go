package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
)

// Timing of calls to owners; tests shorten it.
type Timing struct {
	Report  time.Duration // between full reports
	Call    time.Duration // bound of a call, beyond its long poll
	Slice   time.Duration // longest wait in one shard's queue before looking elsewhere
	Recheck time.Duration // wait for a view change before an owner is tried again
	Settle  time.Duration // how long "no target" is taken as a new owner's ignorance
}

// DefaultTiming is used outside of tests.
var DefaultTiming = Timing{
	Report:  time.Second,
	Call:    time.Second,
	Slice:   500 * time.Millisecond,
	Recheck: 200 * time.Millisecond,
	Settle:  time.Second,
}

// doubtFor is longer than a session lasts after its last renewal (2.2 s).
const doubtFor = 3 * time.Second

// confirmTimeout bounds the question whether a permit is still held: a broken
// stream waits for it before it is opened again.
const confirmTimeout = 250 * time.Millisecond

// idleReports is how many empty reports a shard gets after its last use, so
// that its owner learns of permits whose grant was lost on the way.
const idleReports = 3

// Book keeps the permits that this instance holds.
type Book struct {
	source session.Source
	owners *Owners
	timing Timing
	failed tally.Counter

	mu     sync.Mutex
	shards map[session.ShardKey]*shardBook
}

type shardBook struct {
	held     map[string]*Held // by permit id
	epoch    uint64           // of the owner that has got a first report
	idle     int              // empty reports since the last use
	freeHint uint32           // the owner's hint of free permits
	queue    uint32           // the owner's queue length
}

// NewBook returns an empty book.
func NewBook(source session.Source, owners *Owners, timing Timing, scope tally.Scope) *Book {
	return &Book{
		source: source, owners: owners, timing: timing,
		failed: scope.Counter("entry.reports_failed"),
		shards: map[session.ShardKey]*shardBook{},
	}
}

// Held is a permit that this instance holds.
type Held struct {
	Shard   session.ShardKey
	Permit  *api.Permit
	Request *api.RequestClass

	book    *Book
	started time.Time

	// session is the one under which the owner knows the permit, and doubted
	// when the owner first showed it under another one; guarded by the book.
	session uint64
	doubted time.Time

	mu          sync.Mutex
	released    bool
	tokens      uint32
	firstToken  time.Duration
	lastToken   time.Time
	gapSum      time.Duration // since the last report, as gapMax and gaps
	gapMax      time.Duration
	gaps        int
	preemptions uint32
	onMoved     func() // called once the owner says that another instance holds the permit
}

// OnMoved sets what happens when the owner says that the permit has moved to
// another instance.
func (h *Held) OnMoved(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onMoved = f
}

// Confirm asks the owner whether this instance still holds the permit, by a
// report of the shard; see OnMoved. An owner that does not answer soon changes
// nothing.
func (h *Held) Confirm(ctx context.Context) {
	owner, ok := h.book.owners.Of(h.book.source.View(), h.Shard)
	if !ok {
		return
	}
	if request := h.book.report(h.Shard, owner.Epoch, false); request != nil {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		h.book.send(ctx, h.Shard, owner, request)
	}
}

func (b *Book) shard(key session.ShardKey) *shardBook {
	s, ok := b.shards[key]
	if !ok {
		s = &shardBook{held: map[string]*Held{}}
		b.shards[key] = s
	}
	s.idle = 0
	return s
}

// use notes that a permit is asked for at the shard.
func (b *Book) use(key session.ShardKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shard(key)
}

// hint returns what the owner last said of its load.
func (b *Book) hint(key session.ShardKey) (free, queue uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.shards[key]; ok {
		return s.freeHint, s.queue
	}
	return 0, 0
}

// Add notes a granted permit. epoch is that of the owner which granted it and
// so needs no first report of it.
func (b *Book) Add(key session.ShardKey, p *api.Permit, request *api.RequestClass, now time.Time) *Held {
	h := &Held{Shard: key, Permit: p, Request: request, book: b, started: now, session: b.source.SessionID()}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shard(key)
	if len(s.held) == 0 {
		s.epoch = p.GetEpoch()
	}
	s.held[p.GetId()] = h
	return h
}

// Held returns the number of permits held.
func (b *Book) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.shards {
		n += len(s.held)
	}
	return n
}

// Token notes one token received at now.
func (h *Held) Token(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens++
	if h.lastToken.IsZero() {
		h.firstToken = now.Sub(h.started)
	} else {
		gap := now.Sub(h.lastToken)
		h.gapSum, h.gapMax, h.gaps = h.gapSum+gap, max(h.gapMax, gap), h.gaps+1
	}
	h.lastToken = now
}

// Preempted notes that the target preempted the generation.
func (h *Held) Preempted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.preemptions++
}

// progress returns the state for a report; reset starts a new interval of gaps.
func (h *Held) progress(withRequest, reset bool) *api.Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &api.Progress{
		PermitId: h.Permit.GetId(), Target: h.Permit.GetTarget(),
		OutputTokens: h.tokens, MaxGapUs: uint32(h.gapMax.Microseconds()), Preemptions: h.preemptions,
	}
	if h.tokens > 0 {
		p.FirstTokenMs = uint32(max(h.firstToken.Milliseconds(), 1))
	}
	if h.gaps > 0 {
		p.MeanGapUs = uint32(h.gapSum.Microseconds() / int64(h.gaps))
	}
	if withRequest {
		p.Request = h.Request
	}
	if reset {
		h.gapSum, h.gapMax, h.gaps = 0, 0, 0
	}
	return p
}

// Release ends the permit, once. confirmed tells whether the owner said that
// this instance still held it. When the owner cannot be reached, it learns of
// the release from the next full report.
func (h *Held) Release(ctx context.Context, reason api.ReleaseReason) (confirmed bool) {
	h.mu.Lock()
	first := !h.released
	h.released = true
	h.mu.Unlock()
	if !first {
		return false
	}
	final := h.progress(false, false)
	h.book.drop(h)
	owner, ok := h.book.owners.Of(h.book.source.View(), h.Shard)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.book.timing.Call)
	defer cancel()
	answer, err := owner.Command.Release(ctx, &api.ReleaseRequest{
		Shard: h.Shard.Proto(), HolderSession: h.book.source.SessionID(), Reason: reason, Final: final,
	})
	return err == nil && answer.GetHeld()
}

// Forget ends the permit without telling the owner: it has moved to another
// instance.
func (h *Held) Forget() {
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.book.drop(h)
}

func (b *Book) drop(h *Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.shards[h.Shard]; ok && s.held[h.Permit.GetId()] == h {
		delete(s.held, h.Permit.GetId())
	}
}

// Run reports until ctx ends: each interval to all owners, and at once to an
// owner that has just taken over.
func (b *Book) Run(ctx context.Context) {
	ticker := time.NewTicker(b.timing.Report)
	defer ticker.Stop()
	for {
		changed := b.source.Changed()
		b.reportAll(ctx, true)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.reportAll(ctx, false)
		case <-changed:
		}
	}
}

// reportAll reports to the owners of all shards in use, or only to new ones.
func (b *Book) reportAll(ctx context.Context, onlyNew bool) {
	view := b.source.View()
	var wait sync.WaitGroup
	for _, key := range b.keys() {
		owner, ok := b.owners.Of(view, key)
		if !ok {
			continue
		}
		request := b.report(key, owner.Epoch, onlyNew)
		if request == nil {
			continue
		}
		wait.Go(func() { b.send(ctx, key, owner, request) })
	}
	wait.Wait()
}

func (b *Book) keys() []session.ShardKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := make([]session.ShardKey, 0, len(b.shards))
	for k := range b.shards {
		keys = append(keys, k)
	}
	return keys
}

// report builds the report of one shard, or nil when none is due. A shard that
// was not used for a while is dropped from the book.
func (b *Book) report(key session.ShardKey, epoch uint64, onlyNew bool) *api.ReportRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.shards[key]
	if !ok {
		return nil
	}
	isNew := s.epoch != epoch && len(s.held) > 0
	if onlyNew && !isNew {
		return nil
	}
	if len(s.held) == 0 {
		if s.idle++; s.idle > idleReports {
			delete(b.shards, key)
			return nil
		}
	}
	request := &api.ReportRequest{Shard: key.Proto(), HolderSession: b.source.SessionID()}
	if isNew {
		request.FirstForEpoch = epoch
	}
	for _, h := range s.held {
		request.Permits = append(request.Permits, h.progress(isNew, true))
	}
	return request
}

func (b *Book) send(ctx context.Context, key session.ShardKey, owner Owner, request *api.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, b.timing.Call)
	defer cancel()
	answer, err := owner.Command.Report(ctx, request)
	if err != nil || answer.GetNotOwner() {
		b.failed.Inc(1)
		return
	}
	for _, h := range b.settle(key, request, answer, time.Now()) {
		h.mu.Lock()
		moved := h.onMoved
		h.mu.Unlock()
		if moved != nil {
			moved()
		}
	}
}

// settle notes an owner's answer and returns the permits that have moved.
func (b *Book) settle(key session.ShardKey, request *api.ReportRequest, answer *api.ReportResponse, now time.Time) []*Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.shards[key]
	if !ok {
		return nil
	}
	s.freeHint, s.queue = answer.GetFreePermits(), answer.GetQueueLength()
	if request.GetFirstForEpoch() != 0 {
		s.epoch = request.GetFirstForEpoch()
	}
	return s.moved(request, answer.GetMovedPermits(), now)
}

// moved returns the permits that another instance holds. After this instance
// got a new session, an owner still shows its permits under the old one until
// it has seen the old one end: for that long it is no move.
func (s *shardBook) moved(request *api.ReportRequest, ids []string, now time.Time) []*Held {
	var out []*Held
	for _, p := range request.GetPermits() {
		h := s.held[p.GetPermitId()]
		switch {
		case h == nil:
		case !slices.Contains(ids, p.GetPermitId()):
			h.session, h.doubted = request.GetHolderSession(), time.Time{}
		case h.session == request.GetHolderSession():
			out = append(out, h)
		case h.doubted.IsZero():
			h.doubted = now
		case now.Sub(h.doubted) > doubtFor:
			out = append(out, h)
		}
	}
	return out
}
