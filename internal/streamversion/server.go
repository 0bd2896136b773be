package streamversion

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/age"
)

// maxServerRecords bounds the streams that a control instance remembers.
const maxServerRecords = 1 << 16

// Server keeps the records of all entry instances on a control instance.
type Server struct {
	store   *Store
	metrics tally.Scope
	now     func() time.Time
	// versions returns the software versions that a service's targets have announced here.
	versions func(service string) []string
}

// NewServer returns a Server without records.
func NewServer(versions func(service string) []string, metrics tally.Scope, now func() time.Time) *Server {
	return &Server{store: NewStore(maxServerRecords, now), metrics: metrics, now: now, versions: versions}
}

// Handlers returns the handlers for calls from entry instances, by path prefix.
func (s *Server) Handlers() map[string]http.Handler {
	return map[string]http.Handler{
		api.StreamVersionCommandPathPrefix: api.NewStreamVersionCommandServer(s),
		api.StreamVersionQueryPathPrefix:   api.NewStreamVersionQueryServer(s),
	}
}

// Record keeps the records of an entry instance. One of an earlier version may send some
// with IDs that others cannot be asked for; the others hold.
func (s *Server) Record(_ context.Context, m *api.StreamVersionRecords) (*api.StreamVersionRecorded, error) {
	now := s.now()
	for _, r := range m.GetRecords() {
		record := Record{Service: r.GetService(), Version: r.GetVersion(), Until: now.Add(time.Duration(r.GetLeftMs()) * time.Millisecond)}
		if record.validate(r.GetId()) != nil {
			s.metrics.Counter("streams.records_dropped").Inc(1)
			continue
		}
		s.store.Record(r.GetId(), record)
	}
	return &api.StreamVersionRecorded{}, nil
}

// Find returns what this instance knows of a stream and its service.
func (s *Server) Find(_ context.Context, m *api.StreamVersionRequest) (*api.StreamVersionFinding, error) {
	r, known := s.store.find(m.GetId())
	return &api.StreamVersionFinding{Known: known, Service: r.Service, Version: r.Version, Versions: s.versions(m.GetService())}, nil
}

func encodeRecord(id string, r Record, now time.Time) *api.StreamVersionRecord {
	return &api.StreamVersionRecord{Id: id, Service: r.Service, Version: r.Version, LeftMs: age.Millis(r.Until.Sub(now))}
}
