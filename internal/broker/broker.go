// Package broker runs the pools' queues: it finds the daemon that brokers a pool,
// asks it for permits, and takes the role over when that daemon goes.
package broker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/routing"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// Defaults of Options.
const (
	DefaultTickInterval = 10 * time.Millisecond
	DefaultCautiousFor  = time.Second
	DefaultLoadInterval = time.Second
	DefaultVMInterval   = time.Second
)

// Pool is the queue of one pool; *scheduling.Pool implements it.
type Pool interface {
	Submit(now time.Time, ask routing.Ask) []scheduling.Decision
	Cancel(now time.Time, askID string) []scheduling.Decision
	Release(now time.Time, report routing.Report) []scheduling.Decision
	Restore(now time.Time, progress routing.Progress)
	SetCautious(now, until time.Time)
	Tick(now time.Time) []scheduling.Decision
	Expire(now time.Time, daemon string) []scheduling.Decision
	Stats(now time.Time) scheduling.Stats
}

// Fleet is what the broker tells of a pool's endpoints. Methods may be called concurrently.
type Fleet interface {
	// SetEndpoints replaces the endpoints; MaxConcurrent and Leaving are already adjusted.
	SetEndpoints(now time.Time, endpoints []catalog.Endpoint)
	// ObserveLoad takes an endpoint's load report.
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

// Peers calls the brokers on other daemons.
type Peers interface {
	Acquire(ctx context.Context, address string, ask routing.Ask) (routing.Grant, error)
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
	// LoadReader reads the load of endpoints of the pools brokered here; nil reads none.
	LoadReader routing.LoadReader
	// Store is read for leaving VMs of the role "endpoint"; nil reads none.
	Store    platform.Store
	Recorder DecisionRecorder
	// Clock defaults to the real clock.
	Clock        clockwork.Clock
	TickInterval time.Duration
	CautiousFor  time.Duration
	LoadInterval time.Duration
	VMInterval   time.Duration
	Logger       logrus.FieldLogger
	Scope        tally.Scope
}

// Broker implements routing.Broker over all daemons, and membership.Exchange.
type Broker struct {
	opts Options
}

// New starts the broker's rounds; they end with ctx.
func New(ctx context.Context, opts Options) *Broker { return &Broker{opts: opts} }

// Acquire implements routing.Broker.
func (b *Broker) Acquire(ctx context.Context, ask routing.Ask) (routing.Grant, error) {
	return routing.Grant{}, nil
}

// Release implements routing.Broker.
func (b *Broker) Release(report routing.Report) {}

// Progress updates what is known of a running grant, for a broker that takes over.
func (b *Broker) Progress(askID string, outputTokens int) {}

// AcquireFor answers a peer's Acquire; the failure is NotBroker if another daemon brokers the pool.
func (b *Broker) AcquireFor(ctx context.Context, ask routing.Ask) (routing.Grant, error) {
	return routing.Grant{}, nil
}

// ReleaseFor answers a peer's Release.
func (b *Broker) ReleaseFor(ctx context.Context, reports []routing.Report) error { return nil }

// ProgressFor takes a peer's statement of every grant it has running in a pool.
func (b *Broker) ProgressFor(ctx context.Context, daemon, pool string, running []routing.Progress) error {
	return nil
}

// Outgoing implements membership.Exchange.
func (b *Broker) Outgoing(to membership.Member) membership.Payload { return membership.Payload{} }

// Incoming implements membership.Exchange.
func (b *Broker) Incoming(from membership.Member, payload membership.Payload) {}

// Stats describes the pools brokered here, and the local ones.
func (b *Broker) Stats() []scheduling.Stats { return nil }
