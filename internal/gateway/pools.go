package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
)

// pools holds the pool of each service that has endpoints. It is safe for concurrent use.
type pools struct {
	dataCentre string
	directory  *directory.Directory

	mu        sync.Mutex
	byService map[string]*balance.Pool
}

func newPools(dataCentre string, d *directory.Directory) *pools {
	return &pools{dataCentre: dataCentre, directory: d, byService: make(map[string]*balance.Pool)}
}

// Pool returns the pool of a service, or nil.
func (p *pools) Pool(service string) *balance.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byService[service]
}

// All returns the pools by service.
func (p *pools) All() map[string]*balance.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.byService)
}

// Refresh sets the endpoints of each pool to those in use.
func (p *pools) Refresh() {
	usable := p.directory.Usable()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for service := range usable {
		if p.byService[service] == nil {
			p.byService[service] = balance.NewPool(p.dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		}
	}
	for service, pool := range p.byService {
		pool.Update(now, usable[service])
	}
}

// SetElsewhere passes on the work of other daemons, and how many daemons there are.
func (p *pools) SetElsewhere(loads map[balance.EndpointKey]balance.Load, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		pool.SetRemoteLoad(loads, daemons)
	}
}

// Own returns this daemon's work at all endpoints.
func (p *pools) Own() map[balance.EndpointKey]balance.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[balance.EndpointKey]balance.Load)
	for _, pool := range p.byService {
		for key, load := range pool.OwnLoad() {
			loads[key] = load
		}
	}
	return loads
}
