package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// endpointReports reads what the calls to an endpoint's reports bring; *endpoint.Client implements it.
type endpointReports interface {
	routing.LoadReader
	CacheEvents(ctx context.Context, e catalog.Endpoint, since int64) (events []endpoint.CacheEvent, gap bool, err error)
}

// reportReader reads load reports for the broker and, along with each report of an
// engine, the cache events since the last one. It may be used concurrently.
type reportReader struct {
	reports endpointReports
	catalog func() *catalog.Snapshot
	pools   *poolFactory

	mu   sync.Mutex
	seen map[string]int64 // by endpoint address.
}

func newReportReader(reports endpointReports, snapshot func() *catalog.Snapshot, pools *poolFactory) *reportReader {
	return &reportReader{reports: reports, catalog: snapshot, pools: pools, seen: map[string]int64{}}
}

// Load implements routing.LoadReader. Cache events that can't be read are left for
// the next time: they only improve placement.
func (r *reportReader) Load(ctx context.Context, e catalog.Endpoint) (routing.Load, error) {
	load, err := r.reports.Load(ctx, e)
	if service, ok := r.catalog().Service(e.Service); err == nil && ok && service.Kind == catalog.Engine {
		r.readCacheEvents(ctx, e)
	}
	return load, err
}

func (r *reportReader) readCacheEvents(ctx context.Context, e catalog.Endpoint) {
	fleet := r.pools.fleet(e.Service)
	if fleet == nil {
		return
	}
	events, _, err := r.reports.CacheEvents(ctx, e, r.last(e))
	if err != nil || len(events) == 0 {
		return
	}
	now := time.Now()
	for _, event := range events {
		fleet.ObserveCache(now, e.Name, cacheEvents(event))
	}
	r.setLast(e, events[len(events)-1].Sequence)
}

func cacheEvents(event endpoint.CacheEvent) placement.CacheEvents {
	return placement.CacheEvents{
		Sequence: uint64(event.Sequence),
		Stored:   lo.Ternary(event.Type == endpoint.CacheStored, event.Blocks, nil),
		Evicted:  lo.Ternary(event.Type == endpoint.CacheRemoved, event.Blocks, nil),
	}
}

func (r *reportReader) last(e catalog.Endpoint) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[e.Address]
}

func (r *reportReader) setLast(e catalog.Endpoint, seq int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[e.Address] = seq
}
