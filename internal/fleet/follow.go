package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Timing and limits of polling control instances.
const (
	// pollWait is how long a control instance may hold a poll without changes.
	pollWait = time.Second
	// pollTimeoutMargin is added to pollWait for the timeout of a poll.
	pollTimeoutMargin = 600 * time.Millisecond
	// pollRetryDelay follows a failed poll and doubles with each further one.
	pollRetryDelay = 100 * time.Millisecond
	// maxPollRetryDelay bounds the delay after repeated failures.
	maxPollRetryDelay = 250 * time.Millisecond
	// unlistedPollTime is how long a control instance is still polled after the
	// last response that listed it.
	unlistedPollTime = 10 * time.Second
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

	mu          sync.Mutex
	self        Watcher
	seeds       []string
	lastListed  map[string]time.Time // time of the last response that listed a control instance; keyed by address, like polling and reachable
	polling     map[string]bool
	reachable   map[string]distance // distances of the control instances that respond
	selfChanged chan struct{}       // closed when self, the description of this instance, changes
	workers     sync.WaitGroup
}

// NewFollower returns a Follower that finds the control instances through the
// addresses in seeds. It reports self to them as the watcher.
func NewFollower(self Watcher, seeds []string, views *ViewStore, peerClient *http.Client, logger zerolog.Logger, metrics tally.Scope) *Follower {
	return &Follower{
		views: views, peerClient: peerClient, logger: logger, metrics: metrics, self: self, seeds: seeds,
		lastListed: map[string]time.Time{}, polling: map[string]bool{}, reachable: map[string]distance{}, selfChanged: make(chan struct{}),
	}
}

// SetSeeds replaces the configured addresses of control instances.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Leave reports immediately to the control instances that callers must no longer
// be sent to this instance. It interrupts the polls in progress.
func (f *Follower) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Leaving = true
	close(f.selfChanged)
	f.selfChanged = make(chan struct{})
}

// Run polls the control instances until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	tick := time.NewTicker(pollRetryDelay)
	defer tick.Stop()
	f.workers.Go(func() { f.fetchManifests(ctx) })
	defer f.workers.Wait()
	for {
		f.startPollLoops(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
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

// addressesToPoll returns the seeds and the recently listed control instances.
// The caller must hold f.mu.
func (f *Follower) addressesToPoll() []string {
	out := slices.Clone(f.seeds)
	now := time.Now()
	for address, listedAt := range f.lastListed {
		if now.Sub(listedAt) < unlistedPollTime {
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
	}()
	client := api.NewFleetQueryProtobufClient("http://"+address, f.peerClient)
	position := position{control: address}
	defer f.views.setEntries(address, nil)
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
	self, selfChanged := f.self, f.selfChanged
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollTimeoutMargin)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	interrupted := false
	var mu sync.Mutex
	go func() {
		select {
		case <-selfChanged:
			mu.Lock()
			interrupted = true
			mu.Unlock()
			cancel()
		case <-stop:
		}
	}()
	resp, err := client.Watch(ctx, &api.FleetWatchRequest{
		Watcher: watcherToProto(&self), StateIndex: f.views.stateIndex(),
		Epoch: p.epoch, Cursor: p.cursor, EntriesVersion: p.entriesVersion, WaitMs: uint32(pollWait.Milliseconds()),
	})
	if err != nil {
		mu.Lock()
		defer mu.Unlock()
		if interrupted {
			return nil // Leave interrupted the call; the next poll reports that this instance leaves
		}
		return err
	}
	f.applyResponse(resp, p)
	return nil
}

// applyResponse merges a response into the view store and advances the position.
func (f *Follower) applyResponse(resp *api.FleetWatchResponse, p *position) {
	var state *State
	if resp.GetState() != nil {
		state = stateFromProto(resp.GetState())
	}
	announcements := make([]Announcement, 0, len(resp.GetAnnouncements()))
	for _, a := range resp.GetAnnouncements() {
		announcements = append(announcements, announcementFromProto(a))
	}
	f.views.Merge(state, announcements)
	p.epoch, p.cursor = resp.GetEpoch(), resp.GetCursor()
	f.markReachable(p.control, f.distanceOf(resp))
	if resp.GetEntriesVersion() != p.entriesVersion {
		entries := make([]Watcher, 0, len(resp.GetEntries()))
		for _, w := range resp.GetEntries() {
			entries = append(entries, watcherFromProto(w))
		}
		f.views.setEntries(p.control, entries)
		p.entriesVersion = resp.GetEntriesVersion()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, address := range resp.GetControl() {
		if len(f.lastListed) < 2*maxControlInstances || !f.lastListed[address].IsZero() {
			f.lastListed[address] = now
		}
	}
}
