package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/age"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Timing of the acknowledgement of announcements.
const (
	// startupGrace is how long after startup a control instance accepts
	// announcements even if no other instance watches it yet.
	startupGrace = 1500 * time.Millisecond
	relayTimeout = 400 * time.Millisecond
	// confirmTimeout bounds how long an acknowledgement waits for instances
	// that do not respond. It is less than the 1 s after which a target gives up.
	confirmTimeout = 600 * time.Millisecond
	// confirmCheckInterval is the time between two checks whether all watchers have
	// applied an announcement.
	confirmCheckInterval = 20 * time.Millisecond
)

// Announce records a target's announcement. If it returns nil, the announcement
// may be acknowledged. For a leaving target that normally means that all live
// watchers have applied it; awaitWatchers describes the exception.
func (s *Server) Announce(ctx context.Context, a Announcement) error {
	if err := a.Validate(); err != nil {
		s.metrics.Counter("fleet.targets_refused").Inc(1)
		return err
	}
	number, ok := s.registry.Announce(a, false)
	if !ok {
		return resultcode.Newf(resultcode.Overloaded, "too many targets")
	}
	s.versions.seen(a.Service, a.Version)
	if a.State.isLeaving() {
		relayResult := s.relayAnnouncement(s.registry.resolve(a))
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
// announcement or a watcher has applied it while others are live: those may be unreachable.
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
	return s.relay(&api.FleetRelayRequest{Announcement: announcementToProto(&a)})
}

// relay is relayAnnouncement for any content.
func (s *Server) relay(req *api.FleetRelayRequest) <-chan bool {
	out := make(chan bool, 1)
	others := s.controlAddresses()
	others = slices.DeleteFunc(others, func(x string) bool { return x == s.address })
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

// Relay records an announcement that another control instance has received. The other
// instance may run an earlier version of the program, which accepts more.
func (s *Server) Relay(_ context.Context, req *api.FleetRelayRequest) (*api.FleetRelayResponse, error) {
	for _, m := range req.GetVersions() {
		v := serviceVersionFromProto(m)
		if v.Validate() != nil {
			s.metrics.Counter("fleet.versions_dropped").Inc(1)
			continue
		}
		s.versions.seen(v.Service, v.Version)
	}
	if req.GetAnnouncement() == nil && len(req.GetVersions()) > 0 {
		return &api.FleetRelayResponse{}, nil
	}
	a := announcementFromProto(req.GetAnnouncement())
	if err := a.Validate(); err != nil {
		s.metrics.Counter("fleet.targets_dropped").Inc(1)
		return nil, resultcode.ToTwirp(resultcode.From(err))
	}
	s.registry.Announce(a, true)
	s.versions.seen(a.Service, a.Version)
	return &api.FleetRelayResponse{}, nil
}

func announcementToProto(a *Announcement) *api.FleetAnnouncement {
	return &api.FleetAnnouncement{
		Id: a.ID, Service: a.Service, Address: a.Address, FailureDomain: a.FailureDomain, Born: a.Incarnation,
		Sequence: a.Sequence, Slots: uint32(a.Slots), State: statesToProto[a.State], ColdMs: uint32(a.ColdRemaining.Milliseconds()), Version: a.Version,
		AgeMs: age.Millis(a.Age),
	}
}

func announcementFromProto(p *api.FleetAnnouncement) Announcement {
	return Announcement{
		ID: p.GetId(), Service: p.GetService(), Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Incarnation: p.GetBorn(),
		Sequence: p.GetSequence(), Slots: int(p.GetSlots()), State: statesFromProto[p.GetState()],
		ColdRemaining: time.Duration(p.GetColdMs()) * time.Millisecond, Version: p.GetVersion(),
		Age: time.Duration(p.GetAgeMs()) * time.Millisecond,
	}
}
