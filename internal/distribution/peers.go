package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/membership"
)

// differsFor is how long a member's records may differ at no higher revision before
// everything is fetched from it.
const differsFor = time.Second

// fetchState remembers members whose records differ from ours.
type fetchState struct {
	mu      sync.Mutex
	differs map[string]difference
}

type difference struct {
	digest uint64
	own    uint64
	since  time.Time
}

// runPeers compares the members' revisions with our own, and fetches what is newer.
func (d *Distributor) runPeers(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		d.comparePeers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (d *Distributor) comparePeers(ctx context.Context) {
	self := d.opts.View.Self()
	others := lo.Filter(d.opts.View.Members(), func(m membership.Member, _ int) bool {
		return m.ID != self.ID && m.State != membership.Suspected
	})
	if m, ok := d.choose(lo.Filter(others, func(m membership.Member, _ int) bool { return m.Revision > d.Revision() })); ok {
		d.fetch(ctx, m, d.sinceRevision())
	} else if m, ok := d.choose(d.differing(others)); ok {
		d.fetch(ctx, m, 0)
	}
	d.updateReady(others)
}

// sinceRevision is what a peer is asked to start from.
func (d *Distributor) sinceRevision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return 0
	}
	return d.records.revision
}

func (d *Distributor) choose(members []membership.Member) (membership.Member, bool) {
	if len(members) == 0 {
		return membership.Member{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return members[d.opts.Rand.IntN(len(members))], true
}

// differing lists members whose records have differed from ours for a while, although
// their revision is no higher: one of us missed a change.
func (d *Distributor) differing(others []membership.Member) []membership.Member {
	f := &d.fetching
	f.mu.Lock()
	defer f.mu.Unlock()
	now, own := d.opts.Clock.Now(), d.ConfigDigest()
	present := map[string]difference{}
	var out []membership.Member
	for _, m := range others {
		if m.ConfigDigest == own || m.ConfigDigest == 0 || m.Revision == 0 {
			continue
		}
		known := f.differs[m.ID]
		if known.digest != m.ConfigDigest || known.own != own {
			known = difference{digest: m.ConfigDigest, own: own, since: now}
		}
		if now.Sub(known.since) >= differsFor {
			known.since = now
			out = append(out, m)
		}
		present[m.ID] = known
	}
	f.differs = present
	return out
}

func (d *Distributor) fetch(ctx context.Context, m membership.Member, since int64) {
	bounded, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	delta, err := d.opts.Peers.FetchConfig(bounded, m.PeerAddress, since)
	if err != nil {
		d.opts.Scope.Counter("config_fetches_failed").Inc(1)
		return
	}
	d.opts.Scope.Counter("config_fetches").Inc(1)
	d.change("peer "+m.ID, func(r *records) bool { return r.merge(delta) })
}

// updateReady makes this daemon ready once it is no older than the members heard.
func (d *Distributor) updateReady(others []membership.Member) {
	if d.ready.Load() || !d.hasLoaded() || d.opts.Clock.Since(d.started) < d.opts.StartGrace {
		return
	}
	newest := lo.Max(lo.Map(others, func(m membership.Member, _ int) int64 { return m.Revision }))
	if d.Revision() >= newest {
		d.ready.Store(true)
		d.opts.Logger.WithField("event", "config_ready").WithField("revision", d.Revision()).Info("configuration ready")
	}
}
