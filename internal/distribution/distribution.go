// Package distribution brings the configuration in the platform into force on
// every daemon, and writes changes to it.
package distribution

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
)

// Defaults of Options.
const (
	DefaultWatchersPerDataCentre = 2
	DefaultListInterval          = 2 * time.Second
	DefaultInForceTimeout        = 6 * time.Second
)

// Delta is the configuration, or what changed of it after a revision.
type Delta struct {
	Revision int64
	// Full is true if Records hold the whole configuration.
	Full    bool
	Records []catalog.Record
	// Deleted names the records that were removed.
	Deleted []Tombstone
}

// Tombstone is the deletion of a record at a version.
type Tombstone struct {
	Kind    catalog.Kind
	Name    string
	Version int64
}

// Peers fetches configuration from other daemons.
type Peers interface {
	FetchConfig(ctx context.Context, address string, since int64) (Delta, error)
}

// Options configures a Distributor. Store, Peers and View are required.
type Options struct {
	Store platform.Store
	Peers Peers
	View  membership.View
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// WatchersPerDataCentre is the number of daemons that watch the platform.
	WatchersPerDataCentre int
	// ListInterval is the time between readings that catch skipped events.
	ListInterval time.Duration
	// InForceTimeout bounds the wait for the members to report a revision.
	InForceTimeout time.Duration
	Logger         logrus.FieldLogger
	Scope          tally.Scope
}

// Distributor keeps the configuration in force on this daemon. Methods may be called concurrently.
type Distributor struct {
	opts Options
}

// New starts the distribution; it ends with ctx.
func New(ctx context.Context, opts Options) *Distributor { return &Distributor{opts: opts} }

// Current returns the snapshot in force; before Ready it is empty, never nil.
func (d *Distributor) Current() *catalog.Snapshot {
	s, _ := catalog.NewSnapshot(0, nil)
	return s
}

// Revision returns the revision in force.
func (d *Distributor) Revision() int64 { return 0 }

// Ready reports whether a first snapshot is installed.
func (d *Distributor) Ready() bool { return false }

// Subscribe calls f with each snapshot that is installed, in order, and at once with
// the present one. f must not block. The returned function ends the subscription.
func (d *Distributor) Subscribe(f func(*catalog.Snapshot)) (cancel func()) { return func() {} }

// FetchConfig answers a peer with what changed after a revision.
func (d *Distributor) FetchConfig(ctx context.Context, since int64) (Delta, error) {
	return Delta{}, nil
}

// WriteOptions goes with a change.
type WriteOptions struct {
	// ExpectedVersion is the version that the change is based on: zero for a new
	// object, nil for whatever is stored now.
	ExpectedVersion *int64
	// ChangedBy names the operator.
	ChangedBy string
}

// ApplyResult says what became of an accepted change.
type ApplyResult struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Version  int64  `json:"version"`
	// InForce counts the live members that have the revision in force, of Members.
	InForce int `json:"in_force"`
	Members int `json:"members"`
	// Missing names the others.
	Missing []string `json:"missing,omitempty"`
}

// Apply checks and stores an object, then waits until the live members report its revision.
func (d *Distributor) Apply(ctx context.Context, kind catalog.Kind, spec []byte, w WriteOptions) (ApplyResult, error) {
	return ApplyResult{}, nil
}

// Delete removes an object, then waits until the live members report the revision.
func (d *Distributor) Delete(ctx context.Context, kind catalog.Kind, name string, w WriteOptions) (ApplyResult, error) {
	return ApplyResult{}, nil
}

// Get returns the record in force on this daemon.
func (d *Distributor) Get(kind catalog.Kind, name string) (catalog.Record, error) {
	return catalog.Record{}, nil
}

// List returns the records of a kind in force on this daemon, sorted by name.
func (d *Distributor) List(kind catalog.Kind) []catalog.Record { return nil }
