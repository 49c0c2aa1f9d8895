package broker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// Defaults of Options.
const (
	DefaultTickInterval = 10 * time.Millisecond
	DefaultHoldFor      = 250 * time.Millisecond
	DefaultCautiousFor  = time.Second
	DefaultAloneAfter   = 800 * time.Millisecond
	DefaultExpireAfter  = 5 * time.Second
	DefaultLoadInterval = time.Second
	DefaultVMInterval   = time.Second
)

// Pool is the queue of one pool; *scheduling.Pool implements it.
type Pool interface {
	Submit(now time.Time, ask routing.PermitRequest) []scheduling.Decision
	Cancel(now time.Time, askID string) []scheduling.Decision
	Release(now time.Time, report routing.Report) []scheduling.Decision
	Restore(now time.Time, progress routing.Progress)
	SetConservative(now, until time.Time)
	Tick(now time.Time) []scheduling.Decision
	Expire(now time.Time, daemon string) []scheduling.Decision
	Stats(now time.Time) scheduling.Stats
}

// Fleet is a pool's endpoints; *placement.Fleet implements it.
type Fleet interface {
	// Update takes in the configured endpoints, and the leaving ones by name or address.
	Update(now time.Time, endpoints []catalog.Endpoint, leaving map[string]bool)
	// ObserveLoad takes in an endpoint's load report.
	ObserveLoad(now time.Time, load routing.Load)
}

// PoolParts is one pool with its endpoints.
type PoolParts struct {
	Pool  Pool
	Fleet Fleet
}

// Factory makes the parts of a pool. Local is true for the small queue that a
// daemon uses on its own while the pool's broker is out of reach.
type Factory func(pool string, local bool) PoolParts

// Peers calls the brokers on other daemons; *peer.Client implements it.
type Peers interface {
	Acquire(ctx context.Context, address string, ask routing.PermitRequest) (routing.Grant, error)
	Release(ctx context.Context, address string, reports []routing.Report) error
	Progress(ctx context.Context, address, daemon, pool string, running []routing.Progress) error
}

// Config is the configuration in force; *distribution.Distributor implements it.
type Config interface {
	Current() *catalog.Snapshot
}

// DecisionRecorder takes each grant and refusal that this daemon decided. It must not block.
type DecisionRecorder interface {
	Record(pool string, local bool, decision scheduling.Decision)
}

// Options configures a Broker. View, Factory, Peers and Config are required.
type Options struct {
	View    membership.View
	Factory Factory
	Peers   Peers
	Config  Config
	// LoadReader reads the load of endpoints of the pools decided here; nil reads none.
	LoadReader routing.LoadReader
	// Store is read for leaving VMs of the role "endpoint"; nil reads none.
	Store    platform.Store
	Recorder DecisionRecorder
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// TickInterval is the time between the rounds of the queues.
	TickInterval time.Duration
	// HoldFor bounds how long a new broker grants nothing; it grants as soon as every
	// member that answers has restated its grants.
	HoldFor time.Duration
	// CautiousFor bounds the caution of a new broker; it ends early once every
	// member has restated its grants.
	CautiousFor time.Duration
	// AloneAfter is how long an ask looks for the broker before this daemon decides alone.
	AloneAfter time.Duration
	// ExpireAfter is how long a suspected member's grants are kept.
	ExpireAfter time.Duration
	// LoadInterval is the time between two readings of an endpoint's load.
	LoadInterval time.Duration
	// VMInterval is the time between two readings of the platform's list of VMs.
	VMInterval time.Duration
	// Logger and Scope default to silent ones.
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	o.TickInterval = lo.CoalesceOrEmpty(o.TickInterval, DefaultTickInterval)
	o.HoldFor = lo.CoalesceOrEmpty(o.HoldFor, DefaultHoldFor)
	o.CautiousFor = lo.CoalesceOrEmpty(o.CautiousFor, DefaultCautiousFor)
	o.AloneAfter = lo.CoalesceOrEmpty(o.AloneAfter, DefaultAloneAfter)
	o.ExpireAfter = lo.CoalesceOrEmpty(o.ExpireAfter, DefaultExpireAfter)
	o.LoadInterval = lo.CoalesceOrEmpty(o.LoadInterval, DefaultLoadInterval)
	o.VMInterval = lo.CoalesceOrEmpty(o.VMInterval, DefaultVMInterval)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Logger == nil {
		o.Logger = telemetry.SilentLogger()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Recorder == nil {
		o.Recorder = discard{}
	}
	return o
}

type discard struct{}

// Record implements DecisionRecorder.
func (discard) Record(string, bool, scheduling.Decision) {}
