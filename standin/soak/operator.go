package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// Schedule, API keys and failure domain of the operator's changes.
const (
	changeInterval   = 1500 * time.Millisecond
	readInterval     = 300 * time.Millisecond
	evacuateAfter    = 6 * time.Second
	evacuateDuration = 16 * time.Second
	revokeAfter      = 10 * time.Second
	retryDelay       = 200 * time.Millisecond
	keptKey          = "key-kept"
	revokedKey       = "key-revoked"
	evacuatedDomain  = "north-b"
	// Large settings are in force during a part of the run: many routes, changed often.
	largeAfter    = 3 * time.Second
	largeDuration = 8 * time.Second
	largeInterval = 200 * time.Millisecond
	largeRoutes   = 800 // about 200 KB
)

// operator changes the settings in the routing manifest during a run and checks that
// they can be read back.
type operator struct {
	client *platformtest.Client

	mu       sync.Mutex
	manifest platformtest.Manifest
	// ackedAt maps a manifest version to the time at which it was acknowledged.
	ackedAt map[uint64]time.Time
	// evacuatedDomain is out of service between these two times, which are zero until reached.
	evacuationAckedAt, restoreSentAt time.Time
	revokeSentAt                     time.Time
	revokeAckedAt                    time.Time
	violations                       []string
}

func newOperator(client *platformtest.Client) *operator {
	return &operator{client: client, ackedAt: map[uint64]time.Time{}, manifest: platformtest.Manifest{
		Host: manifestHost, Services: []platformtest.Service{{Name: plainService}, {Name: modelService, Engine: true}}, Keys: []string{keptKey, revokedKey},
		Routes: []platformtest.Route{
			{Name: "read", PathPrefix: readPath, Kind: platformtest.Idempotent, Service: plainService, Timeout: requestTimeout, MaxAttempts: 3},
			{Name: "write", PathPrefix: writePath, Kind: platformtest.NonIdempotent, Service: plainService, Timeout: requestTimeout, MaxAttempts: 2},
			{Name: "stream", PathPrefix: streamPath, Kind: platformtest.Streaming, Service: modelService, Timeout: requestTimeout, MaxAttempts: 4, Resumable: true},
			{Name: "moved", PathPrefix: movedPath, Kind: platformtest.Streaming, Service: modelService, Timeout: requestTimeout, MaxAttempts: 1},
		},
	}}
}

func (o *operator) setRouteTimeout(d time.Duration) {
	for i := range o.manifest.Routes {
		o.manifest.Routes[i].Timeout = d
	}
}

// putManifest increments the manifest version, applies change to it if not nil,
// and sends it until it is acknowledged or ctx is done.
func (o *operator) putManifest(ctx context.Context, change func(*platformtest.Manifest)) error {
	o.mu.Lock()
	o.manifest.Version++
	if change != nil {
		change(&o.manifest)
	}
	m := o.manifest
	o.mu.Unlock()
	err := retryUntilAccepted(ctx, func() error { return o.client.PutManifest(ctx, &m) })
	if err != nil {
		return fmt.Errorf("manifest %d: %w", m.Version, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ackedAt[m.Version] = time.Now()
	return nil
}

func retryUntilAccepted(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, retryDelay)
	}
}

// run changes the settings continuously until ctx is done. Meanwhile it takes a
// failure domain out of service, puts it back into service, and revokes a key.
// Changes that are not acknowledged when ctx is done are abandoned.
func (o *operator) run(ctx context.Context) {
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() { o.evacuateAndRestore(ctx, start) })
	all.Go(func() { o.checkReads(ctx) })
	all.Go(func() { o.changeLargeSettings(ctx, start) })
	for ctx.Err() == nil {
		sleep(ctx, changeInterval)
		var change func(*platformtest.Manifest)
		if o.revokeSentAt.IsZero() && time.Since(start) > revokeAfter {
			o.revokeSentAt = time.Now()
			change = func(m *platformtest.Manifest) { m.Keys = []string{keptKey} }
		}
		if o.putManifest(ctx, change) == nil && change != nil {
			o.revokeAckedAt = time.Now()
		}
	}
	all.Wait()
}

// changeLargeSettings adds many routes, other ones with each change, and removes them again.
func (o *operator) changeLargeSettings(ctx context.Context, start time.Time) {
	o.mu.Lock()
	own := slices.Clone(o.manifest.Routes)
	o.mu.Unlock()
	sleep(ctx, time.Until(start.Add(largeAfter)))
	for n := 0; ctx.Err() == nil && time.Since(start) < largeAfter+largeDuration; n++ {
		routes := slices.Clone(own)
		for i := range largeRoutes {
			extra := own[0]
			extra.Name, extra.PathPrefix = fmt.Sprintf("extra-%d-%d", n, i), fmt.Sprintf("/extra/%d/%d/", n, i)
			routes = append(routes, extra)
		}
		_ = o.putManifest(ctx, func(m *platformtest.Manifest) { m.Routes = routes }) // fails only at the end of the run
		sleep(ctx, largeInterval)
	}
	_ = o.putManifest(ctx, func(m *platformtest.Manifest) { m.Routes = own }) // as above
}

func (o *operator) evacuateAndRestore(ctx context.Context, start time.Time) {
	sleep(ctx, time.Until(start.Add(evacuateAfter)))
	if retryUntilAccepted(ctx, func() error { return o.client.SetDomain(ctx, evacuatedDomain, false) }) != nil {
		return
	}
	o.evacuationAckedAt = time.Now()
	sleep(ctx, evacuateDuration)
	o.restoreSentAt = time.Now()
	_ = retryUntilAccepted(ctx, func() error { return o.client.SetDomain(ctx, evacuatedDomain, true) }) // error ignored: the run may end before the domain is back in service
}

// changeBeforeKill changes the settings and takes the failure domain out of service, and
// returns as soon as that is acknowledged.
func (o *operator) changeBeforeKill(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformtest.RecoverWithin)
	defer cancel()
	err := retryUntilAccepted(ctx, func() error { return o.client.SetDomain(ctx, evacuatedDomain, false) })
	if err = errors.Join(err, o.putManifest(ctx, nil)); err != nil {
		o.violations = append(o.violations, fmt.Sprintf("a change is not acknowledged within %v after the faults: %v", platformtest.RecoverWithin, err))
	}
}

// checkReads checks that no control instance returns a version older than one
// acknowledged more than ApplyWithin ago.
func (o *operator) checkReads(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, readInterval)
		want := o.newestAckedVersion(time.Now().Add(-platformtest.ApplyWithin))
		got, err := o.client.ReadVersion(ctx, &o.client.Controls[n%len(o.client.Controls)])
		if err == nil && got < want {
			o.mu.Lock()
			o.violations = append(o.violations, fmt.Sprintf("%s answered with version %d after %d was acknowledged",
				o.client.Controls[n%len(o.client.Controls)].Name, got, want))
			o.mu.Unlock()
		}
	}
}

// newestAckedVersion returns the newest version acknowledged before the given
// time, or 0.
func (o *operator) newestAckedVersion(before time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for version, at := range o.ackedAt {
		if at.Before(before) {
			newest = max(newest, version)
		}
	}
	return newest
}

// checkAckedSettingsKept checks, after all faults, that every control instance
// returns at least the newest acknowledged version.
func (o *operator) checkAckedSettingsKept(ctx context.Context) {
	want := o.newestAckedVersion(time.Now())
	err := retryUntilAccepted(ctx, func() error {
		for i := range o.client.Controls {
			got, err := o.client.ReadVersion(ctx, &o.client.Controls[i])
			if err != nil {
				return err
			}
			if got < want {
				o.violations = append(o.violations, fmt.Sprintf("version %d was acknowledged, but version %d was read after the faults", want, got))
			}
		}
		return nil
	})
	if err != nil {
		o.violations = append(o.violations, errors.Join(errors.New("settings cannot be read after the faults"), err).Error())
	}
}
