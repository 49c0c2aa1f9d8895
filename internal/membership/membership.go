package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// Defaults of Options.
const (
	DefaultInterval      = 250 * time.Millisecond
	DefaultSuspectAfter  = time.Second
	DefaultRemoveAfter   = 30 * time.Second
	DefaultFullMeshLimit = 12
	DefaultFanout        = 3
	DefaultSeedInterval  = 5 * time.Second
)

// Options configures a Membership. Self and Transport are required.
type Options struct {
	// Self is this daemon; State and Revision are filled in.
	Self Member
	// Seeds are peer addresses to call until they answer.
	Seeds []string
	// Store is read for VMs of the role "entry", every SeedInterval; nil means no such seed.
	Store platform.Store
	// Transport calls peers.
	Transport Transport
	// Exchange takes part in heartbeats; nil means none.
	Exchange Exchange
	// Revision returns the configuration revision in force; nil means zero.
	Revision func() int64
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand chooses peers above FullMeshLimit; used under a lock.
	Rand *rand.Rand
	// Interval is the time between rounds of heartbeats.
	Interval time.Duration
	// SuspectAfter is the silence after which a member is not live any more.
	SuspectAfter time.Duration
	// RemoveAfter is the silence after which a member is forgotten.
	RemoveAfter time.Duration
	// SeedInterval is the time between readings of the platform's list.
	SeedInterval time.Duration
	// FullMeshLimit is the number of members up to which each calls all others.
	FullMeshLimit int
	// Fanout is the number of members called in a round above FullMeshLimit.
	Fanout int
	// OnLapse is called when this daemon was silent for longer than SuspectAfter.
	OnLapse func(gap time.Duration)
	// Logger and Scope default to silent ones.
	Logger logrus.FieldLogger
	Scope  tally.Scope
}

// Membership tracks the live daemons. It implements View. Methods may be called concurrently.
type Membership struct {
	opts Options
}

// New starts the heartbeats; they end with ctx.
func New(ctx context.Context, opts Options) *Membership { return &Membership{opts: opts} }

// Self implements View.
func (m *Membership) Self() Member { return m.opts.Self }

// Members implements View. The slice must not be changed.
func (m *Membership) Members() []Member { return []Member{m.opts.Self} }

// Receive answers the heartbeat of a peer.
func (m *Membership) Receive(ctx context.Context, message Heartbeat) (Heartbeat, error) {
	return Heartbeat{}, nil
}

// Leave announces to all members that this daemon is leaving. It returns when they
// were told, or with ctx.
func (m *Membership) Leave(ctx context.Context) {}
