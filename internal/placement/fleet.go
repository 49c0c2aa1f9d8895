// Package placement chooses the endpoint on which a request runs.
//
// A Fleet holds one pool. A decision passes through filters, scorers and a
// picker; each policy is one type in one file.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// CacheEvents is one message of an engine about its prefix cache. Sequence counts
// the messages of that engine from 1; messages come late and may be lost.
type CacheEvents struct {
	Sequence uint64
	// Stored and Evicted are chained hashes of prompt blocks, as in routing.Ask.
	Stored  []uint64
	Evicted []uint64
	// Cleared means that the engine dropped its whole cache before Stored.
	Cleared bool
}

// EndpointStatus describes one endpoint to an operator.
type EndpointStatus struct {
	Endpoint catalog.Endpoint `json:"endpoint"`
	Running  int              `json:"running"`
	Limit    int              `json:"limit"`
	Leaving  bool             `json:"leaving"`
	Health   health.State     `json:"health"`
	// Speed is the endpoint's latency over the pool's median; 1 is typical, 2 is twice as slow.
	Speed float64 `json:"speed"`
	// ReservedForSuspect is true while the endpoint is kept for a suspect to run alone.
	ReservedForSuspect bool `json:"reserved_for_suspect,omitempty"`
	// ReportAge is the age of the last load report; zero if none came.
	ReportAge time.Duration `json:"report_age"`
}

// Fleet places the requests of one pool. All methods may be called concurrently;
// one lock guards the whole pool.
type Fleet struct {
	mu  sync.Mutex
	cfg Config
	rng *rand.Rand
}

// Config sets the policies of a Fleet. Zero fields take the defaults.
type Config struct{}

// NewFleet returns a fleet without endpoints. The fleet owns rng from then on.
func NewFleet(cfg Config, rng *rand.Rand) *Fleet { return &Fleet{cfg: cfg, rng: rng} }

// Update takes in the configured endpoints and the VMs that the platform lists as
// leaving, by address or name. Endpoints that join a running pool start slowly.
func (f *Fleet) Update(now time.Time, endpoints []catalog.Endpoint, leavingVMs map[string]bool) {}

// ObserveLoad takes in an engine's lagging load report.
func (f *Fleet) ObserveLoad(now time.Time, load routing.Load) {}

// ObserveCache takes in an engine's cache events.
func (f *Fleet) ObserveCache(now time.Time, endpoint string, events CacheEvents) {}

// Place reserves an endpoint for ask; false means that none may take it now.
func (f *Fleet) Place(now time.Time, ask routing.Ask) (routing.Placement, bool) {
	return routing.Placement{}, false
}

// Done ends a placement.
func (f *Fleet) Done(now time.Time, report routing.Report) {}

// Restore counts a grant that is still running; it is idempotent by AskID.
func (f *Fleet) Restore(now time.Time, progress routing.Progress) {}

// Capacity describes what the pool can take now.
func (f *Fleet) Capacity(now time.Time) routing.Capacity { return routing.Capacity{} }

// Endpoints describes every endpoint, sorted by name.
func (f *Fleet) Endpoints(now time.Time) []EndpointStatus { return nil }
