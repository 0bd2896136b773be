// Package loads tells entry instances what the others have in flight at the
// targets that they share, so that each places requests by the sum. It answers
// crowded engines: a count of one's own requests alone sends all instances to
// the same target that looks free.
//
// Datagrams may be lost; each one carries the sender's whole load, so that the
// next one mends the loss.
package loads

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/forward"
)

// Pace of the exchange.
const (
	// nearInterval and farInterval are the least times between two datagrams
	// to a peer of the own failure domain, and to any other: requests stay in
	// the failure domain until it is full.
	nearInterval = 60 * time.Millisecond
	farInterval  = 250 * time.Millisecond
	// nearRate and farRate bound the datagrams that one instance sends in a
	// second; with many peers the intervals grow.
	nearRate = 200
	farRate  = 50
	// refreshAfter is when an unchanged load is sent again.
	refreshAfter = 500 * time.Millisecond
	// forgetAfter is when a peer that sends nothing any more counts as idle. It
	// exceeds the far interval of several hundred peers.
	forgetAfter = 10 * time.Second
	// unlistedAfter is the same for a peer that no control instance lists.
	unlistedAfter = time.Second
	// readTimeout is how often silent peers are looked for.
	readTimeout = time.Second
	// maxDatagram bounds one datagram.
	maxDatagram = 32 << 10
)

// Table is where the own loads come from and those of others go.
type Table interface {
	Loads() map[string]forward.Load
	SetLoads(instance string, loads map[string]forward.Load)
}

// Exchange sends and receives loads.
type Exchange struct {
	self    string
	entries func() map[string]fleet.Watcher
	loads   Table
	conn    *net.UDPConn
	metrics tally.Scope
}

// Listen opens the exchange of the named instance at an address. entries
// returns the present entry instances by name.
func Listen(self, address string, entries func() map[string]fleet.Watcher, loads Table, metrics tally.Scope) (*Exchange, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	return &Exchange{self: self, entries: entries, loads: loads, conn: conn, metrics: metrics}, nil
}

// Run exchanges loads until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(func() { x.receive(ctx) })
	defer receiver.Wait()
	defer x.conn.Close()
	near := circle{interval: nearInterval, rate: nearRate}
	far := circle{interval: farInterval, rate: farRate}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(nearInterval):
		}
		near.peers, far.peers = x.peers()
		loads, now := x.loads.Loads(), time.Now()
		for _, c := range []*circle{&near, &far} {
			if c.due(loads, now) {
				x.send(c.peers, loads)
			}
		}
	}
}

// circle is a set of peers that hear of the loads at the same pace.
type circle struct {
	interval time.Duration // least time between two datagrams
	rate     int           // datagrams a second to all peers together
	peers    []string
	sent     map[string]forward.Load
	sentAt   time.Time
}

// due reports whether the loads are to be sent now, and notes that they are.
func (c *circle) due(loads map[string]forward.Load, now time.Time) bool {
	age := now.Sub(c.sentAt)
	if len(c.peers) == 0 || age < max(c.interval, time.Duration(len(c.peers))*time.Second/time.Duration(c.rate)) {
		return false
	}
	if maps.Equal(loads, c.sent) && age < refreshAfter {
		return false
	}
	c.sent, c.sentAt = loads, now
	return true
}

// peers are the addresses of the other entry instances, those of the own
// failure domain apart.
func (x *Exchange) peers() (near, far []string) {
	entries := x.entries()
	own := entries[x.self].FailureDomain
	for name, w := range entries {
		switch {
		case name == x.self || w.Internal == "":
		case w.FailureDomain == own:
			near = append(near, w.Internal)
		default:
			far = append(far, w.Internal)
		}
	}
	return near, far
}

func (x *Exchange) send(peers []string, loads map[string]forward.Load) {
	m := &api.FleetLoad{Name: x.self}
	for id, l := range loads {
		m.Targets = append(m.Targets, &api.FleetTargetLoad{
			Id: id, Requests: uint32(l.Requests), Tokens: uint32(l.Tokens), Incoming: uint32(l.Incoming), Starting: uint32(l.Starting), Suspect: l.Suspect,
		})
	}
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		x.metrics.Counter("loads.not_sent").Inc(1)
		return
	}
	for _, peer := range peers {
		at, err := net.ResolveUDPAddr("udp4", peer)
		if err == nil {
			_, err = x.conn.WriteToUDP(data, at)
		}
		if err != nil {
			x.metrics.Counter("loads.not_sent").Inc(1)
		}
	}
}

// receive takes the loads of peers and forgets those that fall silent.
func (x *Exchange) receive(ctx context.Context) {
	heard := map[string]time.Time{}
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		if err := x.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return
		}
		n, _, err := x.conn.ReadFromUDP(buffer)
		now := time.Now()
		if err == nil {
			x.take(buffer[:n], heard, now)
		} else if errors.Is(err, net.ErrClosed) {
			return
		}
		for name, at := range heard {
			_, listed := x.entries()[name]
			if age := now.Sub(at); age > forgetAfter || (!listed && age > unlistedAfter) {
				x.loads.SetLoads(name, nil)
				delete(heard, name)
			}
		}
	}
}

func (x *Exchange) take(datagram []byte, heard map[string]time.Time, now time.Time) {
	var m api.FleetLoad
	if err := proto.Unmarshal(datagram, &m); err != nil || m.GetName() == "" || m.GetName() == x.self {
		x.metrics.Counter("loads.malformed").Inc(1)
		return
	}
	loads := make(map[string]forward.Load, len(m.GetTargets()))
	for _, t := range m.GetTargets() {
		loads[t.GetId()] = forward.Load{
			Requests: int(t.GetRequests()), Tokens: int(t.GetTokens()), Incoming: int(t.GetIncoming()), Starting: int(t.GetStarting()), Suspect: t.GetSuspect(),
		}
	}
	heard[m.GetName()] = now
	x.loads.SetLoads(m.GetName(), loads)
}
