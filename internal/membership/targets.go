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

// RoleEntry is the role of the VMs that run daemons in the platform's list.
const RoleEntry = "entry"

// firstSync is the delay before a new member's first full sync. The delay doubles after
// each one, up to SyncInterval.
const firstSync = time.Second

// target is one call of a round. member is empty for a seed.
type target struct {
	member   Member
	address  string
	fullSync bool
}

// targets returns the calls of this round and marks them as in flight. It skips members
// and seeds whose last call is still in flight. The lock is held.
func (m *Membership) targets(now time.Time) []target {
	m.roundCount++
	calls := m.seedTargets()
	switch {
	case m.table.fullMesh():
		calls = append(calls, m.allTargets()...)
	case m.roundCount%sparseRounds == 0:
		calls = append(calls, m.sparseTargets(now)...)
	}
	return lo.Filter(calls, func(c target, _ int) bool {
		p, known := m.table.peers[c.member.ID]
		if !known {
			idle := !m.seedCallsInFlight[c.address]
			m.seedCallsInFlight[c.address] = true
			return idle
		}
		idle := !p.callInFlight
		p.callInFlight = true
		return idle
	})
}

// allTargets returns a call to each member; the lock is held.
func (m *Membership) allTargets() []target {
	return lo.MapToSlice(m.table.peers, func(_ string, p *peer) target {
		return target{member: p.update.Member, address: p.update.Member.PeerAddress, fullSync: !p.synced}
	})
}

// sparseTargets returns calls to the next members of a shuffled rotation, to those of
// AlwaysCall, and to some whose last call failed. If a full sync is due, the first call asks
// for it. The lock is held.
func (m *Membership) sparseTargets(now time.Time) []target {
	ids := m.rotate(m.opts.Fanout)
	ids = append(ids, m.attached.Load().AlwaysCall()...)
	failing := lo.PickBy(m.table.peers, func(_ string, p *peer) bool { return !p.failingSince.IsZero() })
	ids = append(ids, lo.Slice(lo.Keys(failing), 0, m.opts.Fanout)...)
	syncDue := now.Sub(m.lastSync) >= m.syncDelay
	var out []target
	for _, id := range lo.Uniq(ids) {
		p, ok := m.table.peers[id]
		if !ok {
			continue
		}
		out = append(out, target{member: p.update.Member, address: p.update.Member.PeerAddress, fullSync: syncDue})
		if syncDue {
			syncDue, m.lastSync = false, now
			m.syncDelay = min(2*m.syncDelay, m.opts.SyncInterval)
		}
	}
	return out
}

// rotate returns the IDs of the next n members of a shuffled rotation, so that calls spread
// evenly over the members. A new rotation starts when fewer than n are left.
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

// seedTargets returns calls to the seeds that are not the address of a known member; the
// lock is held.
func (m *Membership) seedTargets() []target {
	memberAddresses := map[string]bool{m.table.self.Member.PeerAddress: true}
	for _, p := range m.table.peers {
		memberAddresses[p.update.Member.PeerAddress] = true
	}
	var out []target
	for _, address := range m.seeds {
		if !memberAddresses[address] {
			out = append(out, target{address: address, fullSync: true})
		}
	}
	return out[:min(len(out), m.opts.FullMeshLimit)]
}

// readSeeds adds the platform's list to the seeds at each tick. The last list that could be
// read stays in use.
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

// seedAddress adds the port of this daemon to an address without a port. It reports false
// for an invalid address.
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
