// Package owner runs the shards that are assigned to this instance: it queues
// requests, grants permits and keeps the targets' state. It implements the
// calls api.AdmissionCommand and api.AdmissionQuery.
//
// Invariant: a permit is granted only while the freshness lease is valid and
// the newest view assigns the shard to this session at the shard's epoch.
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

// tickInterval is the precision of waits and of periodic work.
const tickInterval = 20 * time.Millisecond

// Clock tells the time and wakes the owner.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives once d has passed.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Config is what an Owner needs.
type Config struct {
	Source  session.Source
	Env     *process.Env
	Control api.ControlCommand
	Clock   Clock // default SystemClock
}

// Owner runs the shards assigned to this instance.
type Owner struct {
	cfg     Config
	metrics tally.Scope

	orders *http.Client

	mu     sync.Mutex
	shards map[session.ShardKey]*shard

	ctx    context.Context // ends with Stop
	cancel context.CancelFunc
	done   sync.WaitGroup
}

var (
	_ api.AdmissionCommand = (*Owner)(nil)
	_ api.AdmissionQuery   = (*Owner)(nil)
)

// New returns an owner that is not started.
func New(cfg Config) *Owner {
	if cfg.Clock == nil {
		cfg.Clock = SystemClock{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		cfg:     cfg,
		metrics: cfg.Env.Metrics.SubScope("owner"),
		orders:  newOrderClient(),
		shards:  map[session.ShardKey]*shard{},
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Start begins to follow the assignments.
func (o *Owner) Start() {
	o.done.Go(o.run)
}

// Stop ends all work; waiting calls are answered NOT_OWNER.
func (o *Owner) Stop() {
	o.cancel()
	o.done.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.shards {
		o.drop(key)
	}
}

func (o *Owner) run() {
	for {
		changed := o.cfg.Source.Changed()
		o.step()
		select {
		case <-o.ctx.Done():
			return
		case <-changed:
		case <-o.cfg.Clock.After(tickInterval):
		}
	}
}

// step follows the newest view and does the periodic work of every shard.
func (o *Owner) step() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Clock.Now()
	o.follow(o.cfg.Source.View(), now)
	for _, sh := range o.shards {
		for _, c := range sh.state.Tick(now) {
			o.event("target_state", sh.key, "target", c.Target, "from", string(c.From), "to", string(c.To))
		}
		o.schedule(sh, now)
		o.startOrders(sh, now)
	}
}

// follow starts shards that the view assigns to this session and drops the
// others.
func (o *Owner) follow(view *session.View, now time.Time) {
	for key, sh := range o.shards {
		if !o.assigned(view, key, sh.epoch) {
			o.drop(key)
		}
	}
	id := o.cfg.Source.SessionID()
	for key, a := range view.Assignments {
		if id == 0 || a.GetOwnerSession() != id || o.shards[key] != nil {
			continue
		}
		if team, ok := view.Teams[key.Team]; ok {
			o.shards[key] = newShard(o.ctx, key, a.GetEpoch(), team.Settings, now)
			o.event("shard_taken", key, "epoch", strconv.FormatUint(a.GetEpoch(), 10))
		}
	}
	for _, sh := range o.shards {
		sh.follow(view, now)
	}
}

// assigned reports whether the view gives the shard to this session at epoch.
func (o *Owner) assigned(view *session.View, key session.ShardKey, epoch uint64) bool {
	a := view.Assignments[key]
	id := o.cfg.Source.SessionID()
	_, known := view.Teams[key.Team]
	return known && id != 0 && a.GetOwnerSession() == id && a.GetEpoch() == epoch
}

// drop ends an ownership and answers its waiting calls.
func (o *Owner) drop(key session.ShardKey) {
	sh := o.shards[key]
	delete(o.shards, key)
	sh.close()
	o.event("shard_lost", key, "epoch", strconv.FormatUint(sh.epoch, 10))
}

// owned returns the shard if this instance owns it by the newest view. Must be
// called with o.mu held.
func (o *Owner) owned(key session.ShardKey) *shard {
	sh := o.shards[key]
	view := o.cfg.Source.View()
	if sh == nil || !o.assigned(view, key, sh.epoch) {
		o.follow(view, o.cfg.Clock.Now())
		sh = o.shards[key]
	}
	return sh
}

// mayAct reports whether new work may start: without a valid freshness lease
// another instance may own the shard by now.
func (o *Owner) mayAct(sh *shard) bool {
	return o.cfg.Source.Fresh() && o.assigned(o.cfg.Source.View(), sh.key, sh.epoch)
}

// schedule grants what can be granted.
func (o *Owner) schedule(sh *shard, now time.Time) {
	if !o.mayAct(sh) {
		sh.expire(now)
		return
	}
	for _, d := range sh.state.Schedule(now) {
		o.count(d)
		sh.answer(d)
	}
	o.publish(sh)
}

func (o *Owner) event(kind string, key session.ShardKey, fields ...string) {
	o.cfg.Env.Timeline.Record(kind, append([]string{"shard", key.String()}, fields...)...)
}
