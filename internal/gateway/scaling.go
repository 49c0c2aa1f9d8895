package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/duty"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routetable"
	"github.com/primrosewell/primrosewell/internal/scaling"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// orderInterval is the time between two plans. It is short beside the seconds in which endpoints boot.
	orderInterval = 250 * time.Millisecond
	// orderTimeout bounds a call that gives an order. It is well below the lease, which must last longer.
	orderTimeout = time.Second
	// maxParallelOrders bounds the calls at one time; what is left is due at the next plan.
	maxParallelOrders = 12
	// scalingCollection holds one object, startsObject: the number of endpoints of the start by service, which a
	// later holder can't tell from the list. It is read once by each holder, and written once.
	scalingCollection, startsObject = "scaling", "starts"
	// maxStart bounds a stored number.
	maxStart = 100_000
	// startsTimeout bounds a call for it, and startsRetry is the time between two attempts to write it.
	startsTimeout, startsRetry = 800 * time.Millisecond, 2 * time.Second
)

// orderer orders endpoints while this gateway holds the duty.
type orderer struct {
	lease  duty.Lease
	caller duty.Caller
	// encode encodes an order as the platform expects it.
	encode func(adapter.EndpointOrder) (adapter.DutyCall, error)
	// state returns the services whose endpoints can be ordered.
	state func(now time.Time) scaling.State
	log   *logrus.Logger
	scope tally.Scope
	store platform.Store
	// lines bounds the lines on orders that were not accepted.
	lines telemetry.LineLimit

	// planner is that of the grant, or nil.
	planner *scaling.Planner
	grant   duty.Grant
	// starts is what the platform holds of the numbers of the start, at version, and keepAt when it may be
	// written.
	starts  map[string]int
	version int64
	keepAt  time.Time
}

// ordersEndpoints reports whether the settings name the duty of ordering endpoints.
func (g *Gateway) ordersEndpoints() bool {
	duties := g.options.Adapter.Duties
	return duties != nil && slices.ContainsFunc(g.settings.Duties.Names, func(name string) bool {
		kind, known := duties.Kind(name)
		return known && kind == adapter.EndpointOrders
	})
}

// newOrderer returns nil if this gateway has no duty of ordering endpoints.
func (g *Gateway) newOrderer(i do.Injector) (*orderer, error) {
	lease, err := do.Invoke[duty.Lease](i)
	if !g.ordersEndpoints() || errors.Is(err, do.ErrServiceNotFound) || err == nil && lease == nil {
		return nil, nil //nolint:nilnil // Without the duty there is no orderer.
	}
	if err != nil {
		return nil, err
	}
	caller, err := do.Invoke[duty.Caller](i)
	if err != nil {
		return nil, err
	}
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	w, err := do.Invoke[*watcher](i)
	if err != nil {
		return nil, err
	}
	return &orderer{
		lease: lease, caller: caller, encode: g.options.Adapter.Duties.EndpointOrder, state: g.scalingState, log: g.log, scope: metrics.Scope.SubScope("scaling"),
		store: w.store,
	}, nil
}

// scalingState returns the endpoints of the services that have a scaling range, with their loads from all gateways.
func (g *Gateway) scalingState(now time.Time) scaling.State {
	table := g.tableHolder.Table()
	if table == nil || g.endpointList.Version().Number == 0 {
		return nil
	}
	state := lo.MapValues(table.Scalings(), func(s routetable.Scaling, _ string) scaling.Service { return scaling.Service{Scaling: s} })
	if len(state) == 0 {
		return nil
	}
	own, remote := g.pools.OwnLoad(), g.members.RemoteLoads(now)
	for _, e := range g.directory.Endpoints() {
		if service, found := state[e.Service]; found {
			key := balance.KeyOf(e.ID)
			service.Endpoints = append(service.Endpoints, scaling.Endpoint{
				Endpoint: e, Running: own[key].Running + remote[key].Running, PendingTokens: own[key].PendingTokens + remote[key].PendingTokens,
			})
			state[e.Service] = service
		}
	}
	return state
}

// Run orders endpoints until ctx ends.
func (o *orderer) Run(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, orderInterval) {
		o.orderOnce(ctx, time.Now())
	}
}

// orderOnce gives the orders that are due.
func (o *orderer) orderOnce(ctx context.Context, now time.Time) {
	grant, held := o.lease.Held(now)
	if !held {
		o.planner = nil
		return
	}
	if o.planner == nil || grant != o.grant {
		o.readStarts(ctx)
		o.planner, o.grant = scaling.NewPlanner(o.starts), grant // Another holder may have ordered since.
	}
	state := o.state(now)
	orders := o.planner.Plan(now, state)
	orders = orders[:min(len(orders), maxParallelOrders)]
	errs := make([]error, len(orders))
	var calls sync.WaitGroup
	for i, order := range orders {
		calls.Go(func() { errs[i] = o.call(ctx, order) })
	}
	calls.Wait()
	for i, order := range orders {
		outcome := outcomeOf(errs[i])
		o.planner.Note(time.Now(), order, outcome)
		o.report(order, outcome, errs[i])
	}
	o.keepStarts(ctx, now)
	for service := range state {
		summary, tagged := o.planner.Summary(service), o.scope.Tagged(map[string]string{"service": service})
		tagged.Gauge("wanted").Update(float64(summary.Wanted))
		tagged.Gauge("survivors").Update(float64(summary.Survivors))
		tagged.Gauge("work").Update(summary.Work)
	}
}

// readStarts reads what earlier holders have kept. Without it, the planner goes by the list of endpoints.
func (o *orderer) readStarts(ctx context.Context) {
	o.starts, o.version = nil, 0
	ctx, cancel := context.WithTimeout(ctx, startsTimeout)
	defer cancel()
	object, err := o.store.Get(ctx, scalingCollection, startsObject)
	if err == nil {
		o.version = object.Version
		err = json.Unmarshal(object.Data, &o.starts)
	}
	if err != nil && platform.ReasonOf(err) != platform.NotFound {
		o.log.WithFields(logrus.Fields{"event": "scaling_starts", "epoch": o.grant.Epoch, "error": err}).Warn("the numbers of endpoints of the start could not be read; those listed now count")
	}
	maps.DeleteFunc(o.starts, func(_ string, n int) bool { return n <= 0 || n > maxStart })
}

// keepStarts stores the numbers of the start that the platform doesn't hold yet.
func (o *orderer) keepStarts(ctx context.Context, now time.Time) {
	merged := o.planner.Starts(now)
	maps.Copy(merged, o.starts)
	if len(merged) == len(o.starts) || now.Before(o.keepAt) {
		return
	}
	o.keepAt = now.Add(startsRetry)
	data, err := json.Marshal(merged)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startsTimeout)
	defer cancel()
	write := lo.Ternary(o.version > 0, o.store.Update, o.store.Create)
	object, err := write(ctx, platform.Object{Collection: scalingCollection, Name: startsObject, Version: o.version, Data: data})
	switch {
	case err == nil:
		o.starts, o.version = merged, object.Version
	case platform.ReasonOf(err) == platform.Exists || platform.ReasonOf(err) == platform.Conflict:
		o.readStarts(ctx) // An earlier write whose answer was lost, or another holder's.
	default:
		o.log.WithFields(logrus.Fields{"event": "scaling_starts", "epoch": o.grant.Epoch, "error": err}).Warn("the numbers of endpoints of the start could not be stored; it is tried again")
	}
}

func (o *orderer) call(ctx context.Context, order adapter.EndpointOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	call, err := o.encode(order)
	if err != nil {
		return err
	}
	return o.caller.Call(ctx, call)
}

// outcomeOf returns what the result of a call says of the order.
func outcomeOf(err error) scaling.Outcome {
	var refused *duty.RefusedError
	switch {
	case err == nil:
		return scaling.Accepted
	case errors.Is(err, duty.ErrNotHeld):
		return scaling.NotSent
	case errors.As(err, &refused) && refused.Status == http.StatusTooManyRequests:
		return scaling.NotSent
	case refused != nil:
		return scaling.Refused
	}
	return scaling.Unanswered
}

// report logs and counts an order.
func (o *orderer) report(order adapter.EndpointOrder, outcome scaling.Outcome, err error) {
	o.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("orders").Inc(1)
	summary := o.planner.Summary(order.Service)
	line := o.log.WithFields(logrus.Fields{
		"event": "endpoints_ordered", "service": order.Service, "data_centre": order.DataCentre, "reclaimable": order.Reclaimable, "count": order.Count,
		"outcome": outcome.String(), "epoch": o.grant.Epoch, "wanted": summary.Wanted, "survivors": summary.Survivors, "work": summary.Work,
	})
	if outcome == scaling.Accepted {
		line.Info("endpoints ordered")
		return
	}
	key := fmt.Sprint(order.Service, order.DataCentre, order.Reclaimable, outcome)
	if withheld, allowed := o.lines.Allow(time.Now(), key); allowed {
		line.WithFields(logrus.Fields{"withheld": withheld, "error": err}).Warn("an order of endpoints was not accepted; the last one stays in force")
	}
}
