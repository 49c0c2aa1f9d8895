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

// reportClient fetches load reports and cache events from endpoints; *endpoint.Client implements it.
type reportClient interface {
	routing.LoadReader
	CacheEvents(ctx context.Context, e catalog.Endpoint, since int64) (events []endpoint.CacheEvent, gap bool, err error)
}

// reportReader reads load reports for the broker. With each report of an engine it also
// fetches the cache events since the last one and passes them to the pool's fleet. It may
// be used concurrently.
type reportReader struct {
	client   reportClient
	snapshot func() *catalog.Snapshot
	pools    *poolFactory

	mu            sync.Mutex
	lastSequences map[string]int64 // Last cache event read, by endpoint address.
}

func newReportReader(client reportClient, snapshot func() *catalog.Snapshot, pools *poolFactory) *reportReader {
	return &reportReader{client: client, snapshot: snapshot, pools: pools, lastSequences: map[string]int64{}}
}

// Load implements routing.LoadReader. Cache events that can't be read are fetched with
// the next report; an error is ignored since they only improve placement.
func (r *reportReader) Load(ctx context.Context, e catalog.Endpoint) (routing.Load, error) {
	load, err := r.client.Load(ctx, e)
	if service, ok := r.snapshot().Service(e.Service); err == nil && ok && service.Kind == catalog.Engine {
		r.readCacheEvents(ctx, e)
	}
	return load, err
}

func (r *reportReader) readCacheEvents(ctx context.Context, e catalog.Endpoint) {
	fleet := r.pools.fleet(e.Service)
	if fleet == nil {
		return
	}
	events, _, err := r.client.CacheEvents(ctx, e, r.lastSequence(e))
	if err != nil || len(events) == 0 {
		return
	}
	now := time.Now()
	for _, event := range events {
		fleet.ObserveCache(now, e.Name, toPlacementEvents(event))
	}
	r.setLastSequence(e, events[len(events)-1].Sequence)
}

// toPlacementEvents converts an endpoint's cache event for the fleet's prefix index.
func toPlacementEvents(event endpoint.CacheEvent) placement.CacheEvents {
	return placement.CacheEvents{
		Sequence: uint64(event.Sequence),
		Stored:   lo.Ternary(event.Type == endpoint.CacheStored, event.Blocks, nil),
		Evicted:  lo.Ternary(event.Type == endpoint.CacheRemoved, event.Blocks, nil),
	}
}

func (r *reportReader) lastSequence(e catalog.Endpoint) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastSequences[e.Address]
}

func (r *reportReader) setLastSequence(e catalog.Endpoint, sequence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSequences[e.Address] = sequence
}
