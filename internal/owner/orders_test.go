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
)

// fakeControl grants a number of load slots.
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

// orderTarget is a target that carries out orders at once.
type orderTarget struct {
	mu     sync.Mutex
	models []string
	orders []order
}

func (e *orderTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost {
		var o order
		_ = json.NewDecoder(r.Body).Decode(&o)
		e.orders = append(e.orders, o)
		e.models = append(e.models, o.Value)
		return
	}
	_ = json.NewEncoder(w).Encode(targetState{Models: e.models})
}

// orderFixture is an owner of a target that lacks the desired model m.
func orderFixture(t *testing.T, slots int, checksFencing bool) (*fixture, *orderTarget, *fakeControl) {
	f := newFixture(t)
	target, control := &orderTarget{}, &fakeControl{slots: slots}
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	f.cfg.Control = control
	f.setView(1, ownSession, ownSession, holder)
	svc := f.source.view.Teams["t"].Settings.Services["llm"]
	svc.DesiredModels = []string{"m"}
	f.source.view.Teams["t"].Settings.Services["llm"] = svc
	f.announceOrders(server.URL, checksFencing)
	return f, target, control
}

func (f *fixture) announceOrders(url string, checksFencing bool) {
	_, err := f.Announce(context.Background(), &api.AnnounceRequest{Shard: f.shard, Announcement: &api.Announcement{
		Target: "e1", Incarnation: "i1", Address: strings.TrimPrefix(url, "http://"), FailureDomain: "fd", ChecksFencing: checksFencing}})
	assert.NilError(f.t, err)
	f.step()
	f.done.Wait()
}

// Guards against orders without the fencing token, a load without a slot of
// the weight store or a slot that is not given back. Mutations: send with
// fencing 0; load ignores Granted; releaseLoad not called.
func TestDesiredModelIsOrdered(t *testing.T) {
	f, target, control := orderFixture(t, 1, true)
	assert.Equal(t, len(target.orders), 1)
	assert.DeepEqual(t, target.orders[0], order{OrderID: "e1.m.1", Kind: orderLoadModel, Value: "m", Fencing: 1})
	assert.Equal(t, control.slots, 1)
	f.advance(time.Second)
	f.done.Wait()
	assert.Equal(t, len(target.orders), 1)

	_, target, _ = orderFixture(t, 0, true)
	assert.Equal(t, len(target.orders), 0)
}

// Guards against an order that crosses a late one of the former owner at a
// target that ignores fencing numbers. Mutation: startOrders does not wait.
func TestOrderWaitsOutFormerOwner(t *testing.T) {
	f, target, _ := orderFixture(t, 1, false)
	assert.Equal(t, len(target.orders), 0)
	address := f.shards[session.KeyOf(f.shard)].state.Targets(f.clock.Now())[0].GetAddress()
	f.advance(formerLease + longestOrder)
	f.announceOrders("http://"+address, false)
	assert.Equal(t, len(target.orders), 1)
}

// Guards against orders of an instance whose lease has run out. Mutation: send
// does not call mayAct.
func TestNoOrderWithoutFreshLease(t *testing.T) {
	f, target, _ := orderFixture(t, 0, true)
	sh := f.shards[session.KeyOf(f.shard)]
	f.source.fresh = false
	err := f.send(context.Background(), sh, &api.Announcement{Address: "127.0.0.1:1"}, order{})
	assert.ErrorContains(t, err, "not owned")
	assert.Equal(t, len(target.orders), 0)
}
