package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// Pace of the operators.
const (
	changeEvery  = 1500 * time.Millisecond
	readEvery    = 300 * time.Millisecond
	outAfter     = 6 * time.Second
	outFor       = 16 * time.Second
	revokeAfter  = 10 * time.Second
	retryPause   = 200 * time.Millisecond
	keptKey      = "key-kept"
	revokedKey   = "key-revoked"
	outOfService = "north-b"
)

// operator changes the settings and reads them back.
type operator struct {
	calls *platformtest.Client

	mu       sync.Mutex
	manifest platformtest.Manifest
	// acked is when each version was acknowledged.
	acked map[uint64]time.Time
	// outAcked and backSent bound the time in which the failure domain is out.
	outAcked, backSent time.Time
	revokeSent         time.Time
	revokeAcked        time.Time
	violations         []string
}

func newOperator(calls *platformtest.Client) *operator {
	return &operator{calls: calls, acked: map[uint64]time.Time{}, manifest: platformtest.Manifest{
		Host: host, Services: []string{plainService, modelService}, Keys: []string{keptKey, revokedKey},
		Routes: []platformtest.Route{
			{Name: "read", PathPrefix: readPath, Kind: platformtest.Idempotent, Service: plainService, Timeout: requestTimeout, MaxAttempts: 3},
			{Name: "write", PathPrefix: writePath, Kind: platformtest.NonIdempotent, Service: plainService, Timeout: requestTimeout, MaxAttempts: 2},
			{Name: "stream", PathPrefix: streamPath, Kind: platformtest.Streaming, Service: modelService, Timeout: requestTimeout, MaxAttempts: 4, Resumable: true},
		},
	}}
}

// put sends the next version until it is acknowledged or ctx ends.
func (o *operator) put(ctx context.Context, change func(*platformtest.Manifest)) error {
	o.mu.Lock()
	o.manifest.Version++
	if change != nil {
		change(&o.manifest)
	}
	m := o.manifest
	o.mu.Unlock()
	err := untilAccepted(ctx, func() error { return o.calls.PutManifest(ctx, &m) })
	if err != nil {
		return fmt.Errorf("manifest %d: %w", m.Version, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[m.Version] = time.Now()
	return nil
}

func untilAccepted(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, retryPause)
	}
}

// run changes the settings all the time, takes a failure domain out and back
// and a key away, until ctx ends. Changes still waiting are given up then.
func (o *operator) run(ctx context.Context) {
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() { o.evacuate(ctx, start) })
	all.Go(func() { o.readBack(ctx) })
	for ctx.Err() == nil {
		pause(ctx, changeEvery)
		var change func(*platformtest.Manifest)
		if o.revokeSent.IsZero() && time.Since(start) > revokeAfter {
			o.revokeSent = time.Now()
			change = func(m *platformtest.Manifest) { m.Keys = []string{keptKey} }
		}
		if o.put(ctx, change) == nil && change != nil {
			o.revokeAcked = time.Now()
		}
	}
	all.Wait()
}

func (o *operator) evacuate(ctx context.Context, start time.Time) {
	pause(ctx, time.Until(start.Add(outAfter)))
	if untilAccepted(ctx, func() error { return o.calls.SetDomain(ctx, outOfService, false) }) != nil {
		return
	}
	o.outAcked = time.Now()
	pause(ctx, outFor)
	o.backSent = time.Now()
	_ = untilAccepted(ctx, func() error { return o.calls.SetDomain(ctx, outOfService, true) }) // it may stay out
}

// readBack checks that no control instance answers with an older version than
// one that was acknowledged long enough ago.
func (o *operator) readBack(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, readEvery)
		want := o.newestAcked(time.Now().Add(-platformtest.ApplyWithin))
		got, err := o.calls.ReadVersion(ctx, &o.calls.Controls[n%len(o.calls.Controls)])
		if err == nil && got < want {
			o.mu.Lock()
			o.violations = append(o.violations, fmt.Sprintf("%s answered with version %d after %d was acknowledged",
				o.calls.Controls[n%len(o.calls.Controls)].Name, got, want))
			o.mu.Unlock()
		}
	}
}

// newestAcked returns the newest version acknowledged before a time.
func (o *operator) newestAcked(before time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for version, at := range o.acked {
		if at.Before(before) {
			newest = max(newest, version)
		}
	}
	return newest
}

// checkKept reads the settings after all faults: what was acknowledged is there.
func (o *operator) checkKept(ctx context.Context) {
	want := o.newestAcked(time.Now())
	err := untilAccepted(ctx, func() error {
		for i := range o.calls.Controls {
			got, err := o.calls.ReadVersion(ctx, &o.calls.Controls[i])
			if err != nil {
				return err
			}
			if got < want {
				o.violations = append(o.violations, fmt.Sprintf("version %d was acknowledged, %d is left", want, got))
			}
		}
		return nil
	})
	if err != nil {
		o.violations = append(o.violations, errors.Join(errors.New("settings cannot be read after the faults"), err).Error())
	}
}
