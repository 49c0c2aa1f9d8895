package membership

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// RoleEntry is the role of daemons' VMs in the platform's list.
const RoleEntry = "entry"

// firstSync is the time to the first full exchange of a new member; each later one
// takes twice as long, up to SyncInterval.
const firstSync = time.Second

// target is one call of a round. The member is empty for a seed.
type target struct {
	member    Member
	address   string
	introduce bool
}

// targets chooses whom to call in this round; the lock is held.
func (m *Membership) targets(now time.Time) []target {
	m.rounds++
	calls := m.seedTargets()
	switch {
	case m.table.fullMesh():
		calls = append(calls, m.everyone()...)
	case m.rounds%sparseRounds == 0:
		calls = append(calls, m.sample(now)...)
	}
	return lo.Filter(calls, func(c target, _ int) bool {
		p, known := m.table.peers[c.member.ID]
		if !known {
			free := !m.calling[c.address]
			m.calling[c.address] = true
			return free
		}
		free := !p.calling
		p.calling = true
		return free
	})
}

// everyone lists all members; the lock is held.
func (m *Membership) everyone() []target {
	return lo.MapToSlice(m.table.peers, func(_ string, p *peer) target {
		return target{member: p.fact.Member, address: p.fact.Member.PeerAddress, introduce: !p.introduced}
	})
}

// sample lists the next members of a shuffled rotation, the contacts, and those
// whose last call failed; the lock is held. Now and then one is asked for all it knows.
func (m *Membership) sample(now time.Time) []target {
	ids := m.rotate(m.opts.Fanout)
	ids = append(ids, m.attached.Load().AlwaysCall()...)
	failing := lo.PickBy(m.table.peers, func(_ string, p *peer) bool { return !p.failingSince.IsZero() })
	ids = append(ids, lo.Slice(lo.Keys(failing), 0, m.opts.Fanout)...)
	sync := now.Sub(m.lastSync) >= m.syncDelay
	var out []target
	for _, id := range lo.Uniq(ids) {
		p, ok := m.table.peers[id]
		if !ok {
			continue
		}
		out = append(out, target{member: p.fact.Member, address: p.fact.Member.PeerAddress, introduce: sync})
		if sync {
			sync, m.lastSync = false, now
			m.syncDelay = min(2*m.syncDelay, m.opts.SyncInterval)
		}
	}
	return out
}

// rotate returns the next n members of a shuffled rotation, so that each is called
// once before any is called twice.
func (m *Membership) rotate(n int) []string {
	if len(m.rotation) < n {
		m.rotation = lo.Keys(m.table.peers)
		slices.Sort(m.rotation)
		m.opts.Rand.Shuffle(len(m.rotation), func(i, j int) {
			m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i]
		})
	}
	n = min(n, len(m.rotation))
	next := m.rotation[:n]
	m.rotation = m.rotation[n:]
	return slices.Clone(next)
}

// seedTargets lists the seeds that no member answers at; the lock is held.
func (m *Membership) seedTargets() []target {
	known := map[string]bool{m.table.self.Member.PeerAddress: true}
	for _, p := range m.table.peers {
		known[p.fact.Member.PeerAddress] = true
	}
	var out []target
	for _, address := range m.seeds {
		if !known[address] {
			out = append(out, target{address: address, introduce: true})
		}
	}
	return out[:min(len(out), m.opts.FullMeshLimit)]
}

// readSeeds replaces the seeds by the platform's list, for as long as it can be read.
func (m *Membership) readSeeds(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		m.readSeedsOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (m *Membership) readSeedsOnce(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, m.opts.SeedInterval)
	defer cancel()
	vms, err := m.opts.Store.VMs(bounded)
	if err != nil {
		m.opts.Scope.Counter("seed_reads_failed").Inc(1)
		return
	}
	listed := lo.FilterMap(vms, func(vm platform.VM, _ int) (string, bool) {
		address, ok := m.seedAddress(vm.Address)
		return address, ok && vm.Role == RoleEntry && vm.State == platform.VMLive
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = lo.Uniq(append(slices.Clone(m.opts.Seeds), listed...))
}

// seedAddress completes an address without a port by the port of this daemon.
func (m *Membership) seedAddress(address string) (string, bool) {
	if _, err := netip.ParseAddrPort(address); err == nil {
		return address, true
	}
	if _, err := netip.ParseAddr(address); err != nil {
		return "", false
	}
	_, port, err := net.SplitHostPort(m.opts.Self.PeerAddress)
	return net.JoinHostPort(address, port), err == nil
}
