package fleet

import (
	"context"
	"time"

	"github.com/endivetrack/endivetrack/api"
)

const (
	// maxWatchWait bounds how long a poll is held.
	maxWatchWait = 2 * time.Second
	// loadUnit is the value of a watcher's reported load that stands for the planned
	// work of one instance.
	loadUnit = 1000
)

// Watch responds as soon as there are changes that the watcher has not applied, or
// after the requested wait. Changes of announcements are gathered first.
func (s *Server) Watch(ctx context.Context, req *api.FleetWatchRequest) (*api.FleetWatchResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatchWait)
	cursor := req.GetCursor()
	if req.GetEpoch() != s.epoch {
		cursor = 0
	}
	end := s.watchers.BeginPoll(s.watcherOf(req), cursor, wait)
	s.watchers.SetLoad(req.GetWatcher().GetName(), float64(req.GetWatcher().GetLoad())/loadUnit)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		state, stateChanged := s.machine.State()
		announcements, last, registryChanged := s.registry.Since(cursor)
		if state.Index > req.GetStateIndex() || len(announcements) > 0 || req.GetEpoch() != s.epoch {
			end(false)
			return s.watchResponse(req, state, announcements, last), nil
		}
		select {
		case <-stateChanged:
		case <-registryChanged:
			s.gatherChanges(ctx, cursor, s.watchers.GatherTimes(req.GetWatcher().GetName()), stateChanged)
		case <-timeout.C:
			end(false)
			return s.watchResponse(req, state, nil, last), nil
		case <-ctx.Done():
			end(true)
			return nil, ctx.Err()
		}
	}
}

// watcherOf returns the sender of a poll. An instance of an earlier version, whose name or
// address others cannot be told, gets its answer but is not listed.
func (s *Server) watcherOf(req *api.FleetWatchRequest) Watcher {
	w := watcherFromProto(req.GetWatcher())
	if w.Validate() != nil {
		s.metrics.Counter("fleet.watchers_dropped").Inc(1)
		w.Address, w.InternalAddress = "", ""
	}
	return w
}

// watchResponse builds a response with those parts of the state that the watcher
// does not have yet.
func (s *Server) watchResponse(req *api.FleetWatchRequest, state *State, announcements []Announcement, last uint64) *api.FleetWatchResponse {
	live, version := s.watchers.EntryInstances()
	out := &api.FleetWatchResponse{Epoch: s.epoch, Cursor: last, Control: s.controlAddresses(), EntriesVersion: version, Region: s.region, FailureDomain: s.failureDomain}
	if out.EntriesVersion != req.GetEntriesVersion() {
		for i := range live {
			out.Entries = append(out.Entries, watcherToProto(&live[i]))
		}
	}
	if state.Index > req.GetStateIndex() {
		out.State = stateToProto(state)
	}
	for i := range announcements {
		out.Announcements = append(out.Announcements, announcementToProto(&announcements[i]))
	}
	return out
}

// Manifest returns the newest manifest that this instance has applied, with the
// document compressed.
func (s *Server) Manifest(context.Context, *api.FleetManifestRequest) (*api.FleetManifestResponse, error) {
	state, _ := s.machine.State()
	return &api.FleetManifestResponse{Version: state.ManifestVersion, Document: state.compressedManifest}, nil
}
