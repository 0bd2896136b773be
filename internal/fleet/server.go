package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Bounds of the control instance's calls.
const (
	maxWait = 2 * time.Second
	// startGrace is how long after its start an instance takes announcements
	// although no other instance watches it yet.
	startGrace    = 1500 * time.Millisecond
	sweepInterval = 200 * time.Millisecond
	relayTimeout  = 400 * time.Millisecond
	// confirmTimeout bounds how long an acknowledgement waits for instances
	// that do not answer; a target gives up after a second.
	confirmTimeout = 600 * time.Millisecond
	// coalesceEach is how long announcements are gathered for each watcher,
	// maxCoalesce for all of them; acknowledgements of targets that leave wait
	// as long.
	coalesceEach = 100 * time.Microsecond
	maxCoalesce  = 50 * time.Millisecond
	// proposeTimeout bounds one attempt to commit a change; callers try
	// another instance after a second.
	proposeTimeout = 900 * time.Millisecond
)

// Log is the agreement group as seen from one member.
type Log interface {
	Propose(ctx context.Context, command []byte) (agreement.Applied, error)
	ReadBarrier(ctx context.Context) (uint64, error)
	Status() agreement.Status
}

// Server is the control instance's part.
type Server struct {
	log      Log
	machine  *Machine
	registry *Registry
	watchers *Watchers
	epoch    string
	self     string // internal address
	region   string
	domain   string
	peers    *http.Client
	logger   zerolog.Logger
	metrics  tally.Scope
	now      func() time.Time
	started  time.Time
}

// ServerConfig holds what a control instance needs.
type ServerConfig struct {
	Log     Log
	Machine *Machine
	// Epoch names the run of the process; it differs after each start.
	Epoch string
	// Address is the internal address of this instance.
	Address string
	// Region and FailureDomain are where it runs.
	Region, FailureDomain string
	// Interval is the time between two announcements of a target.
	Interval time.Duration
	Peers    *http.Client
	Logger   zerolog.Logger
	Metrics  tally.Scope
	Now      func() time.Time
}

// NewServer returns a control instance's part.
func NewServer(c ServerConfig) *Server {
	return &Server{
		log: c.Log, machine: c.Machine, epoch: c.Epoch, self: c.Address, region: c.Region, domain: c.FailureDomain, peers: c.Peers,
		logger: c.Logger, metrics: c.Metrics, now: c.Now, started: c.Now(),
		registry: NewRegistry(c.Interval, c.Now),
		watchers: NewWatchers(c.Now),
	}
}

// Handlers returns the handlers for other instances by path prefix.
func (s *Server) Handlers() map[string]http.Handler {
	return map[string]http.Handler{
		api.FleetQueryPathPrefix:   api.NewFleetQueryServer(s),
		api.FleetCommandPathPrefix: api.NewFleetCommandServer(s),
	}
}

// Run marks silent targets until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.registry.Sweep()
		}
	}
}

// Live returns the instances that take callers at present; the list must not be
// changed.
func (s *Server) Live() []Watcher {
	live, _ := s.watchers.Callable()
	return live
}

// Commit carries out a change; on success it is durable.
func (s *Server) Commit(ctx context.Context, command []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	applied, err := s.log.Propose(ctx, command)
	if err != nil {
		return err
	}
	if failed, ok := applied.Result.(error); ok {
		return failed
	}
	return nil
}

// Read returns a state that holds every change acknowledged before the call.
func (s *Server) Read(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	state, _ := s.machine.State()
	return state, nil
}

// Leader returns the internal address of the leader if it is another instance.
func (s *Server) Leader() (string, bool) {
	st := s.log.Status()
	return st.LeaderAddress, st.LeaderAddress != "" && st.LeaderAddress != s.self
}

// Announce takes a target's statement. A nil error means that it may be
// acknowledged: of a target that leaves, all live instances know.
func (s *Server) Announce(ctx context.Context, a Announcement) error {
	number, ok := s.registry.Announce(a)
	if !ok {
		return resultcode.Newf(resultcode.Overloaded, "too many targets")
	}
	if a.State.leaving() {
		relayed := s.relay(a)
		return s.confirm(ctx, number, relayed)
	}
	if _, live, _ := s.watchers.Seen(0); live == 0 && !s.inContact() && s.now().After(s.started.Add(startGrace)) {
		return resultcode.Newf(resultcode.ControlUnavailable, "no instance watches this one")
	}
	return nil
}

// inContact reports whether this instance follows or leads a working group.
func (s *Server) inContact() bool { return s.log.Status().LeaderAddress != "" }

// confirm waits until all live watchers have applied an announcement. After
// the timeout it is enough that another control instance publishes it too.
func (s *Server) confirm(ctx context.Context, number uint64, relayed <-chan bool) error {
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	passedOn := false
	for {
		all, live, changed := s.watchers.Seen(number)
		if all && live > 0 {
			return nil
		}
		select {
		case <-changed:
		case ok := <-relayed:
			passedOn, relayed = ok, nil
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			if passedOn || live > 1 {
				return nil
			}
			return resultcode.Newf(resultcode.ControlUnavailable, "no other instance knows yet")
		}
	}
}

// relay passes a statement on to the other control instances. The channel
// yields whether one of them took it.
func (s *Server) relay(a Announcement) <-chan bool {
	out := make(chan bool, 1)
	others := s.controls()
	others = slices.DeleteFunc(others, func(x string) bool { return x == s.self })
	req := &api.FleetRelayRequest{Announcement: announcementToProto(&a)}
	var wg sync.WaitGroup
	var once sync.Once
	for _, address := range others {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
			defer cancel()
			_, err := api.NewFleetCommandProtobufClient("http://"+address, s.peers).Relay(ctx, req)
			if err != nil {
				s.metrics.Counter("fleet.relay_failed").Inc(1)
				return
			}
			once.Do(func() { out <- true })
		})
	}
	go func() {
		wg.Wait()
		once.Do(func() { out <- false })
	}()
	return out
}

// controls returns the internal addresses of the control instances.
func (s *Server) controls() []string {
	var out []string
	for _, m := range s.log.Status().Members {
		out = append(out, m.Address)
	}
	if !slices.Contains(out, s.self) {
		out = append(out, s.self)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Relay takes a statement that another control instance received.
func (s *Server) Relay(_ context.Context, req *api.FleetRelayRequest) (*api.FleetRelayResponse, error) {
	a := announcementFromProto(req.GetAnnouncement())
	if a.ID == "" || a.State == 0 {
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.AnnouncementMalformed, "relayed announcement without id or state"))
	}
	s.registry.Announce(a)
	return &api.FleetRelayResponse{}, nil
}

// Watch answers once there is news, or after the caller's wait.
func (s *Server) Watch(ctx context.Context, req *api.FleetWatchRequest) (*api.FleetWatchResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWait)
	cursor := req.GetCursor()
	if req.GetEpoch() != s.epoch {
		cursor = 0
	}
	end := s.watchers.Begin(watcherFromProto(req.GetWatcher()), cursor, wait)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		state, stateChanged := s.machine.State()
		news, last, registryChanged := s.registry.Since(cursor)
		if state.Index > req.GetStateIndex() || len(news) > 0 || req.GetEpoch() != s.epoch {
			end(false)
			return s.answer(req, state, news, last), nil
		}
		select {
		case <-stateChanged:
		case <-registryChanged:
			s.coalesce(ctx)
		case <-timeout.C:
			end(false)
			return s.answer(req, state, nil, last), nil
		case <-ctx.Done():
			end(true)
			return nil, ctx.Err()
		}
	}
}

// coalesce waits for further announcements, the longer the more watchers have to
// be told: they come in bursts, and each answer costs every watcher a call.
func (s *Server) coalesce(ctx context.Context) {
	live, _ := s.watchers.Callable()
	sleep.For(ctx, min(maxCoalesce, time.Duration(len(live))*coalesceEach))
}

func (s *Server) answer(req *api.FleetWatchRequest, state *State, news []Announcement, last uint64) *api.FleetWatchResponse {
	live, version := s.watchers.Callable()
	out := &api.FleetWatchResponse{Epoch: s.epoch, Cursor: last, Control: s.controls(), EntriesVersion: version, Region: s.region, FailureDomain: s.domain}
	if out.EntriesVersion != req.GetEntriesVersion() {
		for i := range live {
			out.Entries = append(out.Entries, watcherToProto(&live[i]))
		}
	}
	if state.Index > req.GetStateIndex() {
		out.State = stateToProto(state)
	}
	for i := range news {
		out.Announcements = append(out.Announcements, announcementToProto(&news[i]))
	}
	return out
}

// Manifest returns the manifest in force here.
func (s *Server) Manifest(context.Context, *api.FleetManifestRequest) (*api.FleetManifestResponse, error) {
	state, _ := s.machine.State()
	return &api.FleetManifestResponse{Version: state.ManifestVersion, Document: state.packed}, nil
}

func announcementToProto(a *Announcement) *api.FleetAnnouncement {
	return &api.FleetAnnouncement{
		Id: a.ID, Service: a.Service, Address: a.Address, FailureDomain: a.FailureDomain, Born: a.Born,
		Sequence: a.Sequence, Slots: uint32(a.Slots), State: statesToProto[a.State], ColdMs: uint32(a.Cold.Milliseconds()),
	}
}

func announcementFromProto(p *api.FleetAnnouncement) Announcement {
	return Announcement{
		ID: p.GetId(), Service: p.GetService(), Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Born: p.GetBorn(),
		Sequence: p.GetSequence(), Slots: int(p.GetSlots()), State: statesFromProto[p.GetState()],
		Cold: time.Duration(p.GetColdMs()) * time.Millisecond,
	}
}
