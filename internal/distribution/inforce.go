package distribution

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/membership"
)

const (
	// inForcePoll is the time between looks at the members' revisions.
	inForcePoll = 20 * time.Millisecond
	// refreshInterval is the time between refreshments of the view.
	refreshInterval = 1500 * time.Millisecond
)

// ApplyResult says what became of an accepted change.
type ApplyResult struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Version  int64  `json:"version"`
	// InForce counts the live members that have the change in force, of Members.
	InForce int `json:"in_force"`
	Members int `json:"members"`
	// Missing names the others.
	Missing []string `json:"missing,omitempty"`
}

// awaitInForce waits until every live member reports the change, or for InForceTimeout.
func (d *Distributor) awaitInForce(ctx context.Context, name string, version int64) ApplyResult {
	now := d.opts.Clock.Now()
	deadline := now.Add(d.opts.InForceTimeout)
	refresh := now.Add(refreshInterval)
	for {
		if now := d.opts.Clock.Now(); now.After(refresh) {
			d.opts.RefreshView(ctx)
			refresh = now.Add(refreshInterval)
		}
		result := d.inForce(name, version)
		if result.InForce == result.Members || !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return result
		}
		d.sleep(ctx, inForcePoll)
	}
}

// inForce counts the live members that have reported the change. A member has it
// if its records are those of this daemon at the change or at a later one; of a
// member that reports no digest, the revision has to do.
func (d *Distributor) inForce(name string, version int64) ApplyResult {
	result := ApplyResult{Name: name, Revision: version, Version: version}
	self := d.opts.View.Self()
	for _, m := range d.opts.View.Members() {
		if m.State != membership.Live && m.ID != self.ID {
			continue
		}
		result.Members++
		if m.ID == self.ID && d.Revision() >= version || d.reports(m, version) {
			result.InForce++
			continue
		}
		result.Missing = append(result.Missing, m.ID)
	}
	return result
}

func (d *Distributor) reports(m membership.Member, version int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return m.Revision >= version && (m.ConfigDigest == 0 || d.digests.since(m.ConfigDigest, version))
}
