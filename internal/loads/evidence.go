package loads

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

const (
	// evidenceInterval is the time between two datagrams to random peers, which make up
	// for lost ones and inform instances that have restarted.
	evidenceInterval = time.Second
	evidenceFanout   = 2
	// startAskInterval is the time between the first startAsks questions for evidence of an
	// instance that has found peers, and askInterval between two later ones of an instance
	// that is not listed.
	startAskInterval = 500 * time.Millisecond
	startAsks        = 4
	askInterval      = 2 * time.Second
	// minEvidenceGap is the minimum time between two datagrams to all peers.
	minEvidenceGap = 20 * time.Millisecond
)

// EvidenceStore holds what instances know of prompts that crash targets. Evidence
// returns nil if there is nothing to tell.
type EvidenceStore interface {
	Evidence() *api.FleetEvidence
	Merge(*api.FleetEvidence)
	// Changed returns a channel that receives a value when peers have to be told.
	Changed() <-chan struct{}
}

// shareEvidence tells all peers each change at once, and random ones the whole evidence
// again and again until there is none. An instance that has just started asks peers, since
// most of those that know something do not repeat it. One that no control instance lists
// goes on asking: nobody tells it anything, but callers may still use it.
func (x *Exchange) shareEvidence(ctx context.Context) {
	ask := time.NewTicker(startAskInterval)
	defer ask.Stop()
	var repeat <-chan time.Time
	asked := 0
	for {
		peers := 0
		select {
		case <-ctx.Done():
			return
		case <-ask.C:
			if x.mustAsk(asked) && x.askForEvidence() {
				asked++
			}
			if asked == startAsks {
				ask.Reset(askInterval)
			}
			continue
		case <-x.evidence.Changed():
			peers = len(x.entries())
		case <-repeat:
			peers = evidenceFanout
		}
		m := x.evidence.Evidence()
		if m == nil {
			repeat = nil
			continue
		}
		x.sendEvidence(m, x.randomPeers(peers))
		repeat = time.After(evidenceInterval)
		if !sleep.For(ctx, minEvidenceGap) {
			return
		}
	}
}

// mustAsk reports whether this instance may not be told what its peers know.
func (x *Exchange) mustAsk(asked int) bool {
	_, listed := x.entries()[x.self]
	return asked < startAsks || !listed
}

// askForEvidence asks a random peer for its evidence. It returns false if there is none.
func (x *Exchange) askForEvidence() bool {
	peers := x.randomPeers(1)
	x.sendEvidence(&api.FleetEvidence{WantsReply: true}, peers)
	return len(peers) > 0
}

// randomPeers returns the addresses of at most n other entry instances.
func (x *Exchange) randomPeers(n int) []string {
	local, remote := x.peers()
	all := append(local, remote...)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

func (x *Exchange) sendEvidence(m *api.FleetEvidence, peers []string) {
	data, err := proto.Marshal(&api.FleetLoad{Evidence: m})
	if err != nil || len(data) > maxDatagram {
		x.metrics.Counter("loads.not_sent").Inc(1)
		return
	}
	x.sendDatagram(data, peers)
}

// handleEvidence merges a peer's evidence and answers it if asked to.
func (x *Exchange) handleEvidence(m *api.FleetEvidence, from netip.AddrPort) {
	x.evidence.Merge(m)
	if !m.GetWantsReply() {
		return
	}
	if own := x.evidence.Evidence(); own != nil {
		x.sendEvidence(own, []string{from.String()})
	}
}
