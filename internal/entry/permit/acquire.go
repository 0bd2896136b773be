package permit

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

// maxProbes bounds the shards of one region that are probed in one round.
// Which ones are probed changes from round to round.
const maxProbes = 4

// singleShardSlices is how many slices are waited at once at a single shard.
const singleShardSlices = 4

// Wanted describes the permit that a request needs.
type Wanted struct {
	Team    string
	Service string
	Shards  int
	// Regions in order of preference; the first is this instance's own.
	Regions   []string
	RequestID string
	Request   *api.RequestClass
	Deadline  time.Time // end of the time in queues
	Started   time.Time // when the request began to wait
	Exclude   []string  // targets that failed for this request
	// Across is asked before work is sent to another region than the first.
	Across func() bool
}

// Acquirer obtains permits.
type Acquirer struct {
	source session.Source
	owners *Owners
	book   *Book
	timing Timing
	probes tally.Counter
	queued tally.Counter
	away   tally.Counter

	suspects suspects
}

// NewAcquirer returns an acquirer that notes granted permits in book.
func NewAcquirer(source session.Source, owners *Owners, book *Book, timing Timing, scope tally.Scope) *Acquirer {
	return &Acquirer{
		source: source, owners: owners, book: book, timing: timing,
		probes: scope.Counter("entry.acquire_probes"),
		queued: scope.Counter("entry.acquire_slices"),
		away:   scope.Counter("entry.acquire_other_region"),
	}
}

// round collects the answers of one look at the shards.
type round struct {
	full       []candidate // shards in whose queue the request may wait
	overloaded int
	noTarget   int
	noOwner    int
	retryAfter time.Duration
}

type candidate struct {
	key   session.ShardKey
	queue uint32
}

// Acquire waits for a permit until the deadline. The freshness lease is checked
// after each wait. An error means that the request holds no permit and did not
// run.
func (a *Acquirer) Acquire(ctx context.Context, w Wanted) (*Held, error) {
	for {
		if err := a.mayContinue(ctx); err != nil {
			return nil, err
		}
		view, changed := a.source.View(), a.source.Changed()
		held, r := a.look(ctx, view, w)
		left := time.Until(w.Deadline)
		if held == nil && left <= 0 {
			return nil, deadlineError(r)
		}
		if held == nil && len(r.full) > 0 {
			held, r = a.queue(ctx, view, w, r, left)
		}
		if held != nil {
			return held, nil
		}
		switch {
		case len(r.full) > 0:
			continue // a slice was waited
		case r.overloaded > 0:
			return nil, resultcode.Newf(resultcode.Overloaded, "the queues of service %q are full", w.Service).WithRetryAfter(max(r.retryAfter, a.timing.Recheck))
		case r.noOwner == 0 && time.Since(w.Started) >= a.timing.Settle:
			return nil, noTarget(w)
		}
		a.pause(ctx, changed, min(left, a.timing.Recheck))
	}
}

func (a *Acquirer) mayContinue(ctx context.Context) error {
	if ctx.Err() != nil {
		return resultcode.Newf(resultcode.Cancelled, "the caller is gone")
	}
	if !a.source.Fresh() {
		return NotFresh()
	}
	return nil
}

// NotFresh is the refusal of an instance without a valid freshness lease.
func NotFresh() error {
	return resultcode.Newf(resultcode.NoFreshLease, "no fresh state from the control group").WithRetryAfter(time.Second)
}

func noTarget(w Wanted) error {
	return resultcode.Newf(resultcode.NoTarget, "no target of service %q may get this request", w.Service).WithRetryAfter(time.Second)
}

func deadlineError(r round) error {
	if r.noOwner > 0 && len(r.full) == 0 {
		return resultcode.Newf(resultcode.NoOwner, "no owner of the shard can be reached").WithRetryAfter(time.Second)
	}
	return resultcode.Newf(resultcode.DeadlineExceeded, "the request waited for its class's queue timeout").WithRetryAfter(max(r.retryAfter, time.Second))
}

// pause waits for a change of the view, at most d.
func (a *Acquirer) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// look probes the shards without queueing: those of the first region, then, if
// they are full and the link's budget allows it, those of other regions.
func (a *Acquirer) look(ctx context.Context, view *session.View, w Wanted) (*Held, round) {
	var total round
	for i, region := range w.Regions {
		if i > 0 && w.Across != nil && !w.Across() {
			break
		}
		keys := a.order(w, region)
		if len(w.Regions) == 1 && len(keys) == 1 {
			// A single shard needs no comparison: wait there at once.
			if _, ok := a.owners.Of(view, keys[0]); ok {
				return nil, round{full: []candidate{{key: keys[0]}}}
			}
		}
		for _, key := range keys {
			a.probes.Inc(1)
			held := a.ask(ctx, view, key, w, 0, &total)
			if held != nil && i > 0 {
				a.away.Inc(1)
			}
			if held != nil {
				return held, total
			}
		}
	}
	return nil, total
}

// order returns the shards of a region to probe: those with the most free
// permits at the last report first, equal ones in random order.
func (a *Acquirer) order(w Wanted, region string) []session.ShardKey {
	type scored struct {
		key  session.ShardKey
		free int64
	}
	all := make([]scored, 0, w.Shards)
	for n := range w.Shards {
		key := session.ShardKey{Team: w.Team, Service: w.Service, Region: region, Number: uint32(n)}
		free, queue := a.book.hint(key)
		all = append(all, scored{key, int64(free) - int64(queue)})
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(x, y scored) int { return cmp.Compare(y.free, x.free) })
	if len(all) > maxProbes {
		// The last probe is a random one of the rest, so that an old hint
		// cannot hide a shard for good.
		i := maxProbes - 1 + rand.IntN(len(all)-maxProbes+1)
		all[maxProbes-1], all[i] = all[i], all[maxProbes-1]
		all = all[:maxProbes]
	}
	keys := make([]session.ShardKey, len(all))
	for i, s := range all {
		keys[i] = s.key
	}
	return keys
}

// queue waits one slice in the shortest queue that takes the request. The
// returned round replaces seen: it holds the answers after the wait.
func (a *Acquirer) queue(ctx context.Context, view *session.View, w Wanted, seen round, left time.Duration) (*Held, round) {
	slices.SortStableFunc(seen.full, func(x, y candidate) int { return cmp.Compare(x.queue, y.queue) })
	r := round{noOwner: seen.noOwner, noTarget: seen.noTarget, overloaded: seen.overloaded}
	for _, c := range seen.full {
		a.queued.Inc(1)
		held := a.ask(ctx, view, c.key, w, min(left, a.slice(w)), &r)
		if held != nil || len(r.full) > 0 {
			return held, r
		}
	}
	return nil, r
}

// slice is how long a request waits in one queue before it looks elsewhere.
// With a single shard there is nowhere else in the region: fewer, longer waits
// spare its owner calls when it has the most of them.
func (a *Acquirer) slice(w Wanted) time.Duration {
	if w.Shards <= 1 {
		return singleShardSlices * a.timing.Slice
	}
	return a.timing.Slice
}

// ask asks one owner and notes its answer in r.
func (a *Acquirer) ask(ctx context.Context, view *session.View, key session.ShardKey, w Wanted, wait time.Duration, r *round) *Held {
	owner, ok := a.owners.Of(view, key)
	if !ok {
		r.lost(w, key)
		return nil
	}
	a.book.use(key)
	now := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+a.timing.Call)
	defer cancel()
	answer, err := owner.Command.Acquire(callCtx, &api.AcquireRequest{
		Shard: key.Proto(), HolderSession: a.source.SessionID(), RequestId: w.RequestID, Request: w.Request,
		WaitMs: uint32(wait.Milliseconds()), WaitedMs: uint32(now.Sub(w.Started).Milliseconds()),
		ExcludeTargets: a.suspects.exclude(w, now),
	})
	if err != nil {
		r.lost(w, key)
		return nil
	}
	r.retryAfter = max(r.retryAfter, time.Duration(answer.GetRetryAfterMs())*time.Millisecond)
	switch answer.GetOutcome() {
	case api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED:
		return a.book.Add(key, answer.GetPermit(), w.Request, time.Now())
	case api.AcquireOutcome_ACQUIRE_OUTCOME_FULL:
		r.full = append(r.full, candidate{key, answer.GetQueueLength()})
	case api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED:
		r.overloaded++
	case api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET:
		r.noTarget++
	default:
		r.lost(w, key)
	}
	return nil
}

// lost notes a shard without an owner that answers. Only the first region's
// shards are worth waiting for; another region may have no instance at all.
func (r *round) lost(w Wanted, key session.ShardKey) {
	if key.Region == w.Regions[0] {
		r.noOwner++
	} else {
		r.noTarget++
	}
}

// Probe asks for a permit without waiting; nil when none is free.
func (a *Acquirer) Probe(ctx context.Context, w Wanted) *Held {
	if a.mayContinue(ctx) != nil {
		return nil
	}
	view := a.source.View()
	var r round
	for _, region := range w.Regions {
		for _, key := range a.order(w, region) {
			a.probes.Inc(1)
			if held := a.ask(ctx, view, key, w, 0, &r); held != nil {
				return held
			}
		}
	}
	return nil
}
