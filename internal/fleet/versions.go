package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/api"
)

const (
	// versionRetention is how long a version stays in the replicated state after its last
	// target was seen. It exceeds the life of any stream that the version began.
	versionRetention = 3 * time.Minute
	// versionRefresh is the time after which the leader is told again that a version has
	// targets, and versionRetry the same for a version that the state does not have yet.
	versionRefresh = 30 * time.Second
	versionRetry   = 500 * time.Millisecond
	// maxVersions bounds the versions in the replicated state.
	maxVersions = 256
)

// ServiceVersion is a software version of a service's targets.
type ServiceVersion struct{ Service, Version string }

func (v ServiceVersion) toProto() *api.FleetServiceVersion {
	return &api.FleetServiceVersion{Service: v.Service, Version: v.Version}
}

func serviceVersionFromProto(p *api.FleetServiceVersion) ServiceVersion {
	return ServiceVersion{Service: p.GetService(), Version: p.GetVersion()}
}

func (s *State) hasVersion(v ServiceVersion) bool { return slices.Contains(s.Versions, v) }

// versionKeeper keeps the versions in the replicated state up to date: each control
// instance tells the leader what it sees, and the leader commits changes.
type versionKeeper struct {
	server *Server

	mu       sync.Mutex
	lastSeen map[ServiceVersion]seenVersion
	// leaderSince is when this instance began to lead the group; zero if it does not.
	leaderSince time.Time
}

type seenVersion struct {
	at     time.Time
	toldAt time.Time // when the other control instances were last told
}

func newVersionKeeper(s *Server) *versionKeeper {
	return &versionKeeper{server: s, lastSeen: map[ServiceVersion]seenVersion{}}
}

// seen records that a target of a service runs a version, as it or another control
// instance says.
func (k *versionKeeper) seen(service, version string) {
	if service == "" {
		return // a Gone announcement names no service
	}
	v := ServiceVersion{service, version}
	k.mu.Lock()
	k.lastSeen[v] = seenVersion{at: k.server.now(), toldAt: k.lastSeen[v].toldAt}
	k.mu.Unlock()
	if state, _ := k.server.machine.State(); !state.hasVersion(v) {
		k.sweep(context.Background())
	}
}

// sweep tells the leader of the versions seen here or, at the leader, commits the changes
// of the state.
func (k *versionKeeper) sweep(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.server.now()
	maps.DeleteFunc(k.lastSeen, func(_ ServiceVersion, s seenVersion) bool { return now.Sub(s.at) > versionRetention })
	if !k.server.leads() {
		k.leaderSince = time.Time{}
		k.tellOthers(now)
		return
	}
	if k.leaderSince.IsZero() {
		k.leaderSince = now
	}
	k.server.commits.start(ctx, k.dueChanges(now))
}

// tellOthers relays each version that the leader may not know. The caller holds k.mu.
func (k *versionKeeper) tellOthers(now time.Time) {
	state, _ := k.server.machine.State()
	var due []*api.FleetServiceVersion
	for v, s := range k.lastSeen {
		interval := versionRefresh
		if !state.hasVersion(v) {
			interval = versionRetry
		}
		if now.Sub(s.toldAt) < interval || s.at.Before(s.toldAt) {
			continue
		}
		s.toldAt = now
		k.lastSeen[v] = s
		due = append(due, v.toProto())
	}
	if len(due) > 0 {
		k.server.relay(&api.FleetRelayRequest{Versions: due})
	}
}

// dueChanges returns the changes that the state needs. A version is removed only by a
// leader that would have been told of its targets. The caller holds k.mu.
func (k *versionKeeper) dueChanges(now time.Time) []*api.FleetChange {
	state, _ := k.server.machine.State()
	var changes []*api.FleetChange
	for v := range k.lastSeen {
		if !state.hasVersion(v) && len(state.Versions) < maxVersions {
			changes = append(changes, &api.FleetChange{Change: &api.FleetChange_AddVersion{AddVersion: v.toProto()}})
		}
	}
	if now.Sub(k.leaderSince) <= versionRetention {
		return changes
	}
	for _, v := range state.Versions {
		if _, seen := k.lastSeen[v]; !seen {
			changes = append(changes, &api.FleetChange{Change: &api.FleetChange_RemoveVersion{RemoveVersion: v.toProto()}})
		}
	}
	return changes
}
