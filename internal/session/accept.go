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

// maxLease bounds what an answer may grant; the control group counts on 2 s.
const maxLease = 2 * time.Second

// accept applies an answer's content and then extends the lease, which counts
// from the moment the request was sent. An answer that cannot be applied as a
// whole extends nothing. Only the renewal loop calls it, so the view does not
// change while the next one is built without the lock: parsing the settings of
// 1,800 client accounts takes tens of milliseconds, and Fresh must not wait.
func (s *Session) accept(id uint64, sent time.Time, resp *api.RenewResponse) error {
	if s.SessionID() != id {
		return resultcode.Newf(resultcode.SessionUnknown, "the session was replaced while it was renewed")
	}
	old := s.view.Load()
	if resp.GetVersion() < old.Version {
		s.metrics.refusedAnswers.Inc(1)
		return resultcode.Newf(resultcode.StaleEpoch, "answer of version %d, have %d", resp.GetVersion(), old.Version)
	}
	next := old
	if resp.GetVersion() > old.Version || !slices.Equal(resp.GetControlAddresses(), old.ControlAddresses) {
		var err error
		if next, err = nextView(old, resp); err != nil {
			return s.refuse(resultcode.From(err))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next != old {
		s.view.Store(next)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.extend(sent, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	return nil
}

func (s *Session) refuse(err *resultcode.Error) error {
	s.metrics.refusedAnswers.Inc(1)
	if err.Code == resultcode.InvariantViolation {
		s.metrics.invariantViolations.Inc(1)
		s.cfg.Timeline.Record("invariant_violation", "what", err.Message)
	}
	s.cfg.Logger.Error().Int("code", int(err.Code)).Msg(err.Message)
	return err
}

// extend moves the lease's end forward, never back. The caller holds mu.
func (s *Session) extend(sent time.Time, lease time.Duration) {
	end := sent.Add(min(lease, maxLease))
	if !s.leaseEnd.IsZero() && s.cfg.Now().After(s.leaseEnd) {
		s.metrics.lateLease.Inc(1)
	}
	if end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}

// nextView applies an answer to a view without changing it.
//
// Invariant: a team's revision never goes back, and one revision has one
// content.
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

func nextTeam(old Team, ts *api.TeamSettings) (Team, error) {
	text, err := textOf(old, ts)
	if err != nil {
		return Team{}, err
	}
	switch {
	case ts.GetRevision() < old.Revision:
		return Team{}, resultcode.Newf(resultcode.InvariantViolation,
			"team %q: revision %d after revision %d", ts.GetTeam(), ts.GetRevision(), old.Revision)
	case ts.GetRevision() == old.Revision && !bytes.Equal(text, old.text):
		return Team{}, resultcode.Newf(resultcode.InvariantViolation,
			"team %q: two contents at revision %d", ts.GetTeam(), ts.GetRevision())
	case ts.GetRevision() == old.Revision:
		return old, nil
	}
	parsed, err := settings.Parse(ts.GetTeam(), text)
	if err != nil {
		return Team{}, err
	}
	return Team{Revision: ts.GetRevision(), Settings: parsed, text: text}, nil
}

// textOf returns the whole text of a team's settings, which an answer may give
// as the difference to the revision that this instance has.
func textOf(old Team, ts *api.TeamSettings) ([]byte, error) {
	switch {
	case ts.GetBaseRevision() == 0:
		return ts.GetToml(), nil
	case ts.GetRevision() == old.Revision && ts.GetTextHash() == xxhash.Sum64(old.text):
		// The answer to a parallel renewal has brought this revision before.
		return old.text, nil
	case ts.GetBaseRevision() == old.Revision:
		d := settings.Delta{
			KeepPrefix: int(ts.GetKeepPrefix()), KeepSuffix: int(ts.GetKeepSuffix()), Middle: ts.GetToml(), Hash: ts.GetTextHash(),
		}
		return d.Apply(old.text)
	}
	return nil, resultcode.Newf(resultcode.InvariantViolation,
		"team %q: difference to revision %d, have %d", ts.GetTeam(), ts.GetBaseRevision(), old.Revision)
}
