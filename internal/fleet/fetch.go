package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Timing of manifest downloads.
const (
	fetchTimeout    = 1500 * time.Millisecond
	fetchRetryDelay = 50 * time.Millisecond
)

// distance ranks control instances by their location relative to this instance;
// the smallest value is the nearest.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
)

// location is where a control instance runs, relative to this instance.
type location struct {
	distance
	failureDomain string
}

// markReachable records that a control instance responds, and where it runs.
func (f *Follower) markReachable(address string, l location) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable[address] = l
}

// markUnreachable records that a control instance does not respond.
func (f *Follower) markUnreachable(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reachable, address)
}

// locationOf returns where the sender of a response runs.
func (f *Follower) locationOf(resp *api.FleetWatchResponse) location {
	l := location{distance: otherRegion, failureDomain: resp.GetFailureDomain()}
	switch {
	case resp.GetFailureDomain() == f.self.FailureDomain:
		l.distance = sameDomain
	case resp.GetRegion() == f.self.Region:
		l.distance = sameRegion
	}
	return l
}

// nearestFirst returns the reachable control instances, nearest first.
func (f *Follower) nearestFirst() []string {
	f.mu.Lock()
	reachable := maps.Clone(f.reachable)
	f.mu.Unlock()
	return slices.SortedFunc(maps.Keys(reachable), func(a, b string) int {
		return cmp.Or(cmp.Compare(reachable[a].distance, reachable[b].distance), cmp.Compare(a, b))
	})
}

// Nearest returns the control instances to try in turn: the reachable ones, nearest first
// and beginning with one of each failure domain, then those whose last poll failed. They
// count as reachable again only when a poll ends.
func (f *Follower) Nearest() []string {
	order := f.nearestFirst()
	f.mu.Lock()
	defer f.mu.Unlock()
	var first, further []string
	seen := map[string]bool{}
	for _, address := range order {
		domain := f.reachable[address].failureDomain
		if seen[domain] {
			further = append(further, address)
			continue
		}
		seen[domain] = true
		first = append(first, address)
	}
	out := append(first, further...)
	for _, address := range f.addressesToPoll() {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// Addresses returns the control instances that are polled, reachable or not.
func (f *Follower) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addressesToPoll()
}

// Quorum returns how many control instances are a majority of those that are listed or, as
// long as none is, of the seeds.
func (f *Follower) Quorum() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.lastListed)
	if n == 0 {
		n = len(f.seeds)
	}
	return n/2 + 1
}

// fetchManifests fetches each new manifest once, from the nearest control
// instance that has it, until ctx ends. All instances fetch a new manifest at the
// same moment. If each fetched it from every control instance, the links would be
// saturated.
func (f *Follower) fetchManifests(ctx context.Context) {
	for ctx.Err() == nil {
		outdated, changed := f.views.manifestOutdated()
		if !outdated {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if f.fetchFromNearest(ctx) {
			continue
		}
		sleep.For(ctx, fetchRetryDelay)
	}
}

// fetchFromNearest tries the reachable control instances, nearest first. It
// reports whether the view store then has the newest known manifest.
func (f *Follower) fetchFromNearest(ctx context.Context) bool {
	for _, address := range f.nearestFirst() {
		if err := f.fetchFrom(ctx, address); err != nil {
			f.metrics.Counter("fleet.fetch_failed").Inc(1)
			f.logger.Warn().Str("control", address).Err(err).Msg("manifest not fetched")
			continue
		}
		if outdated, _ := f.views.manifestOutdated(); !outdated {
			return true
		}
	}
	return false
}

// fetchFrom downloads the manifest of one control instance into the view store.
func (f *Follower) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	start := time.Now()
	resp, err := api.NewFleetQueryProtobufClient("http://"+address, f.peerClient).Manifest(ctx, &api.FleetManifestRequest{})
	if err != nil || resp.GetVersion() == 0 {
		return err
	}
	document, err := decompressDocument(resp.GetDocument())
	if err != nil {
		return err
	}
	if err := f.views.SetManifest(resp.GetVersion(), document); err != nil {
		return err
	}
	f.logger.Info().Uint64("version", resp.GetVersion()).Int("bytes", len(resp.GetDocument())).Str("control", address).
		Dur("took", time.Since(start)).Msg("manifest in force")
	return nil
}
