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

// Pace of following.
const (
	// pollWait is how long a control instance holds a poll without news.
	pollWait = time.Second
	// pollSlack is added to pollWait before a poll counts as lost.
	pollSlack = 600 * time.Millisecond
	// retryPause follows a failed poll.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds the pause while a control instance stays away.
	maxRetryPause = 250 * time.Millisecond
	// dropAfter is how long a control instance that is no longer listed is
	// still polled.
	dropAfter = 10 * time.Second
	// maxControls bounds the control instances that are followed.
	maxControls = 16
)

// Follower watches all control instances and keeps the holder up to date.
type Follower struct {
	holder  *Holder
	peers   *http.Client
	logger  zerolog.Logger
	metrics tally.Scope

	mu      sync.Mutex
	self    Watcher
	seeds   []string
	listed  map[string]time.Time // control instances by address, when last listed
	running map[string]bool
	up      map[string]distance // of those that answer
	wake    chan struct{}       // closed when self changes
	workers sync.WaitGroup
}

// NewFollower returns a follower that starts from seeds.
func NewFollower(self Watcher, seeds []string, holder *Holder, peers *http.Client, logger zerolog.Logger, metrics tally.Scope) *Follower {
	return &Follower{
		holder: holder, peers: peers, logger: logger, metrics: metrics, self: self, seeds: seeds,
		listed: map[string]time.Time{}, running: map[string]bool{}, up: map[string]distance{}, wake: make(chan struct{}),
	}
}

// SetSeeds replaces the addresses at which control instances are looked for.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Leave tells the control instances at once that callers must not be sent here
// any more.
func (f *Follower) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.Leaving = true
	close(f.wake)
	f.wake = make(chan struct{})
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	tick := time.NewTicker(retryPause)
	defer tick.Stop()
	f.workers.Go(func() { f.keepManifest(ctx) })
	defer f.workers.Wait()
	for {
		f.startMissing(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// startMissing starts a loop for each control instance that is listed or a
// seed and has none.
func (f *Follower) startMissing(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.wanted() {
		if f.running[address] || len(f.running) >= maxControls {
			continue
		}
		f.running[address] = true
		f.workers.Go(func() { f.follow(ctx, address) })
	}
}

// wanted returns the addresses to follow; the caller holds the lock.
func (f *Follower) wanted() []string {
	out := slices.Clone(f.seeds)
	now := time.Now()
	for address, at := range f.listed {
		if now.Sub(at) < dropAfter {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// follow polls one control instance until it is no longer wanted.
func (f *Follower) follow(ctx context.Context, address string) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.running, address)
	}()
	client := api.NewFleetQueryProtobufClient("http://"+address, f.peers)
	place := place{control: address}
	defer f.holder.setEntries(address, nil)
	defer f.setDown(address)
	pause := retryPause
	up := false
	for ctx.Err() == nil && f.isWanted(address) {
		err := f.poll(ctx, client, &place)
		if up != (err == nil) && ctx.Err() == nil {
			up = err == nil
			if !up {
				f.setDown(address)
			}
			f.logger.Info().Str("control", address).Bool("up", up).AnErr("reason", err).Msg("control instance")
		}
		if err == nil {
			pause = retryPause
			continue
		}
		f.metrics.Counter("fleet.poll_failed").Inc(1)
		sleep.For(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

func (f *Follower) isWanted(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.wanted(), address)
}

// place is the follower's position at one control instance.
type place struct {
	control string // its address
	epoch   string
	cursor  uint64
	entries uint64 // version of the list of entry instances
}

// poll makes one call. It is cut short when the instance starts to leave.
func (f *Follower) poll(ctx context.Context, client api.FleetQuery, p *place) error {
	f.mu.Lock()
	self, wake := f.self, f.wake
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollSlack)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	woken := false
	var mu sync.Mutex
	go func() {
		select {
		case <-wake:
			mu.Lock()
			woken = true
			mu.Unlock()
			cancel()
		case <-stop:
		}
	}()
	resp, err := client.Watch(ctx, &api.FleetWatchRequest{
		Watcher: watcherToProto(&self), StateIndex: f.holder.index(),
		Epoch: p.epoch, Cursor: p.cursor, EntriesVersion: p.entries, WaitMs: uint32(pollWait.Milliseconds()),
	})
	if err != nil {
		mu.Lock()
		defer mu.Unlock()
		if woken {
			return nil // the next poll tells the change
		}
		return err
	}
	f.take(resp, p)
	return nil
}

func (f *Follower) take(resp *api.FleetWatchResponse, p *place) {
	var state *State
	if resp.GetState() != nil {
		state = stateFromProto(resp.GetState())
	}
	news := make([]Announcement, 0, len(resp.GetAnnouncements()))
	for _, a := range resp.GetAnnouncements() {
		news = append(news, announcementFromProto(a))
	}
	f.holder.Merge(state, news)
	p.epoch, p.cursor = resp.GetEpoch(), resp.GetCursor()
	f.setUp(p.control, f.distanceOf(resp))
	if resp.GetEntriesVersion() != p.entries {
		entries := make([]Watcher, 0, len(resp.GetEntries()))
		for _, w := range resp.GetEntries() {
			entries = append(entries, watcherFromProto(w))
		}
		f.holder.setEntries(p.control, entries)
		p.entries = resp.GetEntriesVersion()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, address := range resp.GetControl() {
		if len(f.listed) < 2*maxControls || !f.listed[address].IsZero() {
			f.listed[address] = now
		}
	}
}
