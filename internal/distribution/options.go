package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// Defaults of Options.
const (
	DefaultWatchersPerDataCentre = 2
	DefaultListInterval          = 2 * time.Second
	DefaultInForceTimeout        = 6 * time.Second
	DefaultWriteTimeout          = 5 * time.Second
	DefaultCallTimeout           = 2 * time.Second
	DefaultTickInterval          = 100 * time.Millisecond
	DefaultStartGrace            = 500 * time.Millisecond
)

// Peers fetches configuration from other daemons; *peer.Client implements it.
type Peers interface {
	FetchConfig(ctx context.Context, address string, since int64) (Delta, error)
}

// Options configures a Distributor. Store, Peers and View are required.
type Options struct {
	Store platform.Store
	Peers Peers
	View  membership.View
	// Refresh brings the members' revisions up to date while a change is awaited; nil
	// if View does that by itself.
	RefreshView func(ctx context.Context)
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand chooses peers; it is used under a lock.
	Rand *rand.Rand
	// WatchersPerDataCentre is the number of daemons that watch the platform.
	WatchersPerDataCentre int
	// ListInterval is the time between a watcher's readings that catch skipped events
	// and silent watches.
	ListInterval time.Duration
	// InForceTimeout bounds the wait for the members to report a change.
	InForceTimeout time.Duration
	// WriteTimeout bounds the tries to store a change.
	WriteTimeout time.Duration
	// CallTimeout bounds one call on the platform.
	CallTimeout time.Duration
	// TickInterval is the time between comparisons with the members.
	TickInterval time.Duration
	// StartGrace is the time given to peers to be heard before Ready.
	StartGrace time.Duration
	// Logger and Scope default to silent ones.
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	o.WatchersPerDataCentre = lo.CoalesceOrEmpty(o.WatchersPerDataCentre, DefaultWatchersPerDataCentre)
	o.ListInterval = lo.CoalesceOrEmpty(o.ListInterval, DefaultListInterval)
	o.InForceTimeout = lo.CoalesceOrEmpty(o.InForceTimeout, DefaultInForceTimeout)
	o.WriteTimeout = lo.CoalesceOrEmpty(o.WriteTimeout, DefaultWriteTimeout)
	o.CallTimeout = lo.CoalesceOrEmpty(o.CallTimeout, DefaultCallTimeout)
	o.TickInterval = lo.CoalesceOrEmpty(o.TickInterval, DefaultTickInterval)
	o.StartGrace = lo.CoalesceOrEmpty(o.StartGrace, DefaultStartGrace)
	if o.RefreshView == nil {
		o.RefreshView = func(context.Context) {}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger == nil {
		o.Logger = telemetry.SilentLogger()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
