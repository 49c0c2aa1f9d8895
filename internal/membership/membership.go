package membership

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// maxRefreshCalls bounds the concurrent calls of Refresh.
const maxRefreshCalls = 32

// Membership tracks the live daemons. It implements View. Methods may be called concurrently.
type Membership struct {
	opts Options

	mu       sync.Mutex
	table    *table
	rotation []string
	seeds    []string
	// seedCallsInFlight holds the seed addresses with a call in flight.
	seedCallsInFlight map[string]bool
	lastTick          time.Time
	lastSync          time.Time
	// syncDelay is the time from the last full sync to the next.
	syncDelay  time.Duration
	leaving    bool
	roundCount int

	attached atomic.Pointer[Attachments]

	view atomic.Pointer[[]Member]
	self atomic.Pointer[Member]
}

// New returns a Membership that sends heartbeats until ctx is done.
func New(ctx context.Context, opts Options) *Membership {
	opts = opts.withDefaults()
	now := opts.Clock.Now()
	m := &Membership{opts: opts, table: newTable(opts), seeds: opts.Seeds, seedCallsInFlight: map[string]bool{}, lastTick: now, lastSync: now, syncDelay: firstSync}
	m.Attach(Attachments{})
	m.publish(now)
	ticker := opts.Clock.NewTicker(opts.Interval)
	m.round(ctx)
	go m.run(ctx, ticker)
	if opts.Store != nil {
		go m.readSeeds(ctx, opts.Clock.NewTicker(opts.SeedInterval))
	}
	return m
}

// Self implements View.
func (m *Membership) Self() Member { return *m.self.Load() }

// Members implements View. The slice must not be changed.
func (m *Membership) Members() []Member { return *m.view.Load() }

func (m *Membership) run(ctx context.Context, ticker clockwork.Ticker) {
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			m.round(ctx)
		}
	}
}

// round detects a suspension of this daemon, removes expired members and starts the calls
// to this round's targets.
func (m *Membership) round(ctx context.Context) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	suspended := gap > m.opts.SuspectAfter
	if suspended {
		m.table.resetAfterSuspension(now)
	}
	m.refreshSelf()
	m.removeExpired(now)
	calls := m.targets(now)
	m.publish(now)
	m.mu.Unlock()

	if suspended {
		m.opts.Logger.WithFields(logrus.Fields{"event": "membership_lapse", "gap": gap}).Warn("this daemon resumed after a suspension")
		m.opts.Scope.Counter("membership_lapses").Inc(1)
		if m.opts.OnSuspension != nil {
			m.opts.OnSuspension(gap)
		}
	}
	for _, c := range calls {
		go m.call(ctx, c)
	}
}

// removeExpired removes expired members and logs them; the lock is held.
func (m *Membership) removeExpired(now time.Time) {
	for _, removed := range m.table.expire(now) {
		m.opts.Logger.WithFields(logrus.Fields{
			"event": "member_removed", "member": removed.ID, "incarnation": removed.Incarnation,
		}).Info("member removed")
	}
}

// refreshSelf updates this daemon's own state and configuration; the lock is held.
func (m *Membership) refreshSelf() {
	state := Live
	if m.leaving || m.table.superseded {
		state = Leaving
	}
	attached := m.attached.Load()
	m.table.setSelf(state, attached.Revision(), attached.ConfigDigest())
}

// newHeartbeat builds a message to a member, without the payload; the lock is held.
func (m *Membership) newHeartbeat(now time.Time, to string, fullSync bool) Heartbeat {
	m.refreshSelf()
	return Heartbeat{
		Sender:      m.table.self,
		Updates:     append(m.table.pendingUpdates(), m.table.suspicionOf(to)...),
		Unreachable: m.table.unreachable(now),
		FullSync:    fullSync,
	}
}

// call sends one heartbeat and handles the reply.
func (m *Membership) call(ctx context.Context, c target) {
	m.mu.Lock()
	message := m.newHeartbeat(m.opts.Clock.Now(), c.member.ID, c.fullSync)
	m.mu.Unlock()
	message.Payload = m.attached.Load().Exchange.Outgoing(c.member)

	bounded, cancel := context.WithTimeout(ctx, m.opts.SuspectAfter)
	defer cancel()
	reply, err := m.opts.Transport.Heartbeat(bounded, c.address, message)
	m.opts.Scope.Counter("heartbeats_sent").Inc(1)
	if err != nil {
		m.opts.Scope.Counter("heartbeats_failed").Inc(1)
	}
	m.handleReply(c, reply, err)
	if err == nil {
		m.attached.Load().Exchange.Incoming(reply.Sender.Member, reply.Payload)
	}
}

func (m *Membership) handleReply(c target, reply Heartbeat, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	delete(m.seedCallsInFlight, c.address)
	if p, ok := m.table.peers[c.member.ID]; ok {
		p.callInFlight = false
	}
	if err != nil {
		m.table.recordFailure(now, c.member.ID, errors.Is(err, syscall.ECONNREFUSED))
		m.publish(now)
		return
	}
	m.mergeMessage(now, reply, reply.FullSync)
	m.table.recordReply(now, reply.Sender.Member.ID)
	if reply.Superseded {
		m.table.superseded = true
	}
	m.publish(now)
}

// mergeMessage merges the member updates of a message; the lock is held. fullSync means that
// the message holds all members of its sender.
func (m *Membership) mergeMessage(now time.Time, message Heartbeat, fullSync bool) {
	m.table.merge(now, message.Sender, true)
	if fullSync {
		m.table.mergeFull(now, message.Updates)
	} else {
		for _, u := range message.Updates {
			m.table.merge(now, u, false)
		}
	}
	if !m.table.hasNewerIncarnation(message.Sender) {
		m.table.recordReportedUnreachable(now, message.Sender.Member.ID, message.Unreachable)
	}
}

// Receive handles the heartbeat of a peer and returns the reply.
func (m *Membership) Receive(_ context.Context, message Heartbeat) (Heartbeat, error) {
	from := message.Sender.Member
	m.mu.Lock()
	now := m.opts.Clock.Now()
	_, known := m.table.peers[from.ID]
	suspicion := m.table.suspicionOf(from.ID)
	m.mergeMessage(now, message, false)
	superseded := m.table.hasNewerIncarnation(message.Sender)
	reply := m.newHeartbeat(now, from.ID, false)
	if message.FullSync || !known {
		reply.FullSync = true
		reply.Updates = m.table.allUpdates()
	}
	reply.Updates = append(reply.Updates, suspicion...)
	reply.Superseded = superseded
	m.publish(now)
	m.mu.Unlock()

	if !superseded {
		m.attached.Load().Exchange.Incoming(from, message.Payload)
		reply.Payload = m.attached.Load().Exchange.Outgoing(from)
	}
	return reply, nil
}

// Refresh calls every member once, so that the view has their current revisions. It
// returns when all calls have ended or ctx is done. Up to FullMeshLimit it does nothing,
// since each round calls every member.
func (m *Membership) Refresh(ctx context.Context) {
	m.mu.Lock()
	full := m.table.fullMesh()
	calls := m.allTargets()
	m.mu.Unlock()
	if full {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxRefreshCalls)
	for _, c := range calls {
		group.Go(func() error {
			m.call(ctx, c)
			return nil
		})
	}
	_ = group.Wait() // No call returns an error.
}

// Leave announces to all members that this daemon is leaving. It returns when all calls
// have ended or ctx is done. Heartbeats continue, so that members that join later learn it.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	m.leaving = true
	m.refreshSelf()
	calls := m.allTargets()
	m.publish(now)
	m.mu.Unlock()

	var wg sync.WaitGroup
	for _, c := range calls {
		wg.Go(func() { m.call(ctx, c) })
	}
	wg.Wait()
}

// publish replaces the view and logs the changes; the lock is held.
func (m *Membership) publish(now time.Time) {
	if m.table.superseded && !m.leaving {
		m.leaving = true
		m.refreshSelf()
		m.opts.Logger.WithField("event", "membership_superseded").Warn("a newer incarnation of this daemon is known")
		if m.opts.OnSuperseded != nil {
			go m.opts.OnSuperseded()
		}
	}
	members := m.table.members(now)
	previous := m.view.Swap(&members)
	self := m.table.self.Member
	m.self.Store(&self)
	if previous != nil {
		m.logChanges(*previous, members)
	}
}

func (m *Membership) logChanges(previous, members []Member) {
	previousByID := make(map[string]Member, len(previous))
	for _, p := range previous {
		previousByID[p.ID] = p
	}
	live := 0
	for _, current := range members {
		if current.State == Live {
			live++
		}
		old, known := previousByID[current.ID]
		if known && old.State == current.State && old.Incarnation == current.Incarnation {
			continue
		}
		m.opts.Logger.WithFields(logrus.Fields{
			"event": "member_state", "member": current.ID, "incarnation": current.Incarnation,
			"address": current.PeerAddress, "state": current.State, "previous": old.State,
		}).Info("member changed")
	}
	m.opts.Scope.Gauge("members_live").Update(float64(live))
	m.opts.Scope.Gauge("members_known").Update(float64(len(members)))
}
