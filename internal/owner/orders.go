package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Bounds of orders to targets.
const (
	// longestOrder bounds one order, from sending it to its answer.
	longestOrder = 30 * time.Second
	// formerLease is the time after which a former owner surely dispatches
	// nothing: the freshness lease with the bound on clock rates.
	formerLease = 2200 * time.Millisecond
	// orderPause is the time between attempts for one target.
	orderPause = 5 * time.Second
	// stateTimeout bounds reading a target's state.
	stateTimeout     = 3 * time.Second
	maxStateBytes    = 64 << 10
	orderDialTimeout = time.Second
)

// Kinds of orders.
const orderLoadModel = "load_model"

// orderSent is passed right before an order leaves.
const orderSent faultpoint.Point = "owner.order_before_send"

// order is the body of an order to a target.
type order struct {
	OrderID string `json:"order_id"`
	Kind    string `json:"kind"`
	Value   string `json:"value"`
	Fencing uint64 `json:"fencing"`
}

// targetState is what a target says about itself.
type targetState struct {
	Models  []string `json:"models"`
	Fencing uint64   `json:"fencing"`
}

// newOrderClient returns the client for orders. It never retries and follows
// no redirects; an order reaches the announced address or nothing.
func newOrderClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: orderDialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// startOrders starts an order for each target that lacks a desired model. At
// most one order per target runs at a time. Must be called with o.mu held.
//
// The epoch is the fencing token. Targets that ignore it could carry out a
// late order of the former owner after a newer one, so that for them a new
// owner first waits until such orders are surely over.
func (o *Owner) startOrders(sh *shard, now time.Time) {
	service := sh.service
	if service.Kind != settings.KindEngine || len(service.DesiredModels) == 0 || !o.mayAct(sh) {
		return
	}
	for _, a := range sh.state.Targets(now) {
		model, missing := missingModel(service.DesiredModels, a.GetModels())
		if !missing || slices.Contains(service.DrainedTargets, a.GetTarget()) || now.Before(sh.nextOrder[a.GetTarget()]) {
			continue
		}
		if !a.GetChecksFencing() && now.Sub(sh.taken) < formerLease+longestOrder {
			continue
		}
		sh.nextOrder[a.GetTarget()] = now.Add(longestOrder + orderPause)
		o.done.Go(func() {
			err := o.load(sh, a, model)
			o.orderEnded(sh, a.GetTarget(), model, err)
		})
	}
}

func missingModel(desired, loaded []string) (string, bool) {
	for _, m := range desired {
		if !slices.Contains(loaded, m) {
			return m, true
		}
	}
	return "", false
}

// orderEnded records the result and permits the next attempt.
func (o *Owner) orderEnded(sh *shard, target, model string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh.nextOrder[target] = o.cfg.Clock.Now().Add(orderPause)
	if err != nil {
		o.metrics.Counter("orders_failed").Inc(1)
		o.event("order_failed", sh.key, "target", target, "model", model, "error", err.Error())
		return
	}
	o.metrics.Counter("orders_done").Inc(1)
	o.event("order_done", sh.key, "target", target, "model", model)
}

// load takes a slot of the weight store, orders the target to load the model
// and reads the result back.
func (o *Owner) load(sh *shard, a *api.Announcement, model string) error {
	ctx, cancel := context.WithTimeout(sh.ctx, longestOrder)
	defer cancel()
	state, err := o.readState(ctx, a)
	if err != nil {
		return trace.Wrap(err)
	}
	if slices.Contains(state.Models, model) {
		return nil
	}
	id := o.cfg.Source.SessionID()
	slot, err := o.cfg.Control.AcquireLoad(ctx, &api.AcquireLoadRequest{SessionId: id, Team: sh.key.Team, Target: a.GetTarget(), Epoch: sh.epoch})
	if err != nil {
		return trace.Wrap(err)
	}
	if !slot.GetGranted() {
		return fmt.Errorf("no load slot is free; retry after %d ms", slot.GetRetryAfterMs())
	}
	defer o.releaseLoad(sh.key, id, a.GetTarget())
	if err := o.send(ctx, sh, a, order{OrderID: orderID(sh, a.GetTarget(), model), Kind: orderLoadModel, Value: model, Fencing: sh.epoch}); err != nil {
		return trace.Wrap(err)
	}
	if state, err = o.readState(ctx, a); err != nil {
		return trace.Wrap(err)
	}
	if !slices.Contains(state.Models, model) {
		return fmt.Errorf("target %s carried out the order but does not have model %s", a.GetTarget(), model)
	}
	return nil
}

// orderID is the same for each attempt of one ownership, so that a repeated
// order is recognised.
func orderID(sh *shard, target, model string) string {
	return target + "." + model + "." + strconv.FormatUint(sh.epoch, 10)
}

// releaseLoad gives the slot back even when the ownership has ended.
func (o *Owner) releaseLoad(key session.ShardKey, id uint64, target string) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	if _, err := o.cfg.Control.ReleaseLoad(ctx, &api.ReleaseLoadRequest{SessionId: id, Team: key.Team, Target: target}); err != nil {
		o.event("load_slot_not_released", key, "target", target, "error", err.Error())
	}
}

// send sends the order if this instance still owns the shard.
func (o *Owner) send(ctx context.Context, sh *shard, a *api.Announcement, body order) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.GetAddress()+"/v1/orders", bytes.NewReader(text))
	if err != nil {
		return err
	}
	r.GetBody = nil // no retry by the HTTP library
	r.Header.Set("Content-Type", "application/json")
	if err := faultpoint.Hit(orderSent); err != nil {
		return err
	}
	if !o.mayAct(sh) {
		return fmt.Errorf("shard %s is not owned at epoch %d any more", sh.key, sh.epoch)
	}
	resp, err := o.orders.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("target %s answered the order with status %d", a.GetTarget(), resp.StatusCode)
	}
	return nil
}

func (o *Owner) readState(ctx context.Context, a *api.Announcement) (*targetState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.GetAddress()+"/v1/state", nil)
	if err != nil {
		return nil, err
	}
	resp, err := o.orders.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("target %s answered the state query with status %d", a.GetTarget(), resp.StatusCode)
	}
	var s targetState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("state of target %s: %w", a.GetTarget(), err)
	}
	return &s, nil
}
