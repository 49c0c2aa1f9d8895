package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// refusalsBeforeUnreachable is the number of consecutive refused connections that mean
	// that no process listens at the address any more.
	refusalsBeforeUnreachable = 2
	// failuresBeforeSuspicion is the number of consecutive failed calls after which the member
	// is suspected in the updates to others, above the full mesh.
	failuresBeforeSuspicion = 2
)

// peer is this daemon's record of another member.
type peer struct {
	// update is the newest update: the state that the member announced, or a suspicion.
	update MemberUpdate
	// lastReply is the time of the last reply to this daemon's calls, at first that of
	// discovery.
	lastReply time.Time
	// lastContact is the time of the last message or reply from the member itself.
	lastContact time.Time
	// lastSeen is the last time that the member was known to run, from direct contact or
	// from a newer update.
	lastSeen time.Time
	// failingSince is the time of the first failed call since the last reply.
	failingSince time.Time
	// failures counts the failed calls since the last reply.
	failures int
	// refusals counts the refused connections since the last reply.
	refusals int
	// inboundFailingSince is when the member reported that its calls do not reach this daemon.
	inboundFailingSince time.Time
	// suspectedSince is when the current suspicion was received.
	suspectedSince time.Time
	// transmitsLeft is how many more times the update is sent.
	transmitsLeft int
	// synced is set with the first reply; until then, calls ask for a full sync.
	synced       bool
	callInFlight bool
}

// table derives the states of the members from updates and call results. It does no I/O,
// takes the time as a parameter and is not safe for concurrent use.
type table struct {
	self          MemberUpdate
	superseded    bool
	peers         map[string]*peer
	suspectAfter  time.Duration
	removeAfter   time.Duration
	fullMeshLimit int
}

func newTable(opts Options) *table {
	return &table{
		self:          MemberUpdate{Member: opts.Self, Sequence: 1},
		peers:         map[string]*peer{},
		suspectAfter:  opts.SuspectAfter,
		removeAfter:   opts.RemoveAfter,
		fullMeshLimit: opts.FullMeshLimit,
	}
}

// fullMesh reports whether every member calls every other one.
func (t *table) fullMesh() bool { return len(t.peers)+1 <= t.fullMeshLimit }

// reachable reports whether this daemon's calls to p succeed.
func (t *table) reachable(now time.Time, p *peer) bool {
	if p.refusals >= refusalsBeforeUnreachable {
		return false
	}
	if t.fullMesh() {
		return now.Sub(p.lastReply) <= t.suspectAfter
	}
	return p.failingSince.IsZero() || now.Sub(p.failingSince) <= t.suspectAfter
}

// state returns the state of p as this daemon sees it.
func (t *table) state(now time.Time, p *peer) State {
	switch {
	case p.update.Member.State == Leaving:
		return Leaving
	case !t.reachable(now, p), !p.inboundFailingSince.IsZero():
		return Suspected
	case !p.suspectedSince.IsZero() && now.Sub(p.suspectedSince) > t.refutationTimeout():
		return Suspected
	default:
		return Live
	}
}

// refutationTimeout is the time that a member has to refute a suspicion. The suspicion
// must reach it and the refutation must return, in a number of rounds that grows with the
// logarithm of the number of members.
func (t *table) refutationTimeout() time.Duration {
	return t.suspectAfter * time.Duration(max(2, bits.Len(uint(len(t.peers))))) / 2
}

// members returns all members, this daemon included, sorted by ID.
func (t *table) members(now time.Time) []Member {
	out := make([]Member, 0, len(t.peers)+1)
	out = append(out, t.self.Member)
	for _, p := range t.peers {
		m := p.update.Member
		m.State = t.state(now, p)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// unreachable lists the IDs of members that this daemon's calls do not reach, except for
// leaving ones.
func (t *table) unreachable(now time.Time) []string {
	var out []string
	for id, p := range t.peers {
		if p.update.Member.State != Leaving && !t.reachable(now, p) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// setSelf sets the state and configuration that this daemon announces. A change of
// configuration does not raise the sequence: members learn it only by direct contact, since
// forwarding every member's revision at every change would cost more than all other traffic.
func (t *table) setSelf(state State, revision int64, digest uint64) {
	t.self.Member.Revision = revision
	t.self.Member.ConfigDigest = digest
	if t.self.Member.State != state {
		t.self.Member.State = state
		t.self.Sequence++
	}
}

// merge adds an update. direct means that it comes from the member itself.
func (t *table) merge(now time.Time, u MemberUpdate, direct bool) {
	id := u.Member.ID
	if id == "" {
		return
	}
	if id == t.self.Member.ID {
		t.mergeSelf(u)
		return
	}
	p, known := t.peers[id]
	if !known {
		if u.Member.State == Live || direct {
			t.peers[id] = t.newPeer(now, u)
		}
		return
	}
	switch cmp.Compare(u.Member.Incarnation, p.update.Member.Incarnation) {
	case 1:
		t.peers[id] = t.newPeer(now, u)
	case 0:
		t.mergeSameIncarnation(now, p, u, direct)
	}
}

func (t *table) newPeer(now time.Time, u MemberUpdate) *peer {
	p := &peer{update: u, lastReply: now, lastSeen: now, transmitsLeft: t.transmitLimit()}
	if u.Member.State == Suspected {
		p.suspectedSince = now
	}
	return p
}

// mergeSameIncarnation merges an update of the incarnation that is already recorded.
func (t *table) mergeSameIncarnation(now time.Time, p *peer, u MemberUpdate, direct bool) {
	newer := u.Sequence > p.update.Sequence
	recentContact := !p.lastContact.IsZero() && now.Sub(p.lastContact) <= t.refutationTimeout()
	newSuspicion := u.Sequence == p.update.Sequence && u.Member.State == Suspected && p.update.Member.State == Live && !recentContact
	if direct {
		p.lastContact = now
	}
	if direct || newer && u.Member.State != Suspected {
		p.lastSeen = now
	}
	if direct && u.Sequence >= p.update.Sequence {
		p.suspectedSince = time.Time{}
		p.update.Member.State = u.Member.State
	}
	config := p.update.Member
	if u.Member.Revision >= config.Revision {
		config = u.Member
	}
	if newer || newSuspicion {
		p.update = u
		p.transmitsLeft = t.transmitLimit()
		p.suspectedSince = time.Time{}
		if u.Member.State == Suspected {
			p.suspectedSince = now
		}
	}
	p.update.Member.Revision = config.Revision
	p.update.Member.ConfigDigest = config.ConfigDigest
}

// mergeSelf handles an update about this daemon: a newer incarnation supersedes it, and a
// suspicion is refuted with a higher sequence.
func (t *table) mergeSelf(u MemberUpdate) {
	switch cmp.Compare(u.Member.Incarnation, t.self.Member.Incarnation) {
	case 1:
		t.superseded = true
	case 0:
		if u.Member.State == Suspected && u.Sequence >= t.self.Sequence {
			t.self.Sequence = u.Sequence + 1
		}
	}
}

// hasNewerIncarnation reports whether a newer incarnation than that of u is recorded.
func (t *table) hasNewerIncarnation(u MemberUpdate) bool {
	p, known := t.peers[u.Member.ID]
	return known && p.update.Member.Incarnation > u.Member.Incarnation
}

// recordReply records that a member replied to a call.
func (t *table) recordReply(now time.Time, id string) {
	if p, ok := t.peers[id]; ok {
		p.lastReply, p.lastSeen = now, now
		p.failingSince = time.Time{}
		p.failures, p.refusals = 0, 0
		p.synced = true
	}
}

// recordFailure records a failed call. Above the full mesh, consecutive failures start a
// suspicion, which the member can refute.
func (t *table) recordFailure(now time.Time, id string, refused bool) {
	p, ok := t.peers[id]
	if !ok {
		return
	}
	p.failures++
	if refused {
		p.refusals++
	}
	if p.failingSince.IsZero() {
		p.failingSince = now
	}
	if !t.fullMesh() && p.failures >= failuresBeforeSuspicion && p.update.Member.State == Live {
		p.update.Member.State = Suspected
		p.suspectedSince = now
		p.transmitsLeft = t.transmitLimit()
	}
}

// recordReportedUnreachable records whether a member reports this daemon as unreachable.
func (t *table) recordReportedUnreachable(now time.Time, from string, unreachable []string) {
	p, ok := t.peers[from]
	if !ok {
		return
	}
	if !slices.Contains(unreachable, t.self.Member.ID) {
		p.inboundFailingSince = time.Time{}
		return
	}
	if p.inboundFailingSince.IsZero() {
		p.inboundFailingSince = now
	}
}

// resetAfterSuspension restarts the timeouts of every member after this daemon itself was
// suspended, and raises its sequence.
func (t *table) resetAfterSuspension(now time.Time) {
	t.self.Sequence++
	for _, p := range t.peers {
		p.lastReply, p.lastSeen = now, now
		p.failingSince = time.Time{}
		p.suspectedSince = time.Time{}
		p.failures, p.refusals = 0, 0
	}
}

// expire removes members without contact for removeAfter, and leaving ones that can no
// longer be reached.
func (t *table) expire(now time.Time) (removed []Member) {
	for id, p := range t.peers {
		sinceSeen := now.Sub(p.lastSeen)
		left := p.update.Member.State == Leaving && !t.reachable(now, p)
		if sinceSeen > t.removeAfter || left {
			removed = append(removed, p.update.Member)
			delete(t.peers, id)
		}
	}
	return removed
}
