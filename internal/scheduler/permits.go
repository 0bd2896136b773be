package scheduler

import (
	"maps"
	"time"

	"github.com/endivetrack/endivetrack/api"
)

// Rules of reconciliation with holders' reports.
const (
	// missedReports is how many successive full reports of the holder may
	// lack a permit before it is reclaimed.
	missedReports = 2
	// grantGrace is how old a permit must be for a report to miss it: the
	// report may have left the holder before the grant arrived there.
	grantGrace = 500 * time.Millisecond
	// releasedTTL is how long a released permit is not taken up again from a
	// report that was sent before the release.
	releasedTTL = 5 * time.Second
)

// permit is the right of a holder to run one request at a target.
type permit struct {
	id       string
	target   *target
	holder   uint64
	class    *api.RequestClass
	granted  time.Time
	missed   int
	progress *api.Progress
}

func (s *Shard) add(p *permit) {
	s.permits[p.id] = p
	p.target.inFlight++
}

func (s *Shard) remove(p *permit) {
	delete(s.permits, p.id)
	p.target.inFlight--
}

func (s *Shard) proto(p *permit) *api.Permit {
	a := p.target.announcement
	return &api.Permit{Id: p.id, Target: p.target.name, Address: a.GetAddress(), FailureDomain: a.GetFailureDomain(), Epoch: s.epoch}
}

// Release ends a permit. It returns false when the session does not hold it:
// another instance serves the generation now.
func (s *Shard) Release(holder uint64, reason api.ReleaseReason, final *api.Progress, now time.Time) bool {
	p := s.permits[final.GetPermitId()]
	if p == nil || p.holder != holder {
		return false
	}
	s.remove(p)
	s.released[p.id] = now
	return true
}

// Report takes a holder's full list of permits. Permits that the shard does
// not know are taken up: the holder runs them, whatever the owner remembers.
func (s *Shard) Report(holder uint64, list []*api.Progress, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, progress := range list {
		id := progress.GetPermitId()
		listed[id] = true
		p := s.permits[id]
		if p == nil {
			if _, gone := s.released[id]; gone {
				continue
			}
			p = &permit{id: id, target: s.target(progress.GetTarget()), holder: holder, class: progress.GetRequest(), granted: now}
			s.add(p)
		}
		if p.holder != holder {
			continue
		}
		p.missed, p.progress = 0, progress
	}
	for id, p := range s.permits {
		if p.holder != holder || listed[id] || now.Sub(p.granted) < grantGrace {
			continue
		}
		if p.missed++; p.missed >= missedReports {
			s.remove(p)
			s.totals.Reclaimed++
		}
	}
}

// Transfer moves a permit to another holder. A permit that the shard does not
// know yet is taken up: the target resumes the generation in any case.
func (s *Shard) Transfer(to uint64, id, targetName string, now time.Time) *api.Permit {
	p := s.permits[id]
	if p == nil {
		t := s.targets[targetName]
		if _, gone := s.released[id]; gone || t == nil || t.announcement == nil {
			return nil
		}
		p = &permit{id: id, target: t, granted: now}
		s.add(p)
	}
	p.holder, p.missed, p.granted = to, 0, now
	return s.proto(p)
}

// KeepHolders reclaims the permits of holders whose session is not live.
func (s *Shard) KeepHolders(live map[uint64]bool) {
	for _, p := range s.permits {
		if !live[p.holder] {
			s.remove(p)
			s.totals.Reclaimed++
		}
	}
}

// Tick does the shard's periodic work.
func (s *Shard) Tick(now time.Time) {
	maps.DeleteFunc(s.released, func(_ string, at time.Time) bool { return now.Sub(at) > releasedTTL })
	s.forgetSilent(now)
}
