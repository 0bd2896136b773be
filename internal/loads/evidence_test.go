package loads

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/forward"
	"github.com/endivetrack/endivetrack/internal/quarantine"
)

// startEvidence runs an exchange for a new store at an address that was reserved.
func startEvidence(t *testing.T, name, address string, peers map[string]fleet.Watcher) *quarantine.Store {
	t.Helper()
	store := quarantine.New(zerolog.Nop(), tally.NoopScope, time.Now)
	x, err := Listen(name, "a", address, func() map[string]fleet.Watcher { return peers }, noLoads{}, store, tally.NoopScope)
	assert.NilError(t, err)
	runUntilEnd(t, x)
	return store
}

// noLoads is a LoadTable without loads.
type noLoads struct{}

func (noLoads) Loads() map[string]forward.Load           { return nil }
func (noLoads) SetLoads(string, map[string]forward.Load) {}
func (noLoads) LoadsChanged() <-chan struct{}            { return nil }

func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

var crashingPrompt = []string{"5a", "dead", "01"}

// crashThree makes each of three instances see one crash by a crashing prompt.
func crashThree(stores []*quarantine.Store) {
	for n := range 3 {
		time.Sleep(5 * time.Millisecond)
		suspect := quarantine.NewSuspect([]string{"5a", "dead", fmt.Sprint(n)}, time.Now())
		time.Sleep(5 * time.Millisecond)
		for _, s := range stores {
			s.RecordServed("llm", []string{"5a", "77", "1"})
		}
		stores[n%len(stores)].RecordCrash(quarantine.CrashID{Target: fmt.Sprint("i", n), Incarnation: 1}, "llm", time.Now(), suspect)
		time.Sleep(30 * time.Millisecond)
	}
	for _, s := range stores {
		s.RecordServed("llm", []string{"5a", "77", "1"})
	}
}

func awaitQuarantine(t *testing.T, s *quarantine.Store) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := s.Match(crashingPrompt); ok {
			return poll.Success()
		}
		return poll.Continue("not quarantined")
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against instances that each wait for their own crashes before they quarantine a
// part, against one that is not listed and is not told, and against one that forgets at a
// restart.
func TestQuarantineReachesEachInstance(t *testing.T) {
	peers := map[string]fleet.Watcher{}
	addresses := map[string]string{}
	for _, name := range []string{"a", "b", "c"} {
		addresses[name] = freeUDPAddress(t)
		peers[name] = fleet.Watcher{Name: name, InternalAddress: addresses[name]}
	}
	var stores []*quarantine.Store
	for _, name := range []string{"a", "b", "c"} {
		stores = append(stores, startEvidence(t, name, addresses[name], peers))
	}
	crashThree(stores)
	for _, s := range stores {
		awaitQuarantine(t, s)
	}
	store := startEvidence(t, "d", "127.0.0.1:0", peers)
	awaitQuarantine(t, store)

	assert.Assert(t, stores[0].Lift(stores[0].List()[0].Parts))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(stores[1].List()) == 0 && len(stores[2].List()) == 0 {
			return poll.Success()
		}
		return poll.Continue("still quarantined")
	}, poll.WithTimeout(3*time.Second))
}

// Guards against a listed instance that forgets at a restart, while its peers repeat nothing.
func TestRestartedInstanceAsksForEvidence(t *testing.T) {
	peers := map[string]fleet.Watcher{}
	for _, name := range []string{"a", "b"} {
		peers[name] = fleet.Watcher{Name: name, InternalAddress: freeUDPAddress(t)}
	}
	decider := quarantine.New(zerolog.Nop(), tally.NoopScope, time.Now)
	crashThree([]*quarantine.Store{decider})
	peer := startEvidence(t, "a", peers["a"].InternalAddress, peers)
	peer.Merge(decider.Evidence())
	awaitQuarantine(t, startEvidence(t, "b", peers["b"].InternalAddress, peers))
}
