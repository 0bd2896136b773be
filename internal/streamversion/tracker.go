package streamversion

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
	"github.com/endivetrack/endivetrack/internal/wakeup"
)

const (
	// maxTrackedRecords bounds the streams that an entry instance remembers.
	maxTrackedRecords = 4096
	// sendInterval is the minimum time between two batches of records, and
	// sendIntervalPerEntry the same for each entry instance: many of them together must
	// not occupy the control instances.
	sendInterval         = 20 * time.Millisecond
	sendIntervalPerEntry = time.Millisecond
	// retryInterval replaces sendInterval while no control instance accepts records.
	retryInterval = 200 * time.Millisecond
	// copies is how many control instances, in different failure domains, get each record.
	copies      = 2
	sendTimeout = 400 * time.Millisecond
	// findTimeout bounds how long a take-up waits for the control instances.
	findTimeout = 300 * time.Millisecond
)

// Controls knows the control instances that an entry instance follows.
type Controls interface {
	// Nearest returns them in the order in which they are tried: one of each failure domain,
	// nearest first, then the others.
	Nearest() []string
	// Addresses returns all of them, reachable or not.
	Addresses() []string
	// Quorum returns how many of them are a majority.
	Quorum() int
	// Started receives a value after one of them has started without any record.
	Started() <-chan struct{}
}

// Tracker keeps the streams of an entry instance. While a service has several versions, or
// a route several services, it gives its records to control instances; otherwise nothing
// has to be known.
type Tracker struct {
	store      *Store
	views      *fleet.ViewStore
	controls   Controls
	peerClient *http.Client
	metrics    tally.Scope
	now        func() time.Time

	mu      sync.Mutex
	unsent  map[string]Record
	changed wakeup.Flag
}

// NewTracker returns a Tracker without records. Run must be called for records to reach
// control instances.
func NewTracker(views *fleet.ViewStore, controls Controls, peerClient *http.Client, metrics tally.Scope, now func() time.Time) *Tracker {
	return &Tracker{
		store: NewStore(maxTrackedRecords, now), views: views, controls: controls, peerClient: peerClient, metrics: metrics, now: now,
		unsent: map[string]Record{}, changed: wakeup.New(),
	}
}

// Record keeps a record here and, while it is needed, at control instances. One that no
// message can hold would keep all others of its batch from being sent.
func (t *Tracker) Record(id string, r Record) {
	t.store.Record(id, r)
	if r.validate(id) != nil {
		t.metrics.Counter("streams.records_dropped").Inc(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent[id] = r
	if len(t.unsent) > maxTrackedRecords {
		t.dropEnded()
	}
	if t.mustSend(r) {
		t.changed.Set()
	}
}

// dropEnded forgets the unsent records that ended, and any others beyond the bound. The
// caller holds t.mu.
func (t *Tracker) dropEnded() {
	now := t.now()
	for id, r := range t.unsent {
		if !now.Before(r.Until) || len(t.unsent) > maxTrackedRecords {
			delete(t.unsent, id)
		}
	}
}

// sendAllAgain makes the records of all running streams unsent.
func (t *Tracker) sendAllAgain() {
	running := t.store.all()
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(running, func(id string, r Record) bool { return r.validate(id) != nil })
	maps.Copy(t.unsent, running)
	t.dropEnded()
}

// mustSend reports whether a take-up of the stream cannot do without its record.
func (t *Tracker) mustSend(r Record) bool {
	view, _ := t.views.View()
	return r.Split || len(view.Versions(r.Service)) > 1
}

// Run sends records to control instances until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for {
		select { // here too, since batches may follow one another without a pause below
		case <-t.controls.Started():
			t.sendAllAgain()
		default:
		}
		view, viewChanged := t.views.View()
		if batch := t.dueRecords(); len(batch) > 0 {
			pause := max(sendInterval, time.Duration(view.EntryCount())*sendIntervalPerEntry)
			if !t.send(ctx, batch) {
				pause = max(pause, retryInterval)
			}
			if !sleep.For(ctx, pause) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-t.changed.C():
		case <-viewChanged:
		case <-t.controls.Started():
			t.sendAllAgain()
		}
	}
}

// dueRecords returns the unsent records that must be sent.
func (t *Tracker) dueRecords() map[string]Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropEnded()
	due := map[string]Record{}
	for id, r := range t.unsent {
		if t.mustSend(r) {
			due[id] = r
		}
	}
	return due
}

// send gives a batch to the nearest control instances of different failure domains. The
// records stay unsent if none accepts them; send then returns false.
func (t *Tracker) send(ctx context.Context, batch map[string]Record) bool {
	m := &api.StreamVersionRecords{}
	now := t.now()
	for id, r := range batch {
		m.Records = append(m.Records, encodeRecord(id, r, now))
	}
	accepted := 0
	for _, address := range t.controls.Nearest() {
		if accepted == copies {
			break
		}
		if err := t.sendTo(ctx, address, m); err != nil {
			t.metrics.Counter("streams.not_recorded").Inc(1)
			continue
		}
		accepted++
	}
	if accepted == 0 {
		return false
	}
	t.metrics.Counter("streams.recorded").Inc(int64(len(batch)))
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range batch {
		if t.unsent[id] == r {
			delete(t.unsent, id)
		}
	}
	return true
}

func (t *Tracker) sendTo(ctx context.Context, address string, m *api.StreamVersionRecords) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := api.NewStreamVersionCommandProtobufClient("http://"+address, t.peerClient).Record(ctx, m)
	return err
}

// Find returns what this instance knows of a stream and, if it does not know the version
// that began it, what the control instances know.
func (t *Tracker) Find(ctx context.Context, service, id string) Finding {
	if r, known := t.store.find(id); known {
		return findingOf(r, known)
	}
	if identifier.CheckID(resultcode.BadRequest, "stream", id) != nil {
		id = "" // no stream has it, but the versions have to be known
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses := t.controls.Addresses()
	answers := make(chan *api.StreamVersionFinding, len(addresses))
	for _, address := range addresses {
		go func() { answers <- t.ask(ctx, address, service, id) }()
	}
	var f Finding
	answered := 0
	for range addresses {
		a := <-answers
		if a == nil {
			continue
		}
		answered++
		if a.GetKnown() {
			return Finding{Service: a.GetService(), Version: a.GetVersion(), Known: true}
		}
		f.Versions = append(f.Versions, a.GetVersions()...)
	}
	slices.Sort(f.Versions)
	f.Versions = slices.Compact(f.Versions)
	f.Complete = answered >= t.controls.Quorum()
	return f
}

// ask returns what one control instance knows, or nil if it does not answer.
func (t *Tracker) ask(ctx context.Context, address, service, id string) *api.StreamVersionFinding {
	found, err := api.NewStreamVersionQueryProtobufClient("http://"+address, t.peerClient).Find(ctx, &api.StreamVersionRequest{Id: id, Service: service})
	if err != nil {
		t.metrics.Counter("streams.not_asked").Inc(1)
		return nil
	}
	return found
}
