// Package service is a stand-in for a plain service that runs beside the
// engines. It serves reads and calls that must not run twice. It counts its
// executions per idempotency key and per request id, so that checks do not
// depend on what the system reports.
package service

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/standin/announce"
	"github.com/endivetrack/endivetrack/standin/netfault"
)

const maxBodyBytes = 16 << 20

// Config holds the identity and timing of one service target.
type Config struct {
	Team, Service, Target string
	Region, FailureDomain string
	Seed                  uint64
	// Latency is the time each call takes.
	Latency time.Duration
	// LeavingAccept is how long calls are accepted after the leaving announcement.
	LeavingAccept time.Duration
}

// Fault says which calls a fault affects: the next Next calls, and a random Share of
// the calls after them.
type Fault struct {
	Next  int     `json:"next"`
	Share float64 `json:"share"`
}

// Faults is the body of POST /standin/faults. Absent fields change nothing.
type Faults struct {
	Late           *Fault   `json:"late"`          // send the response LateMS later
	LateMS         *float64 `json:"late_ms"`       // delay of a response that Late affects, in milliseconds
	LoseAnswer     *Fault   `json:"lose_answer"`   // run the call, then close the connection without a response
	Crossed        *Fault   `json:"crossed"`       // send the previous call's response, then this call's
	Swapped        *Fault   `json:"swapped"`       // send only the previous call's response
	CutAnswer      *Fault   `json:"cut_answer"`    // send half of the response, then close the connection
	DieAfterRun    *Fault   `json:"die_after_run"` // run the call, then end the process
	Swallow        bool     `json:"swallow"`       // inject a fault: open connections stay open but carry no more data
	Die            bool     `json:"die"`
	StopAnnouncing *bool    `json:"stop_announcing"`
}

// Response is the body of every response. It describes the call, so that a caller
// can check that the response is complete and belongs to its call.
type Response struct {
	Target    string `json:"target"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key,omitempty"`
	BodyCRC   uint32 `json:"body_crc"`
	BodyBytes int    `json:"body_bytes"`
	Execution int64  `json:"execution"`
}

// Execution is the record of one call that ran. Times are wall clock
// microseconds.
type Execution struct {
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyCRC   uint32 `json:"body_crc"`
	At        int64  `json:"at"`
	// ArrivedAt is when the kernel received the call; a process that was stopped
	// runs it later.
	ArrivedAt int64 `json:"arrived_at,omitempty"`
	Leaving   bool  `json:"leaving"`
}

// Record is what a service executed. Reads are only counted. Times are wall clock
// microseconds.
type Record struct {
	Target        string      `json:"target"`
	Service       string      `json:"service"`
	FailureDomain string      `json:"failure_domain"`
	Incarnation   string      `json:"incarnation"`
	StartedAt     int64       `json:"started_at"`
	LeavingAt     int64       `json:"leaving_at,omitempty"`
	Executions    []Execution `json:"executions"` // calls that ran, except GET and HEAD
	Reads         int64       `json:"reads"`
	LastReadAt    int64       `json:"last_read_at,omitempty"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults"`

	PerKey       map[string]int `json:"per_key"`
	PerRequestID map[string]int `json:"per_request_id"`
	PeakInFlight int            `json:"peak_in_flight"`
	BusySeconds  float64        `json:"busy_seconds"`

	Announcements       int64  `json:"announcements"`
	AnnouncementsFailed int64  `json:"announcements_failed"`
	AnnouncementError   string `json:"announcement_error,omitempty"`
}

// Hooks connect a service to the process that hosts it.
type Hooks struct {
	Die     func()
	Journal io.Writer // receives one JSON line per Execution, if not nil
}

// Service executes calls and records them, with injected faults.
type Service struct {
	config  Config
	address string
	hooks   Hooks

	mu           sync.Mutex
	rng          *rand.Rand
	faults       map[string]*Fault
	lateDelay    time.Duration
	record       Record
	inFlight     int
	lastResponse *Response // response to the newest call, which the faults crossed and swapped send
	leaving      bool
	announcer    *announce.Announcer
}

// Kinds of faults that apply to single calls.
const (
	faultLate        = "late"
	faultLoseAnswer  = "lose_answer"
	faultCrossed     = "crossed"
	faultSwapped     = "swapped"
	faultCutAnswer   = "cut_answer"
	faultDieAfterRun = "die_after_run"
)

// New returns a service that announces address.
func New(c Config, address string, hooks Hooks) *Service {
	now := time.Now().UnixMicro()
	return &Service{
		config: c, address: address, hooks: hooks, rng: rand.New(rand.NewPCG(c.Seed, 0x5e71)),
		faults: map[string]*Fault{},
		record: Record{
			Target: c.Target, Service: c.Service, FailureDomain: c.FailureDomain, StartedAt: now,
			Incarnation: fmt.Sprintf("%s-%d-%08x", c.Target, now, rand.Uint32()),
			Faults:      map[string]int{}, PerKey: map[string]int{}, PerRequestID: map[string]int{},
		},
	}
}

// Handler serves calls and the test-only endpoints. listener may be nil; it is
// needed for the fault "swallow".
func (s *Service) Handler(listener *netfault.Listener) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Snapshot())
	})
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) { s.serveFaults(w, r, listener) })
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func isRead(r *http.Request) bool { return r.Method == http.MethodGet || r.Method == http.MethodHead }

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		// The body is incomplete or too large, so the call does not run.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.recordCallStart()
	start := time.Now()
	defer s.recordCallEnd(start)
	sleep(r, s.config.Latency)
	response := s.execute(r, body)
	if s.drawFault(faultDieAfterRun) && s.hooks.Die != nil {
		s.hooks.Die()
	}
	if s.drawFault(faultLate) {
		s.mu.Lock()
		late := s.lateDelay
		s.mu.Unlock()
		sleep(r, late)
	}
	if s.drawFault(faultLoseAnswer) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	previous := s.lastResponse
	s.lastResponse = &response
	s.mu.Unlock()
	switch {
	case previous != nil && s.drawFault(faultCrossed):
		writeCrossedResponses(w, *previous, response)
	case previous != nil && s.drawFault(faultSwapped):
		s.writeResponse(w, *previous)
	default:
		s.writeResponse(w, response)
	}
}

// sleep waits for d or until the request ends.
func sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func (s *Service) recordCallStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.record.PeakInFlight = max(s.record.PeakInFlight, s.inFlight)
}

func (s *Service) recordCallEnd(start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.record.BusySeconds += time.Since(start).Seconds()
}

// execute runs and records the call. From then on the call counts as executed,
// whatever happens to its response.
func (s *Service) execute(r *http.Request, body []byte) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Execution{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Method: r.Method,
		Path: r.URL.Path, BodyCRC: crc32.ChecksumIEEE(body), At: time.Now().UnixMicro(),
		ArrivedAt: netfault.ArrivedAt(r), Leaving: s.leaving,
	}
	if isRead(r) {
		s.record.Reads++
		s.record.LastReadAt = e.At
	} else {
		s.record.Executions = append(s.record.Executions, e)
		s.record.PerRequestID[e.RequestID]++
		if e.Key != "" {
			s.record.PerKey[e.Key]++
		}
		s.writeJournal(e)
	}
	return Response{
		Target: s.config.Target, Method: e.Method, Path: e.Path, RequestID: e.RequestID, Key: e.Key,
		BodyCRC: e.BodyCRC, BodyBytes: len(body), Execution: int64(len(s.record.Executions)),
	}
}

func (s *Service) writeJournal(e Execution) {
	if s.hooks.Journal == nil {
		return
	}
	if line, err := json.Marshal(e); err == nil {
		_, _ = s.hooks.Journal.Write(append(line, '\n'))
	}
}

// drawFault reports whether a fault of this kind applies to the current call. If so,
// it counts the fault.
func (s *Service) drawFault(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[kind]
	if f == nil {
		return false
	}
	hit := f.Next > 0
	if hit {
		f.Next--
	} else {
		hit = f.Share > 0 && s.rng.Float64() < f.Share
	}
	if hit {
		s.record.Faults[kind]++
	}
	return hit
}

func (s *Service) writeResponse(w http.ResponseWriter, a Response) {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // encoding a Response cannot fail
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", a.RequestID)
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(http.StatusOK)
	if s.drawFault(faultCutAnswer) {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// writeCrossedResponses sends the response of another call and then the call's own
// response on one connection, like a server that mixes up its calls.
func writeCrossedResponses(w http.ResponseWriter, other, own Response) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // HTTP/1.1 connections can be hijacked
	}
	defer c.Close()
	for _, a := range []Response{other, own} {
		data, err := json.Marshal(a)
		if err != nil {
			panic(err) // encoding a Response cannot fail
		}
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", a.RequestID, len(data), data)
	}
	_ = buffered.Flush()
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request, listener *netfault.Listener) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Die && s.hooks.Die != nil {
		s.hooks.Die()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, v := range map[string]*Fault{
		faultLate: f.Late, faultLoseAnswer: f.LoseAnswer, faultCrossed: f.Crossed, faultSwapped: f.Swapped,
		faultCutAnswer: f.CutAnswer, faultDieAfterRun: f.DieAfterRun,
	} {
		if v != nil {
			s.faults[kind] = v
		}
	}
	if f.LateMS != nil {
		s.lateDelay = time.Duration(*f.LateMS * float64(time.Millisecond))
	}
	if f.StopAnnouncing != nil && s.announcer != nil {
		s.announcer.Pause(*f.StopAnnouncing)
	}
	if f.Swallow && listener != nil {
		listener.Swallow(r)
	}
	w.WriteHeader(http.StatusNoContent)
}
