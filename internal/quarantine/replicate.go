package quarantine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

const (
	// reportSpread, for each entry instance, is the time over which they spread their
	// reports: they decide alike at the same moment, and one report suffices.
	reportSpread  = 2 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond
	// reportRetry follows a report that no control instance has accepted.
	reportRetry = 500 * time.Millisecond
)

// Controls knows the control instances, nearest first.
type Controls interface{ Nearest() []string }

// Replicator keeps the quarantines of an entry instance and those of the replicated state
// alike.
type Replicator struct {
	store      *Store
	views      *fleet.ViewStore
	controls   Controls
	peerClient *http.Client
	metrics    tally.Scope
	reported   map[string]fleet.QuarantineRecord // by key: the states that a control instance has accepted
}

// NewReplicator returns a Replicator. Nothing is replicated before Run is called.
func NewReplicator(store *Store, views *fleet.ViewStore, controls Controls, peerClient *http.Client, metrics tally.Scope) *Replicator {
	return &Replicator{store: store, views: views, controls: controls, peerClient: peerClient, metrics: metrics, reported: map[string]fleet.QuarantineRecord{}}
}

// Run adopts the quarantines of the replicated state and reports those that it lacks,
// until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	for {
		view, viewChanged := r.views.View()
		r.store.adoptReplicated(view.Quarantines)
		if len(r.unreported()) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-viewChanged:
			case <-r.store.recordsChanged.C():
			}
			continue
		}
		pause := rand.N(time.Duration(view.EntryCount()) * reportSpread)
		if !sleep.For(ctx, pause) {
			return
		}
		if due := r.unreported(); len(due) > 0 && !r.report(ctx, due) && !sleep.For(ctx, reportRetry) {
			return
		}
	}
}

// unreported returns the records that neither the replicated state nor a report of this
// instance has in their present state, and forgets the reports that are of no use.
func (r *Replicator) unreported() []fleet.QuarantineRecord {
	view, _ := r.views.View()
	known := map[string]*fleet.QuarantineRecord{}
	for i := range view.Quarantines {
		known[key(view.Quarantines[i].Parts)] = &view.Quarantines[i]
	}
	var due []fleet.QuarantineRecord
	records := r.store.records()
	for k, q := range records {
		if q.Validate() != nil {
			continue // no control instance would accept it
		}
		reported, isReported := r.reported[k]
		if inState := known[k]; (inState == nil || q.Supersedes(inState)) && (!isReported || q.Supersedes(&reported)) {
			due = append(due, q)
		}
	}
	for k := range r.reported {
		if _, exists := records[k]; !exists {
			delete(r.reported, k)
		}
	}
	return due
}

// report gives records to the nearest control instance that can commit them. It returns
// false if none can.
func (r *Replicator) report(ctx context.Context, due []fleet.QuarantineRecord) bool {
	m := &api.FleetQuarantineRequest{}
	now := r.store.now()
	for i := range due {
		m.Quarantines = append(m.Quarantines, encodeReport(&due[i], now))
	}
	for _, address := range r.controls.Nearest() {
		if err := r.reportTo(ctx, address, m); err != nil {
			r.metrics.Counter("quarantine.not_replicated").Inc(1)
			continue
		}
		r.metrics.Counter("quarantine.replicated").Inc(int64(len(due)))
		for _, q := range due {
			r.reported[key(q.Parts)] = q
		}
		return true
	}
	return false
}

func (r *Replicator) reportTo(ctx context.Context, address string, m *api.FleetQuarantineRequest) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := api.NewFleetCommandProtobufClient("http://"+address, r.peerClient).Quarantine(ctx, m)
	return err
}

// records returns the quarantines that have not ended, by key.
func (s *Store) records() map[string]fleet.QuarantineRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := map[string]fleet.QuarantineRecord{}
	for k, r := range s.quarantines {
		if now.Before(r.Until) {
			out[k] = r.replicated()
		}
	}
	return out
}

// adoptReplicated adds the records of the replicated state that are newer than the known
// ones.
func (s *Store) adoptReplicated(records []fleet.QuarantineRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for i := range records {
		q := &records[i]
		if known := s.quarantines[key(q.Parts)]; known != nil {
			if state := known.replicated(); !q.Supersedes(&state) {
				continue
			}
		}
		if now.After(q.ForgottenAt()) {
			continue
		}
		changedAt := q.Since
		if q.Lifted {
			changedAt = now
		}
		s.adopt(&record{Quarantine: Quarantine{Parts: q.Parts, Since: q.Since, Until: q.Until, Times: q.Times}, lifted: q.Lifted, changedAt: changedAt}, "replicated state", now)
	}
}

// replicated returns the record as it is in the replicated state.
func (r *record) replicated() fleet.QuarantineRecord {
	return fleet.QuarantineRecord{Parts: r.Parts, Since: r.Since, Until: r.Until, Times: r.Times, Lifted: r.lifted}
}
