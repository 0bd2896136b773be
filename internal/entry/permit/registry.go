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

// Timing holds the intervals and timeouts of calls to shard owners. Tests use shorter
// ones.
type Timing struct {
	ReportInterval  time.Duration // interval of full reports
	CallTimeout     time.Duration // timeout of a call, in addition to its wait in the owner's queue
	QueueSlice      time.Duration // longest wait in one shard's queue before other shards are probed
	RecheckInterval time.Duration // longest wait for a change of the replicated state before owners are tried again
	NoTargetGrace   time.Duration // how long "no target" is retried, since a new owner may not have received announcements yet
}

// DefaultTiming is the timing in production.
var DefaultTiming = Timing{
	ReportInterval:  time.Second,
	CallTimeout:     time.Second,
	QueueSlice:      500 * time.Millisecond,
	RecheckInterval: 200 * time.Millisecond,
	NoTargetGrace:   time.Second,
}

// oldSessionTimeout is how long an owner may still list a permit under this instance's
// previous session. It exceeds the time for which a session lasts after its last
// renewal (2.2 s).
const oldSessionTimeout = 3 * time.Second

// confirmTimeout is the timeout of HeldPermit.Confirm. A broken stream is reopened only
// after Confirm has returned.
const confirmTimeout = 250 * time.Millisecond

// maxEmptyReports is how many empty reports are sent to a shard's owner after the
// shard's last use. They show the owner which granted permits never reached this
// instance.
const maxEmptyReports = 3

// Registry holds the permits of this instance, per shard, and reports them to the shards'
// owners.
type Registry struct {
	source        session.Source
	owners        *Owners
	timing        Timing
	failedReports tally.Counter

	mu     sync.Mutex
	shards map[session.ShardKey]*shardPermits
}

type shardPermits struct {
	held          map[string]*HeldPermit // held permits by permit id
	reportedEpoch uint64                 // epoch of the newest owner that has all held permits on record
	emptyReports  int                    // consecutive empty reports since the shard's last use
	freePermits   uint32                 // free permits in the owner's last response to a report
	queueLength   uint32                 // queue length in the owner's last response to a report
}

// NewRegistry returns an empty registry. Run sends its periodic reports.
func NewRegistry(source session.Source, owners *Owners, timing Timing, scope tally.Scope) *Registry {
	return &Registry{
		source: source, owners: owners, timing: timing,
		failedReports: scope.Counter("entry.reports_failed"),
		shards:        map[session.ShardKey]*shardPermits{},
	}
}

// HeldPermit is a permit that this instance holds, with the progress of its request.
type HeldPermit struct {
	Shard   session.ShardKey
	Permit  *api.Permit
	Request *api.RequestClass

	registry  *Registry
	grantedAt time.Time

	// Guarded by registry.mu: session is this instance's session under which the owner last listed
	// the permit; mismatchSince is when the owner began to list it under another session.
	session       uint64
	mismatchSince time.Time

	mu          sync.Mutex
	released    bool
	tokens      uint32
	firstToken  time.Duration
	lastToken   time.Time
	gapSum      time.Duration // gapSum, gapMax, gaps: times between tokens since the last report
	gapMax      time.Duration
	gaps        int
	preemptions uint32
	onMoved     func() // called when the owner reports that another instance holds the permit
}

// OnMoved sets the function that is called when the owner reports that the permit has
// moved to another instance. f may be called more than once.
func (h *HeldPermit) OnMoved(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onMoved = f
}

// Confirm checks whether this instance still holds the permit by sending the owner a
// report of the shard; if it has moved, the function set by OnMoved is called. If the
// owner does not respond within confirmTimeout, nothing changes.
func (h *HeldPermit) Confirm(ctx context.Context) {
	owner, ok := h.registry.owners.Lookup(h.registry.source.View(), h.Shard)
	if !ok {
		return
	}
	if request := h.registry.buildReport(h.Shard, owner.Epoch, false); request != nil {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		h.registry.sendReport(ctx, h.Shard, owner, request)
	}
}

// useShard returns the permits of a shard and marks the shard as used. The caller must
// hold r.mu.
func (r *Registry) useShard(key session.ShardKey) *shardPermits {
	s, ok := r.shards[key]
	if !ok {
		s = &shardPermits{held: map[string]*HeldPermit{}}
		r.shards[key] = s
	}
	s.emptyReports = 0
	return s
}

// markUsed records that a permit is requested from the shard.
func (r *Registry) markUsed(key session.ShardKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useShard(key)
}

// shardLoad returns the shard's free permits and queue length in the owner's last response
// to a report.
func (r *Registry) shardLoad(key session.ShardKey) (free, queue uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.shards[key]; ok {
		return s.freePermits, s.queueLength
	}
	return 0, 0
}

// Add records a granted permit. The owner that granted it, identified by the permit's
// epoch, already has it on record and needs no first report (see buildReport).
func (r *Registry) Add(key session.ShardKey, p *api.Permit, request *api.RequestClass, now time.Time) *HeldPermit {
	h := &HeldPermit{Shard: key, Permit: p, Request: request, registry: r, grantedAt: now, session: r.source.SessionID()}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.useShard(key)
	if len(s.held) == 0 {
		s.reportedEpoch = p.GetEpoch()
	}
	s.held[p.GetId()] = h
	return h
}

// Count returns the number of permits that this instance holds.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.shards {
		n += len(s.held)
	}
	return n
}

// RecordToken records that a token was received at now.
func (h *HeldPermit) RecordToken(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens++
	if h.lastToken.IsZero() {
		h.firstToken = now.Sub(h.grantedAt)
	} else {
		gap := now.Sub(h.lastToken)
		h.gapSum, h.gapMax, h.gaps = h.gapSum+gap, max(h.gapMax, gap), h.gaps+1
	}
	h.lastToken = now
}

// RecordPreemption records that the target preempted the generation.
func (h *HeldPermit) RecordPreemption() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.preemptions++
}

// progress returns the permit's progress for a report. If reset is set, it also clears the
// statistics of the times between tokens, so that they cover one report interval.
func (h *HeldPermit) progress(withRequest, reset bool) *api.Progress {
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

// Release releases the permit; calls after the first have no effect. confirmed is true
// if the owner responded that this instance still held the permit. If the owner
// cannot be reached, the next full report shows it that the permit was released.
func (h *HeldPermit) Release(ctx context.Context, reason api.ReleaseReason) (confirmed bool) {
	h.mu.Lock()
	first := !h.released
	h.released = true
	h.mu.Unlock()
	if !first {
		return false
	}
	final := h.progress(false, false)
	h.registry.remove(h)
	owner, ok := h.registry.owners.Lookup(h.registry.source.View(), h.Shard)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.registry.timing.CallTimeout)
	defer cancel()
	response, err := owner.Command.Release(ctx, &api.ReleaseRequest{
		Shard: h.Shard.Proto(), HolderSession: h.registry.source.SessionID(), Reason: reason, Final: final,
	})
	return err == nil && response.GetHeld()
}

// Forget removes a permit that has moved to another instance, without a call to the
// owner.
func (h *HeldPermit) Forget() {
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.registry.remove(h)
}

func (r *Registry) remove(h *HeldPermit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.shards[h.Shard]; ok && s.held[h.Permit.GetId()] == h {
		delete(s.held, h.Permit.GetId())
	}
}

// Run sends reports until ctx ends: to all owners at each Timing.ReportInterval, and at
// once to an owner that has just taken over a shard.
func (r *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(r.timing.ReportInterval)
	defer ticker.Stop()
	for {
		changed := r.source.Changed()
		r.reportAll(ctx, true)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reportAll(ctx, false)
		case <-changed:
		}
	}
}

// reportAll sends reports to the owners of all shards in use, or only to new owners.
func (r *Registry) reportAll(ctx context.Context, onlyNew bool) {
	view := r.source.View()
	var wait sync.WaitGroup
	for _, key := range r.shardKeys() {
		owner, ok := r.owners.Lookup(view, key)
		if !ok {
			continue
		}
		request := r.buildReport(key, owner.Epoch, onlyNew)
		if request == nil {
			continue
		}
		wait.Go(func() { r.sendReport(ctx, key, owner, request) })
	}
	wait.Wait()
}

func (r *Registry) shardKeys() []session.ShardKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	shardKeys := make([]session.ShardKey, 0, len(r.shards))
	for k := range r.shards {
		shardKeys = append(shardKeys, k)
	}
	return shardKeys
}

// buildReport returns the report of one shard to the owner with the given epoch, or nil
// if none is due. The first report to an owner also contains the requests of the permits,
// which a new owner does not know. buildReport removes a shard from the registry after
// maxEmptyReports empty reports.
func (r *Registry) buildReport(key session.ShardKey, epoch uint64, onlyNew bool) *api.ReportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.shards[key]
	if !ok {
		return nil
	}
	isNew := s.reportedEpoch != epoch && len(s.held) > 0
	if onlyNew && !isNew {
		return nil
	}
	if len(s.held) == 0 {
		if s.emptyReports++; s.emptyReports > maxEmptyReports {
			delete(r.shards, key)
			return nil
		}
	}
	request := &api.ReportRequest{Shard: key.Proto(), HolderSession: r.source.SessionID()}
	if isNew {
		request.FirstForEpoch = epoch
	}
	for _, h := range s.held {
		request.Permits = append(request.Permits, h.progress(isNew, true))
	}
	return request
}

func (r *Registry) sendReport(ctx context.Context, key session.ShardKey, owner Owner, request *api.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, r.timing.CallTimeout)
	defer cancel()
	response, err := owner.Command.Report(ctx, request)
	if err != nil || response.GetNotOwner() {
		r.failedReports.Inc(1)
		return
	}
	for _, h := range r.applyReport(key, request, response, time.Now()) {
		h.mu.Lock()
		onMoved := h.onMoved
		h.mu.Unlock()
		if onMoved != nil {
			onMoved()
		}
	}
}

// applyReport applies an owner's response to a report and returns the permits that
// have moved to another instance.
func (r *Registry) applyReport(key session.ShardKey, request *api.ReportRequest, response *api.ReportResponse, now time.Time) []*HeldPermit {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.shards[key]
	if !ok {
		return nil
	}
	s.freePermits, s.queueLength = response.GetFreePermits(), response.GetQueueLength()
	if request.GetFirstForEpoch() != 0 {
		s.reportedEpoch = request.GetFirstForEpoch()
	}
	return s.movedPermits(request, response.GetMovedPermits(), now)
}

// movedPermits returns the reported permits that another instance holds. ids are the
// permits that the owner lists under another session. If the owner listed a permit under
// the current session before, the permit has moved. Otherwise the owner may still list it
// under this instance's old session, until it has seen that session end. Such a permit
// counts as moved only if this lasts for longer than oldSessionTimeout.
func (s *shardPermits) movedPermits(request *api.ReportRequest, ids []string, now time.Time) []*HeldPermit {
	var out []*HeldPermit
	for _, p := range request.GetPermits() {
		h := s.held[p.GetPermitId()]
		switch {
		case h == nil:
		case !slices.Contains(ids, p.GetPermitId()):
			h.session, h.mismatchSince = request.GetHolderSession(), time.Time{}
		case h.session == request.GetHolderSession():
			out = append(out, h)
		case h.mismatchSince.IsZero():
			h.mismatchSince = now
		case now.Sub(h.mismatchSince) > oldSessionTimeout:
			out = append(out, h)
		}
	}
	return out
}
