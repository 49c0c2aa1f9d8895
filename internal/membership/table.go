package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// refusalsMean is the number of refused connections in a row that mean that no
	// process listens at the address any more.
	refusalsMean = 2
	// failuresMean is the number of failed calls in a row that start a rumour.
	failuresMean = 2
)

// peer is what this daemon knows of another one.
type peer struct {
	// fact holds the state that the member gave itself, or a rumour of suspicion.
	fact MemberUpdate
	// lastReply is when an own call was last answered, or when the member was learnt of.
	lastReply time.Time
	// lastDirect is the last message or answer of the member itself.
	lastDirect time.Time
	// lastSeen is the last sign of life, direct or by a newer fact.
	lastSeen time.Time
	// failingSince is the first failed call since the last answered one.
	failingSince time.Time
	// failures counts the failed calls since the last answered one.
	failures int
	// refusals counts the refused connections since the last answered call.
	refusals int
	// cutSince is when the member said that its calls do not reach this daemon.
	cutSince time.Time
	// suspectedSince is when the present rumour of suspicion came in.
	suspectedSince time.Time
	// sendsLeft is how often the fact is still passed on.
	sendsLeft int
	// introduced is set once the member has answered.
	introduced bool
	calling    bool
}

// table is the decision part of the membership: facts in, states out. It is not
// safe for concurrent use; time is passed in.
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

// reachable reports whether this daemon's own calls to p get through.
func (t *table) reachable(now time.Time, p *peer) bool {
	if p.refusals >= refusalsMean {
		return false
	}
	if t.fullMesh() {
		return now.Sub(p.lastReply) <= t.suspectAfter
	}
	return p.failingSince.IsZero() || now.Sub(p.failingSince) <= t.suspectAfter
}

// state is the state of p as this daemon sees it.
func (t *table) state(now time.Time, p *peer) State {
	switch {
	case p.fact.Member.State == Leaving:
		return Leaving
	case !t.reachable(now, p), !p.cutSince.IsZero():
		return Suspected
	case !p.suspectedSince.IsZero() && now.Sub(p.suspectedSince) > t.contradictWithin():
		return Suspected
	default:
		return Live
	}
}

// contradictWithin is the time that a member has to contradict a rumour. The rumour
// has to reach it, and its word to come back, in a number of rounds that grows with
// the logarithm of the membership.
func (t *table) contradictWithin() time.Duration {
	return t.suspectAfter * time.Duration(max(2, bits.Len(uint(len(t.peers))))) / 2
}

// members returns the whole membership, sorted by ID.
func (t *table) members(now time.Time) []Member {
	out := make([]Member, 0, len(t.peers)+1)
	out = append(out, t.self.Member)
	for _, p := range t.peers {
		m := p.fact.Member
		m.State = t.state(now, p)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// unreachable lists the members that own calls do not reach.
func (t *table) unreachable(now time.Time) []string {
	var out []string
	for id, p := range t.peers {
		if p.fact.Member.State != Leaving && !t.reachable(now, p) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// setSelf changes what this daemon says of itself. The configuration does not raise
// the sequence: it is learnt in direct contact only, since passing every member's
// revision on at every change would cost more than all else.
func (t *table) setSelf(state State, revision int64, digest uint64) {
	t.self.Member.Revision = revision
	t.self.Member.ConfigDigest = digest
	if t.self.Member.State != state {
		t.self.Member.State = state
		t.self.Sequence++
	}
}

// merge takes in a fact. Direct facts come from the member itself.
func (t *table) merge(now time.Time, f MemberUpdate, direct bool) {
	id := f.Member.ID
	if id == "" {
		return
	}
	if id == t.self.Member.ID {
		t.mergeSelf(f)
		return
	}
	p, known := t.peers[id]
	if !known {
		if f.Member.State == Live || direct {
			t.peers[id] = t.newPeer(now, f)
		}
		return
	}
	switch cmp.Compare(f.Member.Incarnation, p.fact.Member.Incarnation) {
	case 1:
		t.peers[id] = t.newPeer(now, f)
	case 0:
		t.mergeSame(now, p, f, direct)
	}
}

func (t *table) newPeer(now time.Time, f MemberUpdate) *peer {
	p := &peer{fact: f, lastReply: now, lastSeen: now, sendsLeft: t.sends()}
	if f.Member.State == Suspected {
		p.suspectedSince = now
	}
	return p
}

// mergeSame takes in a fact about the incarnation that is known.
func (t *table) mergeSame(now time.Time, p *peer, f MemberUpdate, direct bool) {
	newer := f.Sequence > p.fact.Sequence
	met := !p.lastDirect.IsZero() && now.Sub(p.lastDirect) <= t.contradictWithin()
	rumour := f.Sequence == p.fact.Sequence && f.Member.State == Suspected && p.fact.Member.State == Live && !met
	if direct {
		p.lastDirect = now
	}
	if direct || newer && f.Member.State != Suspected {
		p.lastSeen = now
	}
	if direct && f.Sequence >= p.fact.Sequence {
		p.suspectedSince = time.Time{}
		p.fact.Member.State = f.Member.State
	}
	config := p.fact.Member
	if f.Member.Revision >= config.Revision {
		config = f.Member
	}
	if newer || rumour {
		p.fact = f
		p.sendsLeft = t.sends()
		p.suspectedSince = time.Time{}
		if f.Member.State == Suspected {
			p.suspectedSince = now
		}
	}
	p.fact.Member.Revision = config.Revision
	p.fact.Member.ConfigDigest = config.ConfigDigest
}

// mergeSelf takes in what others say of this daemon: a newer incarnation ends its
// part, and a rumour of suspicion is contradicted with a higher sequence.
func (t *table) mergeSelf(f MemberUpdate) {
	switch cmp.Compare(f.Member.Incarnation, t.self.Member.Incarnation) {
	case 1:
		t.superseded = true
	case 0:
		if f.Member.State == Suspected && f.Sequence >= t.self.Sequence {
			t.self.Sequence = f.Sequence + 1
		}
	}
}

// supersedes reports whether a newer incarnation than that of f is known.
func (t *table) supersedes(f MemberUpdate) bool {
	p, known := t.peers[f.Member.ID]
	return known && p.fact.Member.Incarnation > f.Member.Incarnation
}

// answered notes that a call to a member was answered.
func (t *table) answered(now time.Time, id string) {
	if p, ok := t.peers[id]; ok {
		p.lastReply, p.lastSeen = now, now
		p.failingSince = time.Time{}
		p.failures, p.refusals = 0, 0
		p.introduced = true
	}
}

// failed notes a failed call. Above the full mesh, failures in a row start a rumour
// of suspicion, which the member can contradict.
func (t *table) failed(now time.Time, id string, refused bool) {
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
	if !t.fullMesh() && p.failures >= failuresMean && p.fact.Member.State == Live {
		p.fact.Member.State = Suspected
		p.suspectedSince = now
		p.sendsLeft = t.sends()
	}
}

// heard notes whether a member's calls reach this daemon, by its own word.
func (t *table) heard(now time.Time, from string, unreachable []string) {
	p, ok := t.peers[from]
	if !ok {
		return
	}
	if !slices.Contains(unreachable, t.self.Member.ID) {
		p.cutSince = time.Time{}
		return
	}
	if p.cutSince.IsZero() {
		p.cutSince = now
	}
}

// lapsed gives every member a new grace after this daemon itself was silent.
func (t *table) lapsed(now time.Time) {
	t.self.Sequence++
	for _, p := range t.peers {
		p.lastReply, p.lastSeen = now, now
		p.failingSince = time.Time{}
		p.suspectedSince = time.Time{}
		p.failures, p.refusals = 0, 0
	}
}

// expire forgets members that have been silent for removeAfter, and leaving ones
// that do not answer any more.
func (t *table) expire(now time.Time) (gone []Member) {
	for id, p := range t.peers {
		silent := now.Sub(p.lastSeen)
		ended := p.fact.Member.State == Leaving && !t.reachable(now, p)
		if silent > t.removeAfter || ended {
			gone = append(gone, p.fact.Member)
			delete(t.peers, id)
		}
	}
	return gone
}
