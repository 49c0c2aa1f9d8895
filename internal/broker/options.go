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
	DefaultTickInterval       = 10 * time.Millisecond
	DefaultRestateTimeout     = 250 * time.Millisecond
	DefaultConservativeFor    = time.Second
	DefaultLocalFallbackAfter = 800 * time.Millisecond
	DefaultDropSuspectAfter   = 5 * time.Second
	DefaultLoadInterval       = time.Second
	DefaultVMInterval         = time.Second
)

// Pool schedules the permit requests of one pool; *scheduling.Pool implements it.
type Pool interface {
	Submit(now time.Time, request routing.PermitRequest) []scheduling.Decision
	Cancel(now time.Time, attemptID string) []scheduling.Decision
	Release(now time.Time, report routing.Report) []scheduling.Decision
	Restore(now time.Time, progress routing.Progress)
	SetConservative(now, until time.Time)
	Tick(now time.Time) []scheduling.Decision
	Expire(now time.Time, daemon string) []scheduling.Decision
	Stats(now time.Time) scheduling.Stats
}

// Fleet holds the endpoints of one pool; *placement.Fleet implements it.
type Fleet interface {
	// Update sets the configured endpoints, and which names or addresses are leaving.
	Update(now time.Time, endpoints []catalog.Endpoint, leaving map[string]bool)
	// ObserveLoad records an endpoint's load report.
	ObserveLoad(now time.Time, load routing.Load)
}

// PoolParts combines the scheduler of one pool with its endpoints.
type PoolParts struct {
	Pool  Pool
	Fleet Fleet
}

// Factory makes the parts of a pool. Local is true for the queue in which a daemon decides
// locally while the pool's broker is unreachable.
type Factory func(pool string, local bool) PoolParts

// Peers calls the brokers on other daemons; *peer.Client implements it.
type Peers interface {
	Acquire(ctx context.Context, address string, request routing.PermitRequest) (routing.Grant, error)
	Release(ctx context.Context, address string, reports []routing.Report) error
	Progress(ctx context.Context, address, daemon, pool string, running []routing.Progress) error
}

// Config returns the configuration in force; *distribution.Distributor implements it.
type Config interface {
	Current() *catalog.Snapshot
}

// DecisionRecorder records each grant and refusal decided on this daemon. It must not block.
type DecisionRecorder interface {
	Record(pool string, local bool, decision scheduling.Decision)
}

// Options configures a Broker. View, Factory, Peers and Config are required.
type Options struct {
	View    membership.View
	Factory Factory
	Peers   Peers
	Config  Config
	// LoadReader reads the load of the endpoints of pools decided on this daemon; nil reads none.
	LoadReader routing.LoadReader
	// Store lists the VMs, to find leaving ones with the role "endpoint"; nil reads none.
	Store    platform.Store
	Recorder DecisionRecorder
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// TickInterval is the time between two rounds, in which every queue is ticked.
	TickInterval time.Duration
	// RestateTimeout bounds how long a new broker waits before it accepts permit requests; it
	// accepts them as soon as every member that is not suspected has restated its grants.
	RestateTimeout time.Duration
	// ConservativeFor bounds the conservative mode of a new broker, or of one that was
	// suspended; the mode ends early once every member that is not suspected has restated its grants.
	ConservativeFor time.Duration
	// LocalFallbackAfter is how long a permit request tries to reach the broker before this daemon decides locally.
	LocalFallbackAfter time.Duration
	// DropSuspectAfter is how long the grants of a suspected member are kept.
	DropSuspectAfter time.Duration
	// LoadInterval is the time between two reads of the endpoints' load reports.
	LoadInterval time.Duration
	// VMInterval is the time between two reads of the platform's list of VMs.
	VMInterval time.Duration
	// Logger and Scope default to silent ones.
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	o.TickInterval = lo.CoalesceOrEmpty(o.TickInterval, DefaultTickInterval)
	o.RestateTimeout = lo.CoalesceOrEmpty(o.RestateTimeout, DefaultRestateTimeout)
	o.ConservativeFor = lo.CoalesceOrEmpty(o.ConservativeFor, DefaultConservativeFor)
	o.LocalFallbackAfter = lo.CoalesceOrEmpty(o.LocalFallbackAfter, DefaultLocalFallbackAfter)
	o.DropSuspectAfter = lo.CoalesceOrEmpty(o.DropSuspectAfter, DefaultDropSuspectAfter)
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
		o.Recorder = discardRecorder{}
	}
	return o
}

type discardRecorder struct{}

// Record implements DecisionRecorder.
func (discardRecorder) Record(string, bool, scheduling.Decision) {}
