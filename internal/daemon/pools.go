package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/broker"
	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/placement"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// poolFactory makes the queue and the fleet of each pool brokered here.
type poolFactory struct {
	estimates *estimate.Estimator
	register  *quarantine.Register

	mu     sync.Mutex
	fleets map[string]*placement.Fleet
}

func newPoolFactory(estimates *estimate.Estimator, register *quarantine.Register) *poolFactory {
	return &poolFactory{estimates: estimates, register: register, fleets: map[string]*placement.Fleet{}}
}

// make implements broker.Factory.
func (f *poolFactory) make(pool string, local bool) broker.PoolParts {
	fleet := placement.NewFleet(placement.Config{Quarantine: f.register}, newRand())
	config := scheduling.DefaultConfig()
	config.Rand = newRand()
	if !local {
		f.mu.Lock()
		f.fleets[pool] = fleet
		f.mu.Unlock()
	}
	return broker.PoolParts{Pool: scheduling.NewPool(pool, config, fleet, f.estimates), Fleet: fleet}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// fleet returns the fleet of a pool that is or was brokered here, or nil.
func (f *poolFactory) fleet(pool string) *placement.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleets[pool]
}

func (f *poolFactory) endpoints(pool string) []admin.EndpointStatus {
	fleet := f.fleet(pool)
	if fleet == nil {
		return nil
	}
	return lo.Map(fleet.Endpoints(time.Now()), func(e placement.EndpointStatus, _ int) admin.EndpointStatus {
		return endpointStatus(pool, e)
	})
}

func endpointStatus(pool string, e placement.EndpointStatus) admin.EndpointStatus {
	return admin.EndpointStatus{
		Service:    pool,
		Name:       e.Endpoint.Name,
		Address:    e.Endpoint.Address,
		DataCentre: e.Endpoint.DataCentre,
		State:      endpointState(e),
		Limit:      e.Limit,
		Running:    e.Running,
		Speed:      e.Slowdown,
	}
}

// endpointState is the one word that matters most to an operator.
func endpointState(e placement.EndpointStatus) string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.ReservedForSuspect:
		return "reserved"
	case e.Cause != "":
		return string(e.Health) + ":" + string(e.Cause)
	default:
		return string(e.Health)
	}
}
