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
	// maxConcurrentLoadReads limits the load reports that are read at the same time.
	maxConcurrentLoadReads = 64
	// maxFleetUpdateInterval is the longest time between two updates of a fleet.
	maxFleetUpdateInterval = time.Second
)

// leavingTracker tracks which endpoints are leaving, and when each queue's fleet was last updated.
type leavingTracker struct {
	mu sync.Mutex
	// byPlatform has the names and addresses that the platform lists as leaving;
	// byLoadReport has the names of endpoints whose own load report says so.
	byPlatform   map[string]bool
	byLoadReport map[string]bool
	version      int
	lastUpdates  map[*queue]fleetUpdate
}

// fleetUpdate describes the last update of a queue's fleet.
type fleetUpdate struct {
	snapshot  *catalog.Snapshot
	version   int
	members   int
	updatedAt time.Time
}

func (w *leavingTracker) init() {
	w.byPlatform = map[string]bool{}
	w.byLoadReport = map[string]bool{}
	w.lastUpdates = map[*queue]fleetUpdate{}
}

func (w *leavingTracker) setPlatformLeaving(leaving map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !maps.Equal(w.byPlatform, leaving) {
		w.byPlatform = leaving
		w.version++
	}
}

func (w *leavingTracker) setReportedLeaving(endpoint string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byLoadReport[endpoint] == leaving {
		return
	}
	w.version++
	if leaving {
		w.byLoadReport[endpoint] = true
	} else {
		delete(w.byLoadReport, endpoint)
	}
}

// forget drops the state of a queue that this daemon no longer decides.
func (w *leavingTracker) forget(q *queue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lastUpdates, q)
}

// updateDue reports whether the fleet of q needs an update, and records it as updated if so.
func (w *leavingTracker) updateDue(now time.Time, q *queue, snapshot *catalog.Snapshot, members int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, known := w.lastUpdates[q]
	unchanged := known && last.snapshot == snapshot && last.version == w.version && last.members == members
	if unchanged && now.Sub(last.updatedAt) < maxFleetUpdateInterval {
		return false
	}
	w.lastUpdates[q] = fleetUpdate{snapshot: snapshot, version: w.version, members: members, updatedAt: now}
	return true
}

// leavingAmong returns the names of those endpoints that are leaving, together with every
// name and address that the platform lists as leaving.
func (w *leavingTracker) leavingAmong(endpoints []catalog.Endpoint) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := maps.Clone(w.byPlatform)
	for _, e := range endpoints {
		if w.byLoadReport[e.Name] || w.byPlatform[e.Address] || w.byPlatform[hostOf(e.Address)] {
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

// updateFleet passes the configured and the leaving endpoints to a queue's fleet. A local
// queue gets this daemon's share of each endpoint's limit.
func (b *Broker) updateFleet(now time.Time, q *queue, members []membership.Member) {
	snapshot := b.opts.Config.Current()
	daemons := 0
	for _, m := range members {
		if m.State != membership.Leaving {
			daemons++
		}
	}
	if !b.leaving.updateDue(now, q, snapshot, daemons) {
		return
	}
	endpoints := snapshot.Endpoints(q.name)
	if q.local {
		endpoints = shareOfLimits(endpoints, daemons)
	}
	q.parts.Fleet.Update(now, endpoints, b.leaving.leavingAmong(endpoints))
}

// shareOfLimits divides each endpoint's limit by the number of daemons; the share is at least one slot.
func shareOfLimits(endpoints []catalog.Endpoint, daemons int) []catalog.Endpoint {
	out := make([]catalog.Endpoint, len(endpoints))
	for i, e := range endpoints {
		e.MaxConcurrent = max(1, e.MaxConcurrent/max(1, daemons))
		out[i] = e
	}
	return out
}

// readLoads periodically reads the load reports of the endpoints of the pools decided on this daemon.
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
	group.SetLimit(maxConcurrentLoadReads)
	for _, q := range b.allQueues() {
		for _, e := range b.opts.Config.Current().Endpoints(q.name) {
			group.Go(func() error {
				b.readLoad(bounded, q, e)
				return nil
			})
		}
	}
	_ = group.Wait() // No function of the group returns an error.
}

func (b *Broker) readLoad(ctx context.Context, q *queue, e catalog.Endpoint) {
	load, err := b.opts.LoadReader.Load(ctx, e)
	if err != nil {
		b.opts.Scope.Tagged(map[string]string{"pool": q.name}).Counter("load_reads_failed").Inc(1)
		return
	}
	load.Endpoint = e.Name
	b.leaving.setReportedLeaving(e.Name, load.Leaving)
	q.parts.Fleet.ObserveLoad(b.now(), load)
}

// readVMs periodically reads the platform's list of VMs while this daemon decides any pool.
func (b *Broker) readVMs(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		if len(b.allQueues()) > 0 {
			b.readVMsOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// readVMsOnce reads the list once; if that fails, the previous state stays.
func (b *Broker) readVMsOnce(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, 2*b.opts.VMInterval)
	defer cancel()
	vms, err := b.opts.Store.VMs(bounded)
	if err != nil {
		b.opts.Scope.Counter("vm_list_reads_failed").Inc(1)
		return
	}
	b.leaving.setPlatformLeaving(leavingEndpoints(vms))
}

// leavingEndpoints returns the names and the listed addresses of endpoint VMs that are leaving.
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
