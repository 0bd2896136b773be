// Package owner runs the shards that are assigned to this instance: it queues
// requests, grants permits and tracks the state of the targets. It implements
// the services api.AdmissionCommand and api.AdmissionQuery.
//
// Invariant: a permit is granted only while the freshness lease is valid and
// the newest view, this instance's copy of the replicated state, assigns the
// shard to this session at the shard's epoch.
package owner

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/session"
)

// tickInterval is the time between two runs of the periodic work, and so the
// precision of wait timeouts.
const tickInterval = 20 * time.Millisecond

// Clock is the source of time for an Owner. Tests replace it.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock implements Clock with package time.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives once d has passed.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Config holds the dependencies of an Owner. Source provides the assignments,
// the settings and the freshness lease. Control grants the slots that targets
// need to load models.
type Config struct {
	Source  session.Source
	Env     *process.Env
	Control api.ControlCommand
	Clock   Clock // SystemClock if nil
}

// Owner runs the shards that the control group assigns to this instance. Its
// methods are safe for concurrent use.
type Owner struct {
	cfg     Config
	metrics tally.Scope

	orderClient *http.Client

	mu     sync.Mutex
	shards map[session.ShardKey]*shard

	ctx        context.Context // context of all background work; cancelled by Stop
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

var (
	_ api.AdmissionCommand = (*Owner)(nil)
	_ api.AdmissionQuery   = (*Owner)(nil)
)

// New returns an Owner. Start begins its background work.
func New(cfg Config) *Owner {
	if cfg.Clock == nil {
		cfg.Clock = SystemClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		cfg:         cfg,
		metrics:     cfg.Env.Metrics.SubScope("owner"),
		orderClient: newOrderClient(),
		shards:      map[session.ShardKey]*shard{},
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Start starts the goroutine that applies changed assignments and runs the
// periodic work. Stop ends it.
func (o *Owner) Start() {
	o.goroutines.Go(o.run)
}

// Stop ends all background work, waits for it and drops all shards. Waiting
// Acquire calls return NOT_OWNER.
func (o *Owner) Stop() {
	o.cancel()
	o.goroutines.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.shards {
		o.dropShard(key)
	}
}

func (o *Owner) run() {
	for {
		changed := o.cfg.Source.Changed()
		o.updateShards()
		select {
		case <-o.ctx.Done():
			return
		case <-changed:
		case <-o.cfg.Clock.After(tickInterval):
		}
	}
}

// updateShards applies the newest view and runs the periodic work of every
// shard.
func (o *Owner) updateShards() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock.Now()
	o.applyView(o.cfg.Source.View(), now)
	for _, sh := range o.shards {
		for _, c := range sh.state.Tick(now) {
			o.recordEvent("target_state", sh.key, "target", c.Target, "from", string(c.From), "to", string(c.To))
		}
		o.schedule(sh, now)
		o.startOrders(sh, now)
	}
}

// applyView drops the shards that the view no longer assigns to this session,
// creates the newly assigned ones and applies the view to all of them. The
// caller must hold o.mu.
func (o *Owner) applyView(view *session.View, now time.Time) {
	for key, sh := range o.shards {
		if !o.isAssigned(view, key, sh.epoch) {
			o.dropShard(key)
		}
	}
	id := o.cfg.Source.SessionID()
	for key, a := range view.Assignments {
		if id == 0 || a.GetOwnerSession() != id || o.shards[key] != nil {
			continue
		}
		if team, ok := view.Teams[key.Team]; ok {
			o.shards[key] = newShard(o.ctx, key, a.GetEpoch(), team.Settings, now)
			o.recordEvent("shard_taken", key, "epoch", strconv.FormatUint(a.GetEpoch(), 10))
		}
	}
	for _, sh := range o.shards {
		sh.applyView(view, now)
	}
}

// isAssigned reports whether the view assigns the shard to this session at the
// given epoch.
func (o *Owner) isAssigned(view *session.View, key session.ShardKey, epoch uint64) bool {
	a := view.Assignments[key]
	id := o.cfg.Source.SessionID()
	_, known := view.Teams[key.Team]
	return known && id != 0 && a.GetOwnerSession() == id && a.GetEpoch() == epoch
}

// dropShard ends this instance's ownership of a shard. Waiting Acquire calls
// return NOT_OWNER.
func (o *Owner) dropShard(key session.ShardKey) {
	sh := o.shards[key]
	delete(o.shards, key)
	sh.close()
	o.recordEvent("shard_lost", key, "epoch", strconv.FormatUint(sh.epoch, 10))
}

// ownedShard returns the shard if the newest view assigns it to this instance,
// and nil otherwise. The caller must hold o.mu.
func (o *Owner) ownedShard(key session.ShardKey) *shard {
	sh := o.shards[key]
	view := o.cfg.Source.View()
	if sh == nil || !o.isAssigned(view, key, sh.epoch) {
		o.applyView(view, o.cfg.Clock.Now())
		sh = o.shards[key]
	}
	return sh
}

// mayStartWork reports whether new work may start on the shard. Without a valid
// freshness lease, another instance may already own the shard.
func (o *Owner) mayStartWork(sh *shard) bool {
	return o.cfg.Source.Fresh() && o.isAssigned(o.cfg.Source.View(), sh.key, sh.epoch)
}

// schedule grants the available permits of a shard to its waiting requests and
// delivers the decisions. If new work may not start, it grants nothing and only
// refuses the requests whose deadline has passed. The caller must hold o.mu.
func (o *Owner) schedule(sh *shard, now time.Time) {
	if !o.mayStartWork(sh) {
		sh.expireWaiters(now)
		return
	}
	for _, d := range sh.state.Schedule(now) {
		o.countGrant(d)
		sh.deliver(d)
	}
	o.publishTotals(sh)
}

// recordEvent adds an event about a shard to the process's timeline.
func (o *Owner) recordEvent(kind string, key session.ShardKey, fields ...string) {
	o.cfg.Env.Timeline.Record(kind, append([]string{"shard", key.String()}, fields...)...)
}
