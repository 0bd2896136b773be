// Package loads exchanges the loads of entry instances on the targets that they
// share, so that each instance chooses targets by the total load of all
// instances. If each counted only its own requests, all would choose the same
// target that looks idle and overload it.
//
// Loads are sent as UDP datagrams, which may be lost. Each one carries the
// sender's complete load, so that the next one makes up for a loss.
package loads

import (
	"context"
	"errors"
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/age"
	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/forward"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Intervals and limits of the exchange.
const (
	// localInterval and remoteInterval are the minimum times between two datagrams
	// to a peer in the same failure domain and in another one. Requests stay in the
	// failure domain until it is full, so remote loads matter less.
	localInterval  = 60 * time.Millisecond
	remoteInterval = 250 * time.Millisecond
	// localRate and remoteRate are the maximum numbers of datagrams that one
	// instance sends per second; with many peers the intervals grow.
	localRate  = 200
	remoteRate = 50
	// refreshAfter is the time after which an unchanged load is sent again.
	refreshAfter = 500 * time.Millisecond
	// maxEmptySends is how often an instance without load says so; a datagram may be lost.
	maxEmptySends = 3
	// expireAfter is the time after which the loads of a silent peer are discarded. It exceeds
	// the interval to a peer in another failure domain even with several hundred peers.
	expireAfter = 10 * time.Second
	// expireUnlistedAfter replaces expireAfter for a peer that no control instance lists.
	expireUnlistedAfter = time.Second
	// silentCheckInterval is the time between two checks for silent peers.
	silentCheckInterval = time.Second
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 32 << 10
)

// LoadTable provides this instance's loads and stores those of other instances,
// by target ID. SetLoads replaces an instance's loads; nil removes them.
type LoadTable interface {
	Loads() map[string]forward.Load
	SetLoads(instance string, loads map[string]forward.Load)
	// LoadsChanged returns a channel that receives a value after the loads have
	// changed.
	LoadsChanged() <-chan struct{}
}

// Exchange sends this instance's loads to its peers and receives theirs.
type Exchange struct {
	self string
	// failureDomain is the failure domain of this instance.
	failureDomain string
	entries       func() map[string]fleet.Watcher
	loads         LoadTable
	evidence      EvidenceStore
	conn          *net.UDPConn
	metrics       tally.Scope
}

// Listen opens a UDP socket at address for the exchange of the instance named
// self. entries returns the current entry instances by name. Run must be called
// to use the exchange; it closes the socket.
func Listen(self, failureDomain, address string, entries func() map[string]fleet.Watcher, loads LoadTable, evidence EvidenceStore, metrics tally.Scope) (*Exchange, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, err
	}
	return &Exchange{self: self, failureDomain: failureDomain, entries: entries, loads: loads, evidence: evidence, conn: conn, metrics: metrics}, nil
}

// Run exchanges loads until ctx ends. An instance without load sends nothing and does
// not wake up.
func (x *Exchange) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(func() { x.receiveLoads(ctx) })
	receiver.Go(func() { x.shareEvidence(ctx) })
	defer receiver.Wait()
	defer x.conn.Close()
	local := peerGroup{interval: localInterval, rate: localRate}
	remote := peerGroup{interval: remoteInterval, rate: remoteRate}
	for x.awaitLoads(ctx, local.idle() && remote.idle()) {
		local.peers, remote.peers = x.peers()
		loads, now := x.loads.Loads(), time.Now()
		for _, g := range []*peerGroup{&local, &remote} {
			if g.markSentIfDue(loads, now) {
				x.sendLoads(g.peers, loads)
			}
		}
	}
}

// awaitLoads waits for localInterval and, if idle is set, first for a change of the
// loads. It reports false when ctx has ended.
func (x *Exchange) awaitLoads(ctx context.Context, idle bool) bool {
	if idle {
		select {
		case <-ctx.Done():
			return false
		case <-x.loads.LoadsChanged():
		}
	}
	return sleep.For(ctx, localInterval)
}

// peerGroup is a set of peers that are sent loads at the same interval.
type peerGroup struct {
	interval   time.Duration // minimum time between two datagrams to a peer
	rate       int           // maximum datagrams per second to all peers together
	peers      []string
	lastSent   map[string]forward.Load
	lastSentAt time.Time
	// emptySends is how many times in a row empty loads were sent.
	emptySends int
}

// idle reports whether the group needs no datagram until the loads change: the
// peers know that this instance has none.
func (g *peerGroup) idle() bool { return g.emptySends >= maxEmptySends }

// markSentIfDue reports whether the loads are to be sent to the group now. If
// so, it records them as sent.
func (g *peerGroup) markSentIfDue(loads map[string]forward.Load, now time.Time) bool {
	switch {
	case len(loads) > 0:
		g.emptySends = 0
	case len(g.peers) == 0:
		g.emptySends = maxEmptySends
	}
	if len(g.peers) == 0 {
		return false
	}
	age := now.Sub(g.lastSentAt)
	if g.idle() || age < max(g.interval, time.Duration(len(g.peers))*time.Second/time.Duration(g.rate)) {
		return false
	}
	if maps.Equal(loads, g.lastSent) && age < refreshAfter {
		return false
	}
	if len(loads) == 0 {
		g.emptySends++
	}
	g.lastSent, g.lastSentAt = loads, now
	return true
}

// peers returns the addresses of the other entry instances, in this failure
// domain and in others.
func (x *Exchange) peers() (local, remote []string) {
	for name, w := range x.entries() {
		switch {
		case name == x.self || w.InternalAddress == "":
		case w.FailureDomain == x.failureDomain:
			local = append(local, w.InternalAddress)
		default:
			remote = append(remote, w.InternalAddress)
		}
	}
	return local, remote
}

func (x *Exchange) sendLoads(peers []string, loads map[string]forward.Load) {
	data, err := proto.Marshal(x.encodeLoads(loads, time.Now()))
	if err != nil || len(data) > maxDatagram {
		x.metrics.Counter("loads.not_sent").Inc(1)
		return
	}
	x.sendDatagram(data, peers)
}

// encodeLoads returns the message with the loads. Those that do not fit into a datagram, or
// whose ID no message can hold, are left out: they must not keep the others from being sent.
func (x *Exchange) encodeLoads(loads map[string]forward.Load, now time.Time) *api.FleetLoad {
	const perElement = 8 // bytes of the key and length of one element
	m := &api.FleetLoad{Name: x.self}
	left := maxDatagram - proto.Size(m)
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		t := encodeLoad(id, loads[id], now)
		size := proto.Size(t) + perElement
		if checkTarget(id) != nil || size > left {
			x.metrics.Counter("loads.left_out").Inc(1)
			continue
		}
		left -= size
		m.Targets = append(m.Targets, t)
	}
	return m
}

func checkTarget(id string) error {
	return identifier.CheckID(resultcode.MessageMalformed, "target", id)
}

func (x *Exchange) sendDatagram(data []byte, peers []string) {
	for _, peer := range peers {
		address, err := netip.ParseAddrPort(peer)
		if err == nil {
			_, err = x.conn.WriteToUDPAddrPort(data, address)
		}
		if err != nil {
			x.metrics.Counter("loads.not_sent").Inc(1)
		}
	}
}

// receiveLoads stores the loads of peers and discards those of silent peers.
func (x *Exchange) receiveLoads(ctx context.Context) {
	lastReceived := map[string]time.Time{}
	buffer := make([]byte, maxDatagram)
	nextCheck := time.Now()
	for ctx.Err() == nil {
		if err := x.conn.SetReadDeadline(readDeadline(lastReceived)); err != nil {
			return
		}
		n, from, err := x.conn.ReadFromUDPAddrPort(buffer)
		now := time.Now()
		if err == nil {
			x.handleDatagram(buffer[:n], from, lastReceived, now)
		} else if errors.Is(err, net.ErrClosed) {
			return
		}
		if !now.Before(nextCheck) {
			x.discardSilent(lastReceived, now)
			nextCheck = now.Add(silentCheckInterval)
		}
	}
}

// readDeadline returns when to check for silent peers if no datagram arrives: never
// while no peer's loads are stored.
func readDeadline(lastReceived map[string]time.Time) time.Time {
	if len(lastReceived) == 0 {
		return time.Time{}
	}
	return time.Now().Add(silentCheckInterval)
}

// discardSilent removes the loads of the peers that have sent none for too long.
func (x *Exchange) discardSilent(lastReceived map[string]time.Time, now time.Time) {
	entries := x.entries()
	for name, at := range lastReceived {
		_, listed := entries[name]
		if silent := now.Sub(at); silent > expireAfter || (!listed && silent > expireUnlistedAfter) {
			x.loads.SetLoads(name, nil)
			delete(lastReceived, name)
		}
	}
}

// handleDatagram merges a peer's evidence, or stores the loads from a peer's datagram
// and now as the time of receipt.
func (x *Exchange) handleDatagram(datagram []byte, from netip.AddrPort, lastReceived map[string]time.Time, now time.Time) {
	var m api.FleetLoad
	err := proto.Unmarshal(datagram, &m)
	if err == nil && m.GetEvidence() != nil {
		x.handleEvidence(m.GetEvidence(), from)
		return
	}
	if err != nil || m.GetName() == "" || m.GetName() == x.self {
		x.metrics.Counter("loads.malformed").Inc(1)
		return
	}
	loads := make(map[string]forward.Load, len(m.GetTargets()))
	for _, t := range m.GetTargets() {
		if checkTarget(t.GetId()) != nil {
			x.metrics.Counter("loads.left_out").Inc(1)
			continue
		}
		loads[t.GetId()] = decodeLoad(t, now)
	}
	lastReceived[m.GetName()] = now
	x.loads.SetLoads(m.GetName(), loads)
}

func encodeLoad(id string, l forward.Load, now time.Time) *api.FleetTargetLoad {
	m := &api.FleetTargetLoad{
		Id: id, Requests: bounded(l.Requests), Tokens: bounded(l.Tokens), Incoming: bounded(l.IncomingCopies), Starting: bounded(l.PrefillTokens), Suspect: l.Suspect,
	}
	if !l.Limit.At.IsZero() {
		m.Limit, m.LimitAgeMs = l.Limit.Rate, proto.Uint32(age.Of(l.Limit.At, now))
	}
	if !l.Leaving.At.IsZero() {
		m.LeavingBorn, m.LeavingAgeMs = l.Leaving.Incarnation, proto.Uint32(age.Of(l.Leaving.At, now))
	}
	return m
}

// bounded returns n, bounded to what a uint32 holds. The tokens are sums of what callers
// name; one that wraps around would make a full target look idle.
func bounded(n int) uint32 { return uint32(max(0, min(n, math.MaxUint32))) }

func decodeLoad(m *api.FleetTargetLoad, now time.Time) forward.Load {
	l := forward.Load{
		Requests: int(m.GetRequests()), Tokens: int(m.GetTokens()), IncomingCopies: int(m.GetIncoming()), PrefillTokens: int(m.GetStarting()), Suspect: m.GetSuspect(),
	}
	if rate := m.GetLimit(); m.LimitAgeMs != nil && rate >= 0 && !math.IsInf(rate, 0) {
		l.Limit = forward.NamedLimit{Rate: rate, At: age.Time(now, m.GetLimitAgeMs())}
	}
	if m.LeavingAgeMs != nil {
		l.Leaving = forward.LeavingStatement{Incarnation: m.GetLeavingBorn(), At: age.Time(now, m.GetLeavingAgeMs())}
	}
	return l
}
