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
	// leastInterval is the time between two datagrams to a peer.
	leastInterval = 60 * time.Millisecond
	// maxRate bounds the datagrams that one instance sends in a second; with
	// many peers the interval grows.
	maxRate = 150
	// refreshAfter is when an unchanged load is sent again.
	refreshAfter = 500 * time.Millisecond
	// forgetAfter is when a peer that sends nothing any more counts as idle.
	forgetAfter = 2 * time.Second
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
	var sent map[string]forward.Load
	var sentAt time.Time
	for {
		peers := x.peers()
		interval := max(leastInterval, time.Duration(len(peers))*time.Second/maxRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		now := time.Now()
		loads := x.loads.Loads()
		if maps.Equal(loads, sent) && now.Sub(sentAt) < refreshAfter {
			continue
		}
		sent, sentAt = loads, now
		x.send(peers, loads)
	}
}

// peers are the addresses of the other entry instances.
func (x *Exchange) peers() []string {
	var out []string
	for name, w := range x.entries() {
		if name != x.self && w.Internal != "" {
			out = append(out, w.Internal)
		}
	}
	return out
}

func (x *Exchange) send(peers []string, loads map[string]forward.Load) {
	m := &api.FleetLoad{Name: x.self}
	for id, l := range loads {
		m.Targets = append(m.Targets, &api.FleetTargetLoad{Id: id, Requests: uint32(l.Requests), Tokens: uint32(l.Tokens), Incoming: uint32(l.Incoming)})
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
		if err := x.conn.SetReadDeadline(time.Now().Add(forgetAfter / 2)); err != nil {
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
			if now.Sub(at) > forgetAfter {
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
		loads[t.GetId()] = forward.Load{Requests: int(t.GetRequests()), Tokens: int(t.GetTokens()), Incoming: int(t.GetIncoming())}
	}
	heard[m.GetName()] = now
	x.loads.SetLoads(m.GetName(), loads)
}
