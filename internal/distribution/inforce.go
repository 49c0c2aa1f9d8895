package distribution

import (
	"context"
	"time"

	"github.com/primrosewell/primrosewell/internal/membership"
)

const (
	// inForcePollInterval is the time between checks of the members' revisions.
	inForcePollInterval = 20 * time.Millisecond
	// viewRefreshInterval is the time between calls of Options.RefreshView.
	viewRefreshInterval = 1500 * time.Millisecond
)

// ApplyResult reports how far an accepted change has been distributed.
type ApplyResult struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Version  int64  `json:"version"`
	// InForce is the number of live members that have the change in force, out of Members.
	InForce int `json:"in_force"`
	Members int `json:"members"`
	// Missing lists the IDs of the other live members.
	Missing []string `json:"missing,omitempty"`
}

// awaitInForce waits until every live member reports the change, or until InForceTimeout
// has passed or ctx is cancelled.
func (d *Distributor) awaitInForce(ctx context.Context, name string, version int64) ApplyResult {
	now := d.opts.Clock.Now()
	deadline := now.Add(d.opts.InForceTimeout)
	refresh := now.Add(viewRefreshInterval)
	for {
		if now := d.opts.Clock.Now(); now.After(refresh) {
			d.opts.RefreshView(ctx)
			refresh = now.Add(viewRefreshInterval)
		}
		result := d.countInForce(name, version)
		if result.InForce == result.Members || !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return result
		}
		d.sleep(ctx, inForcePollInterval)
	}
}

// countInForce counts the live members that report the change. A member reports it if its
// digest is one that this daemon had at the change's version or later. For a member that
// reports no digest, its revision decides.
func (d *Distributor) countInForce(name string, version int64) ApplyResult {
	result := ApplyResult{Name: name, Revision: version, Version: version}
	self := d.opts.View.Self()
	for _, m := range d.opts.View.Members() {
		if m.State != membership.Live && m.ID != self.ID {
			continue
		}
		result.Members++
		if m.ID == self.ID && d.Revision() >= version || d.reportsChange(m, version) {
			result.InForce++
			continue
		}
		result.Missing = append(result.Missing, m.ID)
	}
	return result
}

func (d *Distributor) reportsChange(m membership.Member, version int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return m.Revision >= version && (m.ConfigDigest == 0 || d.digests.installedSince(m.ConfigDigest, version))
}
