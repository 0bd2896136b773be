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
)

// Timing of the calls to and from a control instance.
const (
	// loadUnit is the value of a watcher's reported load that stands for the planned
	// work of one instance.
	loadUnit     = 1000
	maxWatchWait = 2 * time.Second
	// startupGrace is how long after startup a control instance accepts
	// announcements even if no other instance watches it yet.
	startupGrace  = 1500 * time.Millisecond
	sweepInterval = 200 * time.Millisecond
	relayTimeout  = 400 * time.Millisecond
	// confirmTimeout bounds how long an acknowledgement waits for instances
	// that do not respond. It is less than the 1 s after which a target gives up.
	confirmTimeout = 600 * time.Millisecond
	// confirmCheckInterval is the time between two checks whether all watchers have
	// applied an announcement.
	confirmCheckInterval = 20 * time.Millisecond
	// proposeTimeout bounds one attempt to commit a change or to read the state.
	// It is less than the 1 s after which callers try another control instance.
	proposeTimeout = 900 * time.Millisecond
)

// ReplicatedLog is one member's interface to the agreement group's replicated log.
type ReplicatedLog interface {
	Propose(ctx context.Context, command []byte) (agreement.Applied, error)
	ReadBarrier(ctx context.Context) (uint64, error)
	Status() agreement.Status
}

// Server publishes the fleet's state on a control instance: it commits changes,
// receives announcements and answers the polls of watchers.
type Server struct {
	log           ReplicatedLog
	machine       *Machine
	registry      *Registry
	watchers      *Watchers
	epoch         string
	address       string // this instance's address for calls from other instances
	region        string
	failureDomain string
	peerClient    *http.Client
	logger        zerolog.Logger
	metrics       tally.Scope
	now           func() time.Time
	started       time.Time
}

// ServerConfig holds the settings and dependencies of a Server.
type ServerConfig struct {
	Log     ReplicatedLog
	Machine *Machine
	// Epoch identifies this run of the process; cursors from other runs are invalid.
	Epoch string
	// Address is the internal address of this instance.
	Address string
	// Region and FailureDomain are the location of this instance.
	Region, FailureDomain string
	// AnnouncementInterval is the time between two announcements of a target.
	AnnouncementInterval time.Duration
	PeerClient           *http.Client
	Logger               zerolog.Logger
	Metrics              tally.Scope
	Now                  func() time.Time
}

// NewServer returns a Server with no announcements. Run must be called for
// silent targets to be detected.
func NewServer(c ServerConfig) *Server {
	return &Server{
		log: c.Log, machine: c.Machine, epoch: c.Epoch, address: c.Address, region: c.Region, failureDomain: c.FailureDomain, peerClient: c.PeerClient,
		logger: c.Logger, metrics: c.Metrics, now: c.Now, started: c.Now(),
		registry: NewRegistry(c.AnnouncementInterval, c.Now),
		watchers: NewWatchers(c.Now),
	}
}

// Handlers returns the handlers for calls from other instances, by path prefix.
func (s *Server) Handlers() map[string]http.Handler {
	return map[string]http.Handler{
		api.FleetQueryPathPrefix:   api.NewFleetQueryServer(s),
		api.FleetCommandPathPrefix: api.NewFleetCommandServer(s),
	}
}

// Run sweeps the announcements for silent targets until ctx ends.
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

// EntryInstances returns the entry instances that currently accept callers. The
// caller must not modify the list.
func (s *Server) EntryInstances() []Watcher {
	live, _ := s.watchers.EntryInstances()
	return live
}

// Commit replicates and applies an encoded change. If it returns nil, the change
// is durable.
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

// ReadState returns a state that includes every change acknowledged before the
// call. It fails if the group does not confirm the read barrier in time.
func (s *Server) ReadState(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	state, _ := s.machine.State()
	return state, nil
}

// Leader returns the internal address of the leader. It reports false if this
// instance is the leader or no leader is known.
func (s *Server) Leader() (string, bool) {
	status := s.log.Status()
	return status.LeaderAddress, status.LeaderAddress != "" && status.LeaderAddress != s.address
}

// Announce records a target's announcement. If it returns nil, the announcement
// may be acknowledged. For a leaving target that normally means that all live
// watchers have applied it; awaitWatchers describes the exception.
func (s *Server) Announce(ctx context.Context, a Announcement) error {
	number, ok := s.registry.Announce(a, false)
	if !ok {
		return resultcode.Newf(resultcode.Overloaded, "too many targets")
	}
	if a.State.isLeaving() {
		relayResult := s.relayAnnouncement(a)
		return s.awaitWatchers(ctx, number, relayResult)
	}
	if s.watchers.Progress(0).live == 0 && !s.groupHasLeader() && s.now().After(s.started.Add(startupGrace)) {
		return resultcode.Newf(resultcode.ControlUnavailable, "no instance watches this one")
	}
	return nil
}

// groupHasLeader reports whether this instance leads its group or follows a
// leader.
func (s *Server) groupHasLeader() bool { return s.log.Status().LeaderAddress != "" }

// awaitWatchers waits until all live watchers have applied an announcement. After
// the timeout it also succeeds if another control instance has accepted the
// announcement or a watcher has applied it while others are live: those may be dark.
func (s *Server) awaitWatchers(ctx context.Context, number uint64, relayResult <-chan bool) error {
	timeout := time.NewTimer(confirmTimeout)
	defer timeout.Stop()
	check := time.NewTicker(confirmCheckInterval)
	defer check.Stop()
	relayed := false
	for {
		p := s.watchers.Progress(number)
		if p.live > 0 && p.applied == p.live {
			return nil
		}
		select {
		case <-check.C:
		case ok := <-relayResult:
			relayed, relayResult = ok, nil
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			if relayed || s.watchers.Progress(number).applied > 0 {
				return nil
			}
			return resultcode.Newf(resultcode.ControlUnavailable, "no other instance has confirmed the announcement")
		}
	}
}

// relayAnnouncement sends an announcement to the other control instances. The channel
// yields true once one of them has accepted it, or false if none did.
func (s *Server) relayAnnouncement(a Announcement) <-chan bool {
	out := make(chan bool, 1)
	others := s.controlAddresses()
	others = slices.DeleteFunc(others, func(x string) bool { return x == s.address })
	req := &api.FleetRelayRequest{Announcement: announcementToProto(&a)}
	var wg sync.WaitGroup
	var once sync.Once
	for _, address := range others {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
			defer cancel()
			_, err := api.NewFleetCommandProtobufClient("http://"+address, s.peerClient).Relay(ctx, req)
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

// controlAddresses returns the internal addresses of all control instances,
// including this one, sorted.
func (s *Server) controlAddresses() []string {
	var out []string
	for _, m := range s.log.Status().Members {
		out = append(out, m.Address)
	}
	if !slices.Contains(out, s.address) {
		out = append(out, s.address)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Relay records an announcement that another control instance has received.
func (s *Server) Relay(_ context.Context, req *api.FleetRelayRequest) (*api.FleetRelayResponse, error) {
	a := announcementFromProto(req.GetAnnouncement())
	if a.ID == "" || a.State == 0 {
		return nil, resultcode.ToTwirp(resultcode.Newf(resultcode.AnnouncementMalformed, "relayed announcement without id or state"))
	}
	s.registry.Announce(a, true)
	return &api.FleetRelayResponse{}, nil
}

// Watch responds as soon as there are changes that the watcher has not applied, or
// after the requested wait. Changes of announcements are gathered first.
func (s *Server) Watch(ctx context.Context, req *api.FleetWatchRequest) (*api.FleetWatchResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWatchWait)
	cursor := req.GetCursor()
	if req.GetEpoch() != s.epoch {
		cursor = 0
	}
	end := s.watchers.BeginPoll(watcherFromProto(req.GetWatcher()), cursor, wait)
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

// gatherChanges waits for further announcements after the cursor, so that one
// response carries several. It returns earlier when the replicated state changes.
func (s *Server) gatherChanges(ctx context.Context, cursor uint64, times GatherTimes, stateChanged <-chan struct{}) {
	started := time.Now()
	timer := time.NewTimer(times.Other)
	defer timer.Stop()
	for {
		urgent, changed := s.registry.UrgentSince(cursor)
		if urgent {
			timer.Reset(max(0, times.Urgent-time.Since(started)))
			changed = nil
		}
		select {
		case <-timer.C:
			return
		case <-stateChanged:
			return
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
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

func announcementToProto(a *Announcement) *api.FleetAnnouncement {
	return &api.FleetAnnouncement{
		Id: a.ID, Service: a.Service, Address: a.Address, FailureDomain: a.FailureDomain, Born: a.Incarnation,
		Sequence: a.Sequence, Slots: uint32(a.Slots), State: statesToProto[a.State], ColdMs: uint32(a.ColdRemaining.Milliseconds()),
	}
}

func announcementFromProto(p *api.FleetAnnouncement) Announcement {
	return Announcement{
		ID: p.GetId(), Service: p.GetService(), Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Incarnation: p.GetBorn(),
		Sequence: p.GetSequence(), Slots: int(p.GetSlots()), State: statesFromProto[p.GetState()],
		ColdRemaining: time.Duration(p.GetColdMs()) * time.Millisecond,
	}
}
