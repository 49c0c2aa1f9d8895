package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
)

// mismatchTimeout is how long a member's digest may differ from ours, at no higher
// revision, before its full configuration is fetched.
const mismatchTimeout = time.Second

// mismatchTracker records since when each member's digest has differed from ours.
type mismatchTracker struct {
	mu       sync.Mutex
	byMember map[string]digestMismatch
}

// digestMismatch is a pair of differing digests and the start of its current timeout.
type digestMismatch struct {
	remote uint64
	own    uint64
	since  time.Time
}

// runPeerSync compares the members' revisions and digests with ours at every tick, and
// fetches what this daemon lacks.
func (d *Distributor) runPeerSync(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		d.syncWithPeers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// syncWithPeers fetches the delta from one random member with a higher revision. If there
// is none, it fetches the full configuration from one with a persistent mismatch.
func (d *Distributor) syncWithPeers(ctx context.Context) {
	self := d.opts.View.Self()
	others := lo.Filter(d.opts.View.Members(), func(m membership.Member, _ int) bool {
		return m.ID != self.ID && m.State != membership.Suspected
	})
	if m, ok := d.pickRandom(lo.Filter(others, func(m membership.Member, _ int) bool { return m.Revision > d.Revision() })); ok {
		d.fetchFrom(ctx, m, d.loadedRevision())
	} else if m, ok := d.pickRandom(d.persistentMismatches(others)); ok {
		d.fetchFrom(ctx, m, 0)
	}
	d.updateReady(others)
}

// loadedRevision returns the revision to fetch deltas from; zero, for the full
// configuration, if none is loaded yet.
func (d *Distributor) loadedRevision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return 0
	}
	return d.records.revision
}

func (d *Distributor) pickRandom(members []membership.Member) (membership.Member, bool) {
	if len(members) == 0 {
		return membership.Member{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return members[d.opts.Rand.IntN(len(members))], true
}

// persistentMismatches returns the members whose digest has differed from ours for
// mismatchTimeout. When their revision is no higher than ours, one of the two daemons
// missed a change.
func (d *Distributor) persistentMismatches(others []membership.Member) []membership.Member {
	tracker := &d.mismatches
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	now, own := d.opts.Clock.Now(), d.ConfigDigest()
	current := map[string]digestMismatch{}
	var out []membership.Member
	for _, m := range others {
		if m.ConfigDigest == own || m.ConfigDigest == 0 || m.Revision == 0 {
			continue
		}
		mismatch := tracker.byMember[m.ID]
		if mismatch.remote != m.ConfigDigest || mismatch.own != own {
			mismatch = digestMismatch{remote: m.ConfigDigest, own: own, since: now}
		}
		if now.Sub(mismatch.since) >= mismatchTimeout {
			mismatch.since = now
			out = append(out, m)
		}
		current[m.ID] = mismatch
	}
	tracker.byMember = current
	return out
}

func (d *Distributor) fetchFrom(ctx context.Context, m membership.Member, since int64) {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	delta, err := d.opts.Peers.FetchConfig(callCtx, m.PeerAddress, since)
	if err != nil {
		d.opts.Scope.Counter("config_fetches_failed").Inc(1)
		return
	}
	d.opts.Scope.Counter("config_fetches").Inc(1)
	d.update("peer "+m.ID, func(r *records) bool { return r.merge(delta) })
}

// updateReady marks this daemon as ready once its revision is no lower than that of any
// of the other members.
func (d *Distributor) updateReady(others []membership.Member) {
	if d.ready.Load() || !d.hasLoaded() || d.opts.Clock.Since(d.startedAt) < d.opts.StartGrace {
		return
	}
	newestRevision := lo.Max(lo.Map(others, func(m membership.Member, _ int) int64 { return m.Revision }))
	if d.Revision() >= newestRevision {
		d.ready.Store(true)
		d.opts.Logger.WithField("event", "config_ready").WithField("revision", d.Revision()).Info("configuration ready")
	}
}
