package membership

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// Defaults of Options.
const (
	DefaultInterval      = 250 * time.Millisecond
	DefaultSuspectAfter  = time.Second
	DefaultRemoveAfter   = 30 * time.Second
	DefaultSeedInterval  = 5 * time.Second
	DefaultSyncInterval  = 30 * time.Second
	DefaultFullMeshLimit = 12
	DefaultFanout        = 3
)

// sparseRounds is how many intervals pass between rounds above FullMeshLimit.
const sparseRounds = 2

// Options configures a Membership. Self and Transport are required.
type Options struct {
	// Self is this daemon. Incarnation defaults to a new one.
	Self Member
	// Seeds are peer addresses to call until they answer.
	Seeds []string
	// Store is read for VMs of the role "entry", as further seeds; nil means none. An
	// address without a port is given the port of Self.PeerAddress.
	Store platform.Store
	// Transport calls peers.
	Transport Transport
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand orders the calls above FullMeshLimit; it is used under a lock.
	Rand *rand.Rand
	// Interval is the time between rounds of heartbeats.
	Interval time.Duration
	// SuspectAfter is the silence after which a member is not live any more.
	SuspectAfter time.Duration
	// RemoveAfter is the silence after which a member is forgotten.
	RemoveAfter time.Duration
	// SeedInterval is the time between readings of the platform's list.
	SeedInterval time.Duration
	// SyncInterval is the time between full exchanges above FullMeshLimit.
	SyncInterval time.Duration
	// FullMeshLimit is the number of members up to which each calls all others.
	FullMeshLimit int
	// Fanout is the number of members called in a round above FullMeshLimit.
	Fanout int
	// OnLapse is called when this daemon was silent for longer than SuspectAfter. It must not block.
	OnSuspension func(gap time.Duration)
	// OnSuperseded is called when a newer incarnation of this daemon is known. It must not block.
	OnSuperseded func()
	// Logger and Scope default to silent ones.
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

func (o Options) withDefaults() Options {
	o.Interval = lo.CoalesceOrEmpty(o.Interval, DefaultInterval)
	o.SuspectAfter = lo.CoalesceOrEmpty(o.SuspectAfter, DefaultSuspectAfter)
	o.RemoveAfter = lo.CoalesceOrEmpty(o.RemoveAfter, DefaultRemoveAfter)
	o.SeedInterval = lo.CoalesceOrEmpty(o.SeedInterval, DefaultSeedInterval)
	o.SyncInterval = lo.CoalesceOrEmpty(o.SyncInterval, DefaultSyncInterval)
	o.FullMeshLimit = lo.CoalesceOrEmpty(o.FullMeshLimit, DefaultFullMeshLimit)
	o.Fanout = lo.CoalesceOrEmpty(o.Fanout, DefaultFanout)
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
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = NewIncarnation(o.Clock.Now(), o.Rand)
	}
	o.Self.State = Live
	return o
}
