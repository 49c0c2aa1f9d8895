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

// poolFactory creates the queue and the fleet of each pool brokered here, and keeps the
// fleets for status and cache events.
type poolFactory struct {
	estimates *estimate.Estimator
	register  *quarantine.Register

	mu     sync.Mutex
	fleets map[string]*placement.Fleet
}

func newPoolFactory(estimates *estimate.Estimator, register *quarantine.Register) *poolFactory {
	return &poolFactory{estimates: estimates, register: register, fleets: map[string]*placement.Fleet{}}
}

// newPool implements broker.Factory. The fleet of a local queue, used while the pool's broker
// is unreachable, is not kept.
func (f *poolFactory) newPool(pool string, local bool) broker.PoolParts {
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

// endpointStatuses describes the endpoints of a pool brokered here.
func (f *poolFactory) endpointStatuses(pool string) []admin.EndpointStatus {
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
		Slowdown:   e.Slowdown,
	}
}

// endpointState returns the state shown to operators: leaving and reserved take
// precedence over health, which is followed by the cause of an ejection.
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
