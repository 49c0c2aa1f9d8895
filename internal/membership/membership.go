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

// maxRefreshCalls bounds the calls that Refresh makes at once.
const maxRefreshCalls = 32

// Membership tracks the live daemons. It implements View. Methods may be called concurrently.
type Membership struct {
	opts Options

	mu       sync.Mutex
	table    *table
	rotation []string
	seeds    []string
	// calling holds the addresses of seeds whose call is under way.
	calling  map[string]bool
	lastTick time.Time
	lastSync time.Time
	// syncDelay is the time from the last full exchange to the next.
	syncDelay time.Duration
	leaving   bool
	rounds    int

	attached atomic.Pointer[Attachments]

	view atomic.Pointer[[]Member]
	self atomic.Pointer[Member]
}

// New starts the heartbeats; they end with ctx.
func New(ctx context.Context, opts Options) *Membership {
	opts = opts.withDefaults()
	now := opts.Clock.Now()
	m := &Membership{opts: opts, table: newTable(opts), seeds: opts.Seeds, calling: map[string]bool{}, lastTick: now, lastSync: now, syncDelay: firstSync}
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

// round notices an own lapse, forgets the silent, and calls this round's targets.
func (m *Membership) round(ctx context.Context) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	lapsed := gap > m.opts.SuspectAfter
	if lapsed {
		m.table.lapsed(now)
	}
	m.refreshSelf()
	m.expire(now)
	calls := m.targets(now)
	m.publish(now)
	m.mu.Unlock()

	if lapsed {
		m.opts.Logger.WithFields(logrus.Fields{"event": "membership_lapse", "gap": gap}).Warn("this daemon was silent")
		m.opts.Scope.Counter("membership_lapses").Inc(1)
		if m.opts.OnSuspension != nil {
			m.opts.OnSuspension(gap)
		}
	}
	for _, c := range calls {
		go m.call(ctx, c)
	}
}

// expire drops members that are gone; the lock is held.
func (m *Membership) expire(now time.Time) {
	for _, gone := range m.table.expire(now) {
		m.opts.Logger.WithFields(logrus.Fields{
			"event": "member_removed", "member": gone.ID, "incarnation": gone.Incarnation,
		}).Info("member removed")
	}
}

// refreshSelf brings this daemon's own fact up to date; the lock is held.
func (m *Membership) refreshSelf() {
	state := Live
	if m.leaving || m.table.superseded {
		state = Leaving
	}
	attached := m.attached.Load()
	m.table.setSelf(state, attached.Revision(), attached.ConfigDigest())
}

// outgoing makes a message to a member; the lock is held.
func (m *Membership) outgoing(now time.Time, to string, introduction bool) Heartbeat {
	m.refreshSelf()
	return Heartbeat{
		Sender:      m.table.self,
		Updates:     append(m.table.news(), m.table.suspicion(to)...),
		Unreachable: m.table.unreachable(now),
		FullSync:    introduction,
	}
}

// call sends one heartbeat and takes in the reply.
func (m *Membership) call(ctx context.Context, c target) {
	m.mu.Lock()
	message := m.outgoing(m.opts.Clock.Now(), c.member.ID, c.introduce)
	m.mu.Unlock()
	message.Payload = m.attached.Load().Exchange.Outgoing(c.member)

	bounded, cancel := context.WithTimeout(ctx, m.opts.SuspectAfter)
	defer cancel()
	reply, err := m.opts.Transport.Heartbeat(bounded, c.address, message)
	m.opts.Scope.Counter("heartbeats_sent").Inc(1)
	if err != nil {
		m.opts.Scope.Counter("heartbeats_failed").Inc(1)
	}
	m.returned(c, reply, err)
	if err == nil {
		m.attached.Load().Exchange.Incoming(reply.Sender.Member, reply.Payload)
	}
}

func (m *Membership) returned(c target, reply Heartbeat, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	delete(m.calling, c.address)
	if p, ok := m.table.peers[c.member.ID]; ok {
		p.calling = false
	}
	if err != nil {
		m.table.failed(now, c.member.ID, errors.Is(err, syscall.ECONNREFUSED))
		m.publish(now)
		return
	}
	m.take(now, reply, reply.FullSync)
	m.table.answered(now, reply.Sender.Member.ID)
	if reply.Superseded {
		m.table.superseded = true
	}
	m.publish(now)
}

// take merges a message; the lock is held.
func (m *Membership) take(now time.Time, message Heartbeat, introduction bool) {
	m.table.merge(now, message.Sender, true)
	if introduction {
		m.table.introduce(now, message.Updates)
	} else {
		for _, f := range message.Updates {
			m.table.merge(now, f, false)
		}
	}
	if !m.table.supersedes(message.Sender) {
		m.table.heard(now, message.Sender.Member.ID, message.Unreachable)
	}
}

// Receive answers the heartbeat of a peer.
func (m *Membership) Receive(_ context.Context, message Heartbeat) (Heartbeat, error) {
	from := message.Sender.Member
	m.mu.Lock()
	now := m.opts.Clock.Now()
	_, known := m.table.peers[from.ID]
	suspicion := m.table.suspicion(from.ID)
	m.take(now, message, false)
	superseded := m.table.supersedes(message.Sender)
	reply := m.outgoing(now, from.ID, false)
	if message.FullSync || !known {
		reply.FullSync = true
		reply.Updates = m.table.all()
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

// Refresh calls every member once, so that the revisions in the view are of now. It
// returns when all were called, or with ctx. Up to FullMeshLimit each round does that.
func (m *Membership) Refresh(ctx context.Context) {
	m.mu.Lock()
	full := m.table.fullMesh()
	calls := m.everyone()
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

// Leave announces to all members that this daemon is leaving. It returns when they
// were told, or with ctx; heartbeats go on, so that late comers learn it too.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	m.leaving = true
	m.refreshSelf()
	calls := m.everyone()
	m.publish(now)
	m.mu.Unlock()

	var wg sync.WaitGroup
	for _, c := range calls {
		wg.Go(func() { m.call(ctx, c) })
	}
	wg.Wait()
}

// publish replaces the view and logs what changed; the lock is held.
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
	before := make(map[string]Member, len(previous))
	for _, p := range previous {
		before[p.ID] = p
	}
	live := 0
	for _, now := range members {
		if now.State == Live {
			live++
		}
		old, known := before[now.ID]
		if known && old.State == now.State && old.Incarnation == now.Incarnation {
			continue
		}
		m.opts.Logger.WithFields(logrus.Fields{
			"event": "member_state", "member": now.ID, "incarnation": now.Incarnation,
			"address": now.PeerAddress, "state": now.State, "previous": old.State,
		}).Info("member changed")
	}
	m.opts.Scope.Gauge("members_live").Update(float64(live))
	m.opts.Scope.Gauge("members_known").Update(float64(len(members)))
}
