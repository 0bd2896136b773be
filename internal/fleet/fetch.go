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

// Pace of fetching manifests.
const (
	fetchTimeout = 1500 * time.Millisecond
	fetchPause   = 50 * time.Millisecond
)

// distance ranks control instances by where they run.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
)

// setUp notes that a control instance answers, and how far it is.
func (f *Follower) setUp(address string, d distance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up[address] = d
}

// setDown notes that a control instance does not answer.
func (f *Follower) setDown(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.up, address)
}

// distanceOf ranks the sender of an answer.
func (f *Follower) distanceOf(resp *api.FleetWatchResponse) distance {
	switch {
	case resp.GetFailureDomain() == f.self.FailureDomain:
		return sameDomain
	case resp.GetRegion() == f.self.Region:
		return sameRegion
	}
	return otherRegion
}

// keepManifest fetches each new manifest once, from the nearest control
// instance that has it: all instances want it at the same moment, and a whole
// manifest from each control instance would fill the links.
func (f *Follower) keepManifest(ctx context.Context) {
	for ctx.Err() == nil {
		missing, changed := f.holder.missing()
		if !missing {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if f.fetchNearest(ctx) {
			continue
		}
		sleep.For(ctx, fetchPause)
	}
}

// fetchNearest asks control instances in the order of their distance. It
// reports whether the newest known manifest is held now.
func (f *Follower) fetchNearest(ctx context.Context) bool {
	f.mu.Lock()
	up := maps.Clone(f.up)
	f.mu.Unlock()
	order := slices.SortedFunc(maps.Keys(up), func(a, b string) int {
		return cmp.Or(cmp.Compare(up[a], up[b]), cmp.Compare(a, b))
	})
	for _, address := range order {
		if err := f.fetch(ctx, address); err != nil {
			f.metrics.Counter("fleet.fetch_failed").Inc(1)
			f.logger.Warn().Str("control", address).Err(err).Msg("manifest not fetched")
			continue
		}
		if missing, _ := f.holder.missing(); !missing {
			return true
		}
	}
	return false
}

func (f *Follower) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	resp, err := api.NewFleetQueryProtobufClient("http://"+address, f.peers).Manifest(ctx, &api.FleetManifestRequest{})
	if err != nil || resp.GetVersion() == 0 {
		return err
	}
	document, err := unpack(resp.GetDocument())
	if err != nil {
		return err
	}
	if err := f.holder.SetManifest(resp.GetVersion(), document); err != nil {
		return err
	}
	f.logger.Info().Uint64("version", resp.GetVersion()).Int("bytes", len(resp.GetDocument())).Str("control", address).
		Dur("took", time.Since(began)).Msg("manifest in force")
	return nil
}
