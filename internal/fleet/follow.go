package fleet

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
	"github.com/endivetrack/endivetrack/internal/wakeup"
)

// Timing and limits of polling control instances.
const (
	// pollWait is how long a control instance may hold a poll without changes.
	pollWait = time.Second
	// idlePollWait replaces pollWait at an instance to which callers are not sent.
	idlePollWait = 2 * time.Second
	// pollTimeoutMargin is added to pollWait for the timeout of a poll.
	pollTimeoutMargin = 600 * time.Millisecond
	// pollRetryDelay follows a failed poll and doubles with each further one.
	pollRetryDelay = 100 * time.Millisecond
	// maxPollRetryDelay bounds the delay after repeated failures.
	maxPollRetryDelay = 250 * time.Millisecond
	// unlistedPollTime is how long a control instance is still polled after the
	// last response that listed it, while there are responses.
	unlistedPollTime = 10 * time.Second
	// maxReportedLoad bounds the load that is reported to control instances.
	maxReportedLoad = 1000.0
	// maxControlInstances bounds the control instances that are polled.
	maxControlInstances = 16
)

// Follower polls all control instances and merges their responses into a
// ViewStore.
type Follower struct {
	views      *ViewStore
	peerClient *http.Client
	logger     zerolog.Logger
	metrics    tally.Scope

	mu   sync.Mutex
	self Watcher
	left bool // Leave was called
	load func() float64
	// selfContext ends when self changes.
	selfContext context.Context
	endSelf     context.CancelFunc
	seeds       []string
	lastListed  map[string]time.Time // time of the last response that listed a control instance; keyed by address, like polling and reachable
	polling     map[string]bool
	reachable   map[string]location // the control instances that respond
	contactAt   time.Time           // of the newest response of a control instance
	wake        wakeup.Flag         // set when a poll loop may have to be started
	started     wakeup.Flag         // set when a control instance has started
	workers     sync.WaitGroup
}

// NewFollower returns a Follower that finds the control instances through the
// addresses in seeds. It reports self to them as the watcher.
func NewFollower(self Watcher, seeds []string, views *ViewStore, peerClient *http.Client, logger zerolog.Logger, metrics tally.Scope) *Follower {
	f := &Follower{
		views: views, peerClient: peerClient, logger: logger, metrics: metrics, self: self, seeds: seeds,
		lastListed: map[string]time.Time{}, polling: map[string]bool{}, reachable: map[string]location{}, wake: wakeup.New(), started: wakeup.New(),
	}
	f.selfContext, f.endSelf = context.WithCancel(context.Background())
	return f
}

// ReportLoad makes the follower report to the control instances what load returns: the
// work of this instance, in multiples of what one instance is planned to do. It must be
// called before Run.
func (f *Follower) ReportLoad(load func() float64) { f.load = load }

// SetSeeds replaces the configured addresses of control instances.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
	f.wake.Set()
}

// Started returns a channel that receives a value after this instance has first reached a
// control instance, or a new process of one: it remembers nothing that it was told before.
func (f *Follower) Started() <-chan struct{} { return f.started.C() }

// Leave reports immediately to the control instances that callers must no longer
// be sent to this instance. It interrupts the polls in progress.
func (f *Follower) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = true
	f.setLeaving(true)
}

// SetServing reports immediately whether callers may be sent to this instance. After Leave
// it has no effect.
func (f *Follower) SetServing(serving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setLeaving(f.left || !serving)
}

// InContact reports whether a control instance has responded lately, so that this instance
// has heard of changes.
func (f *Follower) InContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contactAt) < idlePollWait+pollTimeoutMargin
}

// setLeaving interrupts the polls in progress, so that the next ones report the change.
// The caller holds f.mu.
func (f *Follower) setLeaving(leaving bool) {
	f.self.Leaving = leaving
	f.endSelf()
	f.selfContext, f.endSelf = context.WithCancel(context.Background())
}

// Run polls the control instances until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.workers.Go(func() { f.fetchManifests(ctx) })
	defer f.workers.Wait()
	for {
		f.startPollLoops(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.wake.C():
		}
	}
}

// startPollLoops starts a poll loop for each address that has none, up to
// maxControlInstances loops.
func (f *Follower) startPollLoops(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.addressesToPoll() {
		if f.polling[address] || len(f.polling) >= maxControlInstances {
			continue
		}
		f.polling[address] = true
		f.workers.Go(func() { f.pollLoop(ctx, address) })
	}
}

// addressesToPoll returns the seeds and the control instances that were listed shortly before
// the newest response: an instance that nobody answers for a while must find the group again
// also if all seeds were replaced. The caller must hold f.mu.
func (f *Follower) addressesToPoll() []string {
	out := slices.Clone(f.seeds)
	for address, listedAt := range f.lastListed {
		if f.contactAt.Sub(listedAt) < unlistedPollTime {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// pollLoop polls one control instance until shouldPoll returns false for it.
func (f *Follower) pollLoop(ctx context.Context, address string) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.polling, address)
		f.wake.Set()
	}()
	client := api.NewFleetQueryProtobufClient("http://"+address, f.peerClient)
	position := position{control: address}
	defer f.views.Forget(address)
	defer f.markUnreachable(address)
	delay := pollRetryDelay
	reachable := false
	for ctx.Err() == nil && f.shouldPoll(address) {
		err := f.poll(ctx, client, &position)
		if reachable != (err == nil) && ctx.Err() == nil {
			reachable = err == nil
			if !reachable {
				f.markUnreachable(address)
			}
			f.logger.Info().Str("control", address).Bool("up", reachable).AnErr("reason", err).Msg("control instance")
		}
		if err == nil {
			delay = pollRetryDelay
			continue
		}
		f.metrics.Counter("fleet.poll_failed").Inc(1)
		sleep.For(ctx, delay)
		delay = min(2*delay, maxPollRetryDelay)
	}
}

// shouldPoll reports whether address is in addressesToPoll.
func (f *Follower) shouldPoll(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.addressesToPoll(), address)
}

// position is how far the follower has read the changes of one control instance.
type position struct {
	control        string // address of the control instance
	epoch          string
	cursor         uint64
	entriesVersion uint64 // version of the list of entry instances received last
}

// poll makes one Watch call and applies the response. A call to Leave interrupts
// it.
func (f *Follower) poll(ctx context.Context, client api.FleetQuery, p *position) error {
	f.mu.Lock()
	self, selfContext := f.self, f.selfContext
	f.mu.Unlock()
	wait := f.pollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeoutMargin)
	defer cancel()
	defer context.AfterFunc(selfContext, cancel)()
	watcher := watcherToProto(&self)
	if f.load != nil {
		watcher.Load = uint32(min(f.load(), maxReportedLoad) * loadUnit)
	}
	resp, err := client.Watch(ctx, &api.FleetWatchRequest{
		Watcher: watcher, StateIndex: f.views.stateIndex(),
		Epoch: p.epoch, Cursor: p.cursor, EntriesVersion: p.entriesVersion, WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		if selfContext.Err() != nil {
			return nil // setLeaving interrupted the call; the next poll reports the change
		}
		return err
	}
	f.applyResponse(resp, p)
	return nil
}

// pollWait returns how long a control instance may hold the next poll.
func (f *Follower) pollWait() time.Duration {
	if _, serving := f.views.Entries()[f.self.Name]; serving {
		return pollWait
	}
	return idlePollWait
}

// applyResponse merges a response into the view store and advances the position.
func (f *Follower) applyResponse(resp *api.FleetWatchResponse, p *position) {
	f.mu.Lock()
	f.contactAt = time.Now()
	f.mu.Unlock()
	var state *State
	if resp.GetState() != nil {
		state = stateFromProto(resp.GetState())
	}
	isNew := resp.GetEpoch() != p.epoch
	f.views.MergeFrom(p.control, isNew, state, f.announcementsOf(resp))
	p.epoch, p.cursor = resp.GetEpoch(), resp.GetCursor()
	f.markReachable(p.control, f.locationOf(resp))
	if isNew {
		f.started.Set()
	}
	if resp.GetEntriesVersion() != p.entriesVersion {
		f.views.SetEntries(p.control, f.entriesOf(resp))
		p.entriesVersion = resp.GetEntriesVersion()
	}
	f.noteListed(f.controlOf(resp), time.Now())
}

// announcementsOf returns the announcements in a response. A control instance of an earlier
// version may send some that name no target to use; the others hold.
func (f *Follower) announcementsOf(resp *api.FleetWatchResponse) []Announcement {
	out := make([]Announcement, 0, len(resp.GetAnnouncements()))
	for _, m := range resp.GetAnnouncements() {
		a := announcementFromProto(m)
		if a.Validate() != nil {
			f.metrics.Counter("fleet.targets_dropped").Inc(1)
			continue
		}
		out = append(out, a)
	}
	return out
}

// entriesOf is announcementsOf for the entry instances.
func (f *Follower) entriesOf(resp *api.FleetWatchResponse) []Watcher {
	out := make([]Watcher, 0, len(resp.GetEntries()))
	for _, m := range resp.GetEntries() {
		w := watcherFromProto(m)
		if w.Validate() != nil {
			f.metrics.Counter("fleet.watchers_dropped").Inc(1)
			continue
		}
		out = append(out, w)
	}
	return out
}

// controlOf is announcementsOf for the control instances.
func (f *Follower) controlOf(resp *api.FleetWatchResponse) []string {
	return slices.DeleteFunc(slices.Clone(resp.GetControl()), func(address string) bool {
		err := identifier.CheckAddress(resultcode.MessageMalformed, "control instance", address)
		if err != nil {
			f.metrics.Counter("fleet.controls_dropped").Inc(1)
		}
		return err != nil
	})
}

// noteListed records the control instances that a response lists, and forgets those
// that none has listed for unlistedPollTime.
func (f *Follower) noteListed(addresses []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) >= unlistedPollTime })
	for _, address := range addresses {
		if _, known := f.lastListed[address]; !known && len(f.lastListed) >= 2*maxControlInstances {
			continue
		}
		f.lastListed[address] = now
		if !f.polling[address] {
			f.wake.Set()
		}
	}
}
