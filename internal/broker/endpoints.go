package broker

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// RoleEndpoint is the role of endpoints' VMs in the platform's list.
	RoleEndpoint = "endpoint"
	// maxLoadReads bounds the load reports that are read at once.
	maxLoadReads = 64
	// fleetInterval is the longest time between two updates of a fleet.
	fleetInterval = time.Second
)

// endpointWatch holds which endpoints are leaving, by name or by IP number.
type endpointWatch struct {
	mu sync.Mutex
	// byList is the platform's word; byReport is the endpoints' own, by name.
	byList   map[string]bool
	byReport map[string]bool
	version  int
	seen     map[*queue]fleetState
}

// fleetState is what a queue's fleet was last told.
type fleetState struct {
	snapshot *catalog.Snapshot
	version  int
	members  int
	at       time.Time
}

func (w *endpointWatch) init() {
	w.byList = map[string]bool{}
	w.byReport = map[string]bool{}
	w.seen = map[*queue]fleetState{}
}

func (w *endpointWatch) setList(leaving map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !maps.Equal(w.byList, leaving) {
		w.byList = leaving
		w.version++
	}
}

func (w *endpointWatch) setReport(endpoint string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byReport[endpoint] == leaving {
		return
	}
	w.version++
	if leaving {
		w.byReport[endpoint] = true
	} else {
		delete(w.byReport, endpoint)
	}
}

// forget drops a queue that is not decided here any more.
func (w *endpointWatch) forget(q *queue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.seen, q)
}

// due reports whether the fleet of q should be told, and notes that it was.
func (w *endpointWatch) due(now time.Time, q *queue, snapshot *catalog.Snapshot, members int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, known := w.seen[q]
	same := known && last.snapshot == snapshot && last.version == w.version && last.members == members
	if same && now.Sub(last.at) < fleetInterval {
		return false
	}
	w.seen[q] = fleetState{snapshot: snapshot, version: w.version, members: members, at: now}
	return true
}

// leaving names the leaving ones of endpoints, by name and by address.
func (w *endpointWatch) leaving(endpoints []catalog.Endpoint) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := maps.Clone(w.byList)
	for _, e := range endpoints {
		if w.byReport[e.Name] || w.byList[e.Address] || w.byList[hostOf(e.Address)] {
			out[e.Name] = true
		}
	}
	return out
}

func hostOf(address string) string {
	if a, err := netip.ParseAddrPort(address); err == nil {
		return a.Addr().String()
	}
	return address
}

// updateFleet tells a queue's fleet of the endpoints. A local queue gets its
// fraction of each endpoint's limit.
func (b *Broker) updateFleet(now time.Time, q *queue, members []membership.Member) {
	snapshot := b.opts.Config.Current()
	sharing := 0
	for _, m := range members {
		if m.State != membership.Leaving {
			sharing++
		}
	}
	if !b.endpoints.due(now, q, snapshot, sharing) {
		return
	}
	endpoints := snapshot.Endpoints(q.name)
	if q.local {
		endpoints = fraction(endpoints, sharing)
	}
	q.parts.Fleet.Update(now, endpoints, b.endpoints.leaving(endpoints))
}

// fraction gives one of n daemons its part of each endpoint's limit, at least one slot.
func fraction(endpoints []catalog.Endpoint, n int) []catalog.Endpoint {
	out := make([]catalog.Endpoint, len(endpoints))
	for i, e := range endpoints {
		e.MaxConcurrent = max(1, e.MaxConcurrent/max(1, n))
		out[i] = e
	}
	return out
}

// readLoads reads the load reports of the endpoints of the pools decided here.
func (b *Broker) readLoads(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		b.readLoadsOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (b *Broker) readLoadsOnce(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, b.opts.LoadInterval)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxLoadReads)
	for _, q := range b.decidedHere() {
		for _, e := range b.opts.Config.Current().Endpoints(q.name) {
			group.Go(func() error {
				b.readLoad(bounded, q, e)
				return nil
			})
		}
	}
	_ = group.Wait() // No member returns an error.
}

func (b *Broker) readLoad(ctx context.Context, q *queue, e catalog.Endpoint) {
	load, err := b.opts.LoadReader.Load(ctx, e)
	if err != nil {
		b.opts.Scope.Tagged(map[string]string{"pool": q.name}).Counter("load_reads_failed").Inc(1)
		return
	}
	load.Endpoint = e.Name
	b.endpoints.setReport(e.Name, load.Leaving)
	q.parts.Fleet.ObserveLoad(b.now(), load)
}

// readVMs reads the platform's list while a pool is decided here.
func (b *Broker) readVMs(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		if len(b.decidedHere()) > 0 {
			b.readVMsOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// readVMsOnce keeps what was known when the list can not be read.
func (b *Broker) readVMsOnce(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, 2*b.opts.VMInterval)
	defer cancel()
	vms, err := b.opts.Store.VMs(bounded)
	if err != nil {
		b.opts.Scope.Counter("vm_list_reads_failed").Inc(1)
		return
	}
	b.endpoints.setList(leavingEndpoints(vms))
}

// leavingEndpoints names leaving endpoint VMs by name, and by address as listed.
func leavingEndpoints(vms []platform.VM) map[string]bool {
	out := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == RoleEndpoint && vm.State == platform.VMLeaving {
			out[vm.Name] = true
			out[vm.Address] = true
		}
	}
	return out
}
