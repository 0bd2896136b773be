package owner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// fakeControl is a control group with a fixed number of load slots.
type fakeControl struct {
	api.ControlCommand
	mu    sync.Mutex
	slots int
}

func (c *fakeControl) AcquireLoad(context.Context, *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots == 0 {
		return &api.AcquireLoadResponse{RetryAfterMs: 1000}, nil
	}
	c.slots--
	return &api.AcquireLoadResponse{Granted: true}, nil
}

func (c *fakeControl) ReleaseLoad(context.Context, *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots++
	return &api.ReleaseLoadResponse{}, nil
}

// fakeOrderTarget is a target that executes every order immediately and records
// it.
type fakeOrderTarget struct {
	mu     sync.Mutex
	models []string
	orders []order
	leaves bool // it says so in its answers
}

func (e *fakeOrderTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaves {
		w.Header().Set(statement.LeavingHeader, "1")
	}
	if r.Method == http.MethodPost {
		var o order
		_ = json.NewDecoder(r.Body).Decode(&o)
		e.orders = append(e.orders, o)
		e.models = append(e.models, o.Value)
		return
	}
	_ = json.NewEncoder(w).Encode(targetState{Models: e.models})
}

// newOrderFixture returns an owner with one target that lacks the desired model
// m. slots is the number of load slots.
func newOrderFixture(t *testing.T, slots int, checksFencing bool) (*fixture, *fakeOrderTarget, *fakeControl) {
	f := newFixture(t)
	target, control := &fakeOrderTarget{}, &fakeControl{slots: slots}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	f.cfg.Control = control
	f.setView(1, ownSession, ownSession, holder)
	svc := f.source.view.Teams["t"].Settings.Services["llm"]
	svc.DesiredModels = []string{"m"}
	f.source.view.Teams["t"].Settings.Services["llm"] = svc
	f.announceAndAwaitOrders(server.URL, checksFencing)
	return f, target, control
}

func (f *fixture) announceAndAwaitOrders(url string, checksFencing bool) {
	_, err := f.Announce(context.Background(), &api.AnnounceRequest{Shard: f.shard, Announcement: &api.Announcement{
		Target: "e1", Incarnation: "i1", Address: strings.TrimPrefix(url, "http://"), FailureDomain: "fd", ChecksFencing: checksFencing}})
	assert.NilError(f.t, err)
	f.updateShards()
	f.goroutines.Wait()
}

// Guards against an order without the fencing token, a load without a slot of
// the weight store, and a slot that is never released.
// Mutations that this test detects: loadModel sends fencing 0; loadModel
// ignores Granted; loadModel does not call releaseLoad.
func TestDesiredModelIsOrdered(t *testing.T) {
	f, target, control := newOrderFixture(t, 1, true)
	assert.Equal(t, len(target.orders), 1)
	assert.DeepEqual(t, target.orders[0], order{OrderID: "e1.m.1", Kind: orderLoadModel, Value: "m", Fencing: 1})
	assert.Equal(t, control.slots, 1)
	f.advance(time.Second)
	f.goroutines.Wait()
	assert.Equal(t, len(target.orders), 1)

	_, target, _ = newOrderFixture(t, 0, true)
	assert.Equal(t, len(target.orders), 0)
}

// Guards against an order to a target that says in its answers that it leaves, and against
// permits for it.
func TestTargetThatSaysItLeavesGetsNoOrder(t *testing.T) {
	f, target, _ := newOrderFixture(t, 0, true)
	targets := f.shards[session.KeyOf(f.shard)].state.Targets
	address := targets(f.clock.Now())[0].GetAddress()
	target.leaves = true
	f.cfg.Control.(*fakeControl).slots = 1
	f.advance(orderRetryDelay)
	f.announceAndAwaitOrders("http://"+address, true)
	assert.Equal(t, len(target.orders), 0)
	assert.Equal(t, len(targets(f.clock.Now())), 0)
}

// Guards against a new owner's order that a target without fencing checks
// executes before a delayed order from the former owner.
// Mutation that this test detects: startOrders does not wait.
func TestOrderWaitsUntilFormerOwnersOrdersEnded(t *testing.T) {
	f, target, _ := newOrderFixture(t, 1, false)
	assert.Equal(t, len(target.orders), 0)
	address := f.shards[session.KeyOf(f.shard)].state.Targets(f.clock.Now())[0].GetAddress()
	f.advance(formerOwnerLease + orderTimeout)
	f.announceAndAwaitOrders("http://"+address, false)
	assert.Equal(t, len(target.orders), 1)
}

// Guards against orders from an instance whose freshness lease has expired.
// Mutation that this test detects: sendOrder does not call mayStartWork.
func TestNoOrderWithoutFreshLease(t *testing.T) {
	f, target, _ := newOrderFixture(t, 0, true)
	sh := f.shards[session.KeyOf(f.shard)]
	f.source.fresh = false
	err := f.sendOrder(context.Background(), sh, &api.Announcement{Address: "127.0.0.1:1"}, order{})
	assert.ErrorContains(t, err, "not owned")
	assert.Equal(t, len(target.orders), 0)
}
