// Package streamversion remembers which software version of a service's targets began a
// stream, so that whoever takes the stream up continues it at that version.
//
// Invariant: a stream is never said to have another version than the one that began it;
// it may be forgotten. Crash case: entry instances keep their records in memory and give
// them to control instances in several failure domains, again to those that have restarted;
// a stream that nobody remembers is continued only if its service has one version.
package streamversion

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Record says which version began a stream.
type Record struct {
	Service string
	Version string
	// Split is set if the stream's route has several services.
	Split bool
	// Until is when no caller takes the stream up any more.
	Until time.Time
}

// validate returns an error unless the record and the stream's ID can be passed on.
func (r *Record) validate(id string) error {
	const code = resultcode.MessageMalformed
	if err := identifier.CheckID(code, "stream", id); err != nil {
		return err
	}
	return fleet.ServiceVersion{Service: r.Service, Version: r.Version}.Validate()
}

// Store holds records by the ID of the caller attempt that brought a stream's first
// event. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu      sync.Mutex
	records *lru.LRU[string, Record]
}

// NewStore returns an empty Store that forgets the oldest records beyond size.
func NewStore(size int, now func() time.Time) *Store {
	records, err := lru.NewLRU[string, Record](size, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Store{now: now, records: records}
}

// Record keeps a record until it ends.
func (s *Store) Record(id string, r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Add(id, r)
	s.dropEnded()
}

// dropEnded removes the ended records among the oldest. The caller holds s.mu.
func (s *Store) dropEnded() {
	now := s.now()
	for {
		_, oldest, ok := s.records.GetOldest()
		if !ok || now.Before(oldest.Until) {
			return
		}
		s.records.RemoveOldest()
	}
}

// all returns the records that have not ended.
func (s *Store) all() map[string]Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropEnded()
	out := map[string]Record{}
	for _, id := range s.records.Keys() {
		if r, ok := s.records.Peek(id); ok && s.now().Before(r.Until) {
			out[id] = r
		}
	}
	return out
}

// Finding is what is known of a stream that a caller takes up.
type Finding struct {
	// Service and Version began the stream, if Known is set.
	Service, Version string
	Known            bool
	// Versions holds further versions that targets of the service have run. They are all
	// if Complete is set: a majority of the control instances has answered.
	Versions []string
	Complete bool
}

// Find returns what is known of a stream. An instance that uses a Store alone has no
// control instances to ask.
func (s *Store) Find(_ context.Context, _, id string) Finding {
	r, known := s.find(id)
	f := findingOf(r, known)
	f.Complete = true
	return f
}

func findingOf(r Record, known bool) Finding {
	return Finding{Service: r.Service, Version: r.Version, Known: known}
}

func (s *Store) find(id string) (r Record, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known = s.records.Peek(id)
	if !known || !s.now().Before(r.Until) {
		return Record{}, false
	}
	return r, true
}
