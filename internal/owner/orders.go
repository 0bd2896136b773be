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
	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// Timing and size limits of orders to targets.
const (
	// orderTimeout bounds the time of one order with its load slot request and state queries.
	orderTimeout = 30 * time.Second
	// formerOwnerLease is the time after which a former owner cannot start
	// work: the freshness lease of 2 s plus the bound on clock rate differences.
	formerOwnerLease = 2200 * time.Millisecond
	// orderRetryDelay is the delay before the next attempt for the same target.
	orderRetryDelay = 5 * time.Second
	// stateReadTimeout bounds the time of one state query to a target.
	stateReadTimeout = 3 * time.Second
	maxStateBytes    = 64 << 10
	// maxOrderHeadBytes bounds the head of a target's response to an order or a state query.
	maxOrderHeadBytes = 64 << 10
	orderDialTimeout  = time.Second
)

// orderLoadModel is the kind of an order to load a model.
const orderLoadModel = "load_model"

// beforeOrderSend is the fault point immediately before the last ownership
// check and the sending of an order.
const beforeOrderSend faultpoint.Point = "owner.order_before_send"

// order is the body of an order to a target.
type order struct {
	OrderID string `json:"order_id"`
	Kind    string `json:"kind"`
	Value   string `json:"value"`
	Fencing uint64 `json:"fencing"`
}

// targetState is a target's response to a state query.
type targetState struct {
	Models  []string `json:"models"`
	Fencing uint64   `json:"fencing"`
}

// newOrderClient returns the HTTP client for orders. An order reaches the announced address
// or no address, at most once.
func newOrderClient() *http.Client {
	return netconn.NewCallClient((&net.Dialer{Timeout: orderDialTimeout}).DialContext, maxOrderHeadBytes)
}

// startOrders starts an order for each target that lacks a desired model. At
// most one order per target runs at a time. The caller must hold o.mu.
//
// The epoch is the fencing token. A target that ignores it could execute a
// delayed order from the former owner after a newer one. For such targets a
// new owner first waits until every order from the former owner has ended.
func (o *Owner) startOrders(sh *shard, now time.Time) {
	service := sh.service
	if service.Kind != settings.KindEngine || len(service.DesiredModels) == 0 || !o.mayStartWork(sh) {
		return
	}
	for _, a := range sh.state.Targets(now) {
		model, missing := missingModel(service.DesiredModels, a.GetModels())
		if !missing || slices.Contains(service.DrainedTargets, a.GetTarget()) || now.Before(sh.nextOrder[a.GetTarget()]) {
			continue
		}
		if !a.GetChecksFencing() && now.Sub(sh.ownedSince) < formerOwnerLease+orderTimeout {
			continue
		}
		sh.nextOrder[a.GetTarget()] = now.Add(orderTimeout + orderRetryDelay)
		o.goroutines.Go(func() {
			err := o.loadModel(sh, a, model)
			o.finishOrder(sh, a.GetTarget(), model, err)
		})
	}
}

// missingModel returns the first desired model that the target has not loaded.
func missingModel(desired, loaded []string) (string, bool) {
	for _, m := range desired {
		if !slices.Contains(loaded, m) {
			return m, true
		}
	}
	return "", false
}

// finishOrder records an order's result and sets the earliest time of the next
// order to the target.
func (o *Owner) finishOrder(sh *shard, target, model string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh.nextOrder[target] = o.cfg.Clock.Now().Add(orderRetryDelay)
	if err != nil {
		o.metrics.Counter("orders_failed").Inc(1)
		o.recordEvent("order_failed", sh.key, "target", target, "model", model, "error", err.Error())
		return
	}
	o.metrics.Counter("orders_done").Inc(1)
	o.recordEvent("order_done", sh.key, "target", target, "model", model)
}

// loadModel acquires one of the slots that limit concurrent loads from the weight
// store, orders the target to load the model and verifies the result with a state
// query.
func (o *Owner) loadModel(sh *shard, a *api.Announcement, model string) error {
	ctx, cancel := context.WithTimeout(sh.ctx, orderTimeout)
	defer cancel()
	reported, err := o.readTargetState(ctx, sh, a)
	if err != nil {
		return trace.Wrap(err)
	}
	if slices.Contains(reported.Models, model) {
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
	if err := o.sendOrder(ctx, sh, a, order{OrderID: orderID(sh, a.GetTarget(), model), Kind: orderLoadModel, Value: model, Fencing: sh.epoch}); err != nil {
		return trace.Wrap(err)
	}
	if reported, err = o.readTargetState(ctx, sh, a); err != nil {
		return trace.Wrap(err)
	}
	if !slices.Contains(reported.Models, model) {
		return fmt.Errorf("target %s carried out the order but does not have model %s", a.GetTarget(), model)
	}
	return nil
}

// orderID returns an ID that is the same for every attempt within one epoch, so
// that the target recognises a repeated order.
func orderID(sh *shard, target, model string) string {
	return target + "." + model + "." + strconv.FormatUint(sh.epoch, 10)
}

// releaseLoad returns a target's load slot to the control group. It does not use
// the shard's context, so that the slot is returned even if the ownership of the
// shard has ended.
func (o *Owner) releaseLoad(key session.ShardKey, id uint64, target string) {
	ctx, cancel := context.WithTimeout(context.Background(), stateReadTimeout)
	defer cancel()
	if _, err := o.cfg.Control.ReleaseLoad(ctx, &api.ReleaseLoadRequest{SessionId: id, Team: key.Team, Target: target}); err != nil {
		o.recordEvent("load_slot_not_released", key, "target", target, "error", err.Error())
	}
}

// sendOrder sends an order to a target. It fails without sending if this instance
// no longer owns the shard at the epoch of sh.
func (o *Owner) sendOrder(ctx context.Context, sh *shard, a *api.Announcement, body order) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.GetAddress()+"/v1/orders", bytes.NewReader(payload))
	if err != nil {
		return err
	}
	r.GetBody = nil // prevents net/http from sending the order again
	r.Header.Set("Content-Type", "application/json")
	if err := faultpoint.Hit(beforeOrderSend); err != nil {
		return err
	}
	if !o.mayStartWork(sh) {
		return fmt.Errorf("shard %s is not owned at epoch %d any more", sh.key, sh.epoch)
	}
	resp, err := o.orderClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.recordStatement(sh, a, resp)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("target %s answered the order with status %d", a.GetTarget(), resp.StatusCode)
	}
	return nil
}

// recordStatement records whether a target says in a response that it leaves, and returns that.
func (o *Owner) recordStatement(sh *shard, a *api.Announcement, resp *http.Response) (leaves bool) {
	if resp.StatusCode == http.StatusMisdirectedRequest || !statement.Leaving(resp.Header.Values(statement.LeavingHeader)) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	sh.state.RecordLeaving(&api.TargetIncarnation{Target: a.GetTarget(), Incarnation: a.GetIncarnation()}, o.cfg.Clock.Now())
	return true
}

// readTargetState queries the state of a target. It fails if the target leaves.
func (o *Owner) readTargetState(ctx context.Context, sh *shard, a *api.Announcement) (*targetState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.GetAddress()+"/v1/state", nil)
	if err != nil {
		return nil, err
	}
	resp, err := o.orderClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if o.recordStatement(sh, a, resp) {
		return nil, fmt.Errorf("target %s says that it leaves", a.GetTarget())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("target %s answered the state query with status %d", a.GetTarget(), resp.StatusCode)
	}
	var s targetState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("state of target %s: %w", a.GetTarget(), err)
	}
	return &s, nil
}
