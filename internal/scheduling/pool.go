package scheduling

import (
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/estimate"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Pool is the one queue of a pool. All methods may be called concurrently.
type Pool struct {
	mu        sync.Mutex
	name      string
	cfg       Config
	placer    Placer
	estimates *estimate.Estimator
}

// NewPool returns an empty queue that grants through placer.
func NewPool(name string, cfg Config, placer Placer, estimates *estimate.Estimator) *Pool {
	return &Pool{name: name, cfg: cfg, placer: placer, estimates: estimates}
}

// Submit enters ask into the queue and returns what is decided by that, which may
// concern other asks too. An ask that can not meet its target is refused at once.
func (p *Pool) Submit(now time.Time, ask routing.Ask) []Decision { return nil }

// Cancel takes an ask out of the queue because its caller left. It does nothing
// for an ask that is unknown or has been granted.
func (p *Pool) Cancel(now time.Time, askID string) []Decision { return nil }

// Release ends a grant and hands its slot on. It is idempotent.
func (p *Pool) Release(now time.Time, report routing.Report) []Decision { return nil }

// Restore counts a grant that an earlier broker made. It is idempotent.
func (p *Pool) Restore(now time.Time, progress routing.Progress) {}

// SetCautious limits grants to a share of the free slots until the given time.
func (p *Pool) SetCautious(now, until time.Time) {}

// Tick refuses expired asks, tries placement again, and ends caution.
func (p *Pool) Tick(now time.Time) []Decision { return nil }

// Expire drops the waiting asks of a daemon that is gone and frees its running grants.
func (p *Pool) Expire(now time.Time, daemon string) []Decision { return nil }

// Stats describes the pool's classes.
func (p *Pool) Stats(now time.Time) Stats { return Stats{Pool: p.name} }
