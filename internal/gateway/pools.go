package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/directory"
)

// pools holds a pool for each service that a route table names, or named, and that has, or had,
// endpoints. It is safe for concurrent use.
type pools struct {
	dataCentre string
	directory  *directory.Directory
	// onTransition receives the changes of endpoints' states. It must not use the pools.
	onTransition func(balance.Transition)
	fleet        balance.Fleet

	mu        sync.Mutex
	byService map[string]*balance.Pool
	// named are the services of the route tables so far: a request may still be under way by an
	// earlier one.
	named map[string]bool
}

func newPools(dataCentre string, d *directory.Directory, fleet balance.Fleet, onTransition func(balance.Transition)) *pools {
	return &pools{dataCentre: dataCentre, directory: d, fleet: fleet, onTransition: onTransition, byService: make(map[string]*balance.Pool), named: make(map[string]bool)}
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

// Name adds the services that a route table names. They have pools from the next Refresh on.
func (p *pools) Name(services []string) {
	p.mu.Lock()
	for _, service := range services {
		p.named[service] = true
	}
	p.mu.Unlock()
}

// Names reports whether a route table names the service, or has named it.
func (p *pools) Names(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.named[service]
}

// Refresh updates each pool with the usable endpoints of the directory.
func (p *pools) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.directory.UsableFor(func(service string) bool { return p.named[service] })
	now := time.Now()
	for service := range usable {
		if p.byService[service] == nil {
			pool := balance.NewPool(p.dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
			pool.OnTransition(p.onTransition)
			pool.SetFleet(p.fleet)
			p.byService[service] = pool
		}
	}
	for service, pool := range p.byService {
		pool.Update(now, usable[service])
	}
}

// SetRemoteLoad sets the load that other daemons put on each endpoint, and the number of
// daemons.
func (p *pools) SetRemoteLoad(loads map[balance.EndpointKey]balance.Load, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byService {
		pool.SetRemoteLoad(loads, daemons)
	}
}

// EndLimits ends the limits of endpoints that ended at other daemons.
func (p *pools) EndLimits(now time.Time, ends []balance.LimitEnd) {
	for _, pool := range p.All() {
		pool.EndLimits(now, ends)
	}
}

// BrittleNews returns the brittle endpoints of which this daemon knows by its own responses.
func (p *pools) BrittleNews(now time.Time) (news []balance.BrittleNews) {
	for _, pool := range p.All() {
		news = append(news, pool.BrittleNews(now)...)
	}
	return news
}

// LearnBrittle records the brittle endpoints of which other daemons know.
func (p *pools) LearnBrittle(now time.Time, news []balance.BrittleNews) {
	for _, pool := range p.All() {
		pool.LearnBrittle(now, news)
	}
}

// OwnLoad returns the load that this daemon puts on each endpoint.
func (p *pools) OwnLoad() map[balance.EndpointKey]balance.Load {
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
