package session

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// maxLease bounds the lease that a response may grant. The control group
// computes session expiry on the assumption that no lease lasts longer than 2 s.
const maxLease = 2 * time.Second

// applyRenewal applies the response to a renewal of the session with the given id
// and then extends the lease, which starts when the request was sent. If any part
// of the response is invalid, neither the view nor the lease changes.
//
// The next view is built without holding mu, because parsing the settings of
// 1,800 client accounts takes tens of milliseconds and Fresh must not block for
// that long. The view cannot change in the meantime, because only the renewal
// loop calls applyRenewal.
func (s *Session) applyRenewal(id uint64, sent time.Time, resp *api.RenewResponse) error {
	if s.SessionID() != id {
		return resultcode.Newf(resultcode.SessionUnknown, "the session was replaced while the renewal was in progress")
	}
	old := s.view.Load()
	if resp.GetVersion() < old.Version {
		s.metrics.refusedResponses.Inc(1)
		return resultcode.Newf(resultcode.StaleEpoch, "response has version %d, already at version %d", resp.GetVersion(), old.Version)
	}
	next := old
	if resp.GetVersion() > old.Version || !slices.Equal(resp.GetControlAddresses(), old.ControlAddresses) {
		var err error
		if next, err = nextView(old, resp); err != nil {
			return s.recordRefusal(resultcode.From(err))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next != old {
		s.view.Store(next)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.extendLease(sent, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	return nil
}

// recordRefusal logs and counts a response that could not be applied and
// returns err.
func (s *Session) recordRefusal(err *resultcode.Error) error {
	s.metrics.refusedResponses.Inc(1)
	if err.Code == resultcode.InvariantViolation {
		s.metrics.invariantViolations.Inc(1)
		s.cfg.Timeline.Record("invariant_violation", "what", err.Message)
	}
	s.cfg.Logger.Error().Int("code", int(err.Code)).Msg(err.Message)
	return err
}

// extendLease moves the end of the lease to sent+lease (lease is capped at
// maxLease) if that is later than the current end. The caller must hold mu.
func (s *Session) extendLease(sent time.Time, lease time.Duration) {
	end := sent.Add(min(lease, maxLease))
	if !s.leaseEnd.IsZero() && s.cfg.Now().After(s.leaseEnd) {
		s.metrics.leaseLapses.Inc(1)
	}
	if end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}

// nextView returns a copy of old with the changes from resp applied; old itself
// is not modified. A view is this instance's copy of the control group's state
// at one version.
//
// Invariant: a team's settings revision never decreases, and a revision always
// has the same content.
func nextView(old *View, resp *api.RenewResponse) (*View, error) {
	next := &View{
		Version:          resp.GetVersion(),
		Teams:            old.Teams,
		Instances:        old.Instances,
		Assignments:      old.Assignments,
		ControlAddresses: resp.GetControlAddresses(),
	}
	if len(resp.GetSettings()) > 0 {
		next.Teams = maps.Clone(old.Teams)
	}
	for _, ts := range resp.GetSettings() {
		team, err := nextTeam(old.Teams[ts.GetTeam()], ts)
		if err != nil {
			return nil, err
		}
		next.Teams[ts.GetTeam()] = team
	}
	if resp.GetInstancesChanged() {
		next.Instances = resp.GetInstances()
	}
	if resp.GetAssignmentsChanged() {
		next.Assignments = make(map[ShardKey]*api.Assignment, len(resp.GetAssignments()))
		for _, a := range resp.GetAssignments() {
			next.Assignments[KeyOf(a.GetShard())] = a
		}
	}
	return next, nil
}

// nextTeam returns the team's settings after applying ts to old, the settings
// in the current view.
func nextTeam(old Team, ts *api.TeamSettings) (Team, error) {
	text, err := fullSettingsText(old, ts)
	if err != nil {
		return Team{}, err
	}
	switch {
	case ts.GetRevision() < old.Revision:
		return Team{}, resultcode.Newf(resultcode.InvariantViolation,
			"team %q: revision %d after revision %d", ts.GetTeam(), ts.GetRevision(), old.Revision)
	case ts.GetRevision() == old.Revision && !bytes.Equal(text, old.text):
		return Team{}, resultcode.Newf(resultcode.InvariantViolation,
			"team %q: two different contents at revision %d", ts.GetTeam(), ts.GetRevision())
	case ts.GetRevision() == old.Revision:
		return old, nil
	}
	parsed, err := settings.Parse(ts.GetTeam(), text)
	if err != nil {
		return Team{}, err
	}
	return Team{Revision: ts.GetRevision(), Settings: parsed, text: text}, nil
}

// fullSettingsText returns the complete TOML text of a team's settings. A
// response contains either the complete text or a delta from the revision that
// this instance already has.
func fullSettingsText(old Team, ts *api.TeamSettings) ([]byte, error) {
	switch {
	case ts.GetBaseRevision() == 0:
		return ts.GetToml(), nil
	case ts.GetRevision() == old.Revision && ts.GetTextHash() == xxhash.Sum64(old.text):
		// The delta is not needed, because the response to a parallel renewal
		// already delivered this revision.
		return old.text, nil
	case ts.GetBaseRevision() == old.Revision:
		d := settings.Delta{
			KeepPrefix: int(ts.GetKeepPrefix()), KeepSuffix: int(ts.GetKeepSuffix()), Middle: ts.GetToml(), Hash: ts.GetTextHash(),
		}
		return d.Apply(old.text)
	}
	return nil, resultcode.Newf(resultcode.InvariantViolation,
		"team %q: delta is based on revision %d, already at revision %d", ts.GetTeam(), ts.GetBaseRevision(), old.Revision)
}
