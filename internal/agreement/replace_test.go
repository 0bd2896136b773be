package agreement

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingTransport counts the messages to each address.
type countingTransport struct{ delivered *atomic.Int64 }

func (t countingTransport) Deliver(context.Context, string, []Message) error {
	t.delivered.Add(1)
	return errors.New("unreachable")
}

// Guards against a node that sends nothing to new members any more, or keeps a goroutine for
// each address that it ever sent to, once many members have been replaced.
func TestThousandAddressesAreAllSentTo(t *testing.T) {
	const addresses = 1000
	transport := countingTransport{delivered: &atomic.Int64{}}
	n := newNode(Config{ElectionTimeout: 150 * time.Millisecond}, Member{Name: "a"}, transport, nil)
	defer n.workers.Wait()
	defer n.cancel()
	before := runtime.NumGoroutine()
	for k := range addresses {
		n.enqueue(Message{Type: MsgHello, ToAddress: fmt.Sprint("address-", k)})
		deadline := time.Now().Add(5 * time.Second)
		for transport.delivered.Load() < int64(k+1) {
			assert.Assert(t, time.Now().Before(deadline), "nothing is sent to address %d", k)
			time.Sleep(10 * time.Microsecond)
		}
	}
	assert.Assert(t, n.outboxes.Len() <= maxOutboxes)
	deadline := time.Now().Add(5 * time.Second)
	for runtime.NumGoroutine() > before+maxOutboxes {
		assert.Assert(t, time.Now().Before(deadline), "%d goroutines, %d before", runtime.NumGoroutine(), before)
		time.Sleep(time.Millisecond)
	}
}

// Guards against a group that loses its majority after many of its members were replaced, one
// after the other, while its leader stayed.
func TestGroupOutlivesFortyFiveReplacements(t *testing.T) {
	t.Parallel()
	const replacements = 45
	g := newAutoMembershipGroup(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	leader := g.leader(ctx).config.Name
	var others []string
	for _, m := range g.members {
		if m.Name != leader {
			others = append(others, m.Name)
		}
	}
	for k := range replacements {
		name := fmt.Sprintf("n%03d", k)
		g.start(name, name)
		lost := others[0]
		others = append(others[1:], name)
		g.kill(lost)
		assert.NilError(t, os.RemoveAll(filepath.Join(g.dir, lost)))
		g.waitVoters(ctx, g.incarnations())
		g.propose(ctx, fmt.Sprint("after ", k))
	}
}
