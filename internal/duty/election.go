package duty

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// marginDivisor makes the margin that a candidate adds to the lease time a tenth of it. It covers
	// the difference of two VMs' clock rates and the time that a sent call is under way.
	marginDivisor = 10
	// renewDivisor makes a renewal due after a third of the lease, so that one may fail.
	renewDivisor = 3
	// readDivisor makes a candidate read the lease three times in a lease time, which adds at most a
	// third of it to a takeover.
	readDivisor = 3
	// retryDivisor bounds how often a holder tries again to reach the store.
	retryDivisor = 12
	// callDivisor is the part of the lease that a call of a duty may take. It is less than what is left
	// of a lease when its renewal is due.
	callDivisor = 3
)

// record is the content of the lease object.
type record struct {
	// Holder is the ID of the VM that holds the duty, or empty if nobody has since the object was created.
	Holder string `json:"holder"`
	// Process identifies the process that wrote the record.
	Process string `json:"process"`
	// Era is the store's era that the writer knew.
	Era int64 `json:"era"`
	// Write is the number of the process's write. It makes each renewal a change: a store may give an
	// update that changes nothing no new version, and candidates would take the lease for not renewed.
	Write int64 `json:"write"`
	// Released is set by a holder that has stopped and has no call in progress.
	Released bool `json:"released,omitempty"`
}

// sighting is a state of the lease object, and since when this process knows of it.
type sighting struct {
	era, version int64
	// exists is false if the store has no lease object.
	exists bool
	record record
	since  time.Duration
}

func (s sighting) sameState(o sighting) bool {
	return s.era == o.era && s.version == o.version && s.exists == o.exists
}

// claim is a lease of this process.
type claim struct {
	epoch, era, version int64
	// until is the end of the lease unless it is renewed.
	until time.Duration
}

// step is what an election does next.
type step int

const (
	// stepWait does nothing before the time at.
	stepWait step = iota
	stepRead
	// stepPlace creates the lease object, which gives nobody the lease: a store that has lost the object
	// may lose it again, so a creation doesn't show that nobody else has held the lease in between.
	stepPlace
	// stepAcquire replaces a lease that has ended, and stepRenew prolongs this process's own.
	stepAcquire
	stepRenew
	stepRelease
)

// action is a step with what it needs.
type action struct {
	step step
	at   time.Duration
	// base is the state that a write replaces, and record what it writes.
	base   sighting
	record record
}

// result is the outcome of a read or write. The reason is empty if it succeeded.
type result struct {
	sent, answered time.Duration
	reason         platform.Reason
	// era is that of the response.
	era, version int64
	// record is what a read found.
	record record
}

// election decides when this process reads and writes the lease object, and when it holds the lease.
// It does no I/O. All times are those of one clock that also runs while the machine is suspended.
type election struct {
	lease         time.Duration
	self, process string
	// readDelay returns the time between two reads.
	readDelay func() time.Duration

	// held is the lease that is in force until its end, or nil.
	held *claim
	// seen is the last known state of the lease object, or nil.
	seen *sighting
	// own is a state written by this process as the lease's holder, or nil: while the object has it,
	// nobody else has held the lease since.
	own *sighting
	// mustRead is set if the object may have changed since it was seen.
	mustRead bool
	// lastRead is when the object was last read, and notBefore when the next call may be made.
	lastRead, notBefore time.Duration
	// lastRenewal is when the last write as holder was sent.
	lastRenewal time.Duration
	// lastHeld is when this process last held the lease, or its start, since the process before it on
	// this VM may have.
	lastHeld time.Duration
	// notCandidateSince is when a holder ceased to be a candidate, or zero.
	notCandidateSince time.Duration
	// released is set if the last call to the store gave the lease up.
	released bool
	// leaving is set at a planned stop.
	leaving bool
	// writes counts the writes of this process.
	writes int64
	// unusable is set if the store's numbers don't fit into an epoch.
	unusable bool
}

func newElection(now, lease time.Duration, self, process string, readDelay func() time.Duration) *election {
	return &election{lease: lease, self: self, process: process, readDelay: readDelay, lastHeld: now, mustRead: true}
}

// takeoverAfter is the time for which a candidate must know a state before it takes the lease over.
func (e *election) takeoverAfter() time.Duration { return e.lease + e.lease/marginDivisor }

// callTimeout is the longest time that a call of a duty takes.
func (e *election) callTimeout() time.Duration { return e.lease / callDivisor }

// storeTimeout is the longest time that a call to the store takes. A holder whose renewal gets no answer
// has time for another.
func (e *election) storeTimeout() time.Duration { return e.lease / 2 }

// holding returns the lease that is in force, or nil.
func (e *election) holding(now time.Duration) *claim {
	if e.held == nil || now >= e.held.until {
		return nil
	}
	return e.held
}

// next returns what to do now. A process that is no candidate doesn't compete, and a holder that has
// been none for the lease time gives the lease up. busy means that calls of the duty are in progress.
func (e *election) next(now time.Duration, candidate, busy bool) action {
	e.expire(now)
	if e.held == nil {
		e.notCandidateSince = 0
		if !candidate || e.leaving {
			return action{step: stepWait, at: now + e.lease/retryDivisor}
		}
		return e.compete(now)
	}
	if candidate {
		e.notCandidateSince = 0
	} else if e.notCandidateSince == 0 {
		e.notCandidateSince = now
	}
	return e.keep(now, busy)
}

// resigning reports whether the holder is to give its lease up.
func (e *election) resigning(now time.Duration) bool {
	return e.held != nil && (e.leaving || e.notCandidateSince > 0 && now-e.notCandidateSince >= e.lease)
}

func (e *election) expire(now time.Duration) {
	if e.held != nil && now >= e.held.until {
		e.lastHeld = max(e.lastHeld, e.held.until)
		e.held = nil
	}
}

// keep returns the next step of a holder.
func (e *election) keep(now time.Duration, busy bool) action {
	switch {
	case now < e.notBefore:
		return action{step: stepWait, at: e.notBefore}
	case e.mustRead:
		return action{step: stepRead}
	case e.own != nil && e.own.sameState(*e.seen):
		if e.resigning(now) {
			if busy {
				return action{step: stepWait, at: now + e.lease/retryDivisor/10}
			}
			return e.write(stepRelease)
		}
		if due := e.lastRenewal + e.lease/renewDivisor; now < due {
			return action{step: stepWait, at: due}
		}
		return e.write(stepRenew)
	case !e.seen.exists:
		return e.write(stepPlace)
	}
	// The store has come back from an older copy or has lost the object, and since this lease hasn't
	// ended, nobody else has acquired one. If the object doesn't change before the write, nobody has then.
	return e.write(stepAcquire)
}

// compete returns the next step of a candidate.
func (e *election) compete(now time.Duration) action {
	due := e.lastRead + e.readDelay()
	switch {
	case now < e.notBefore:
		return action{step: stepWait, at: e.notBefore}
	case e.mustRead || e.seen == nil:
		return action{step: stepRead}
	case !e.seen.exists:
		return e.write(stepPlace)
	case e.mayTake(now) && now < due:
		return e.write(stepAcquire)
	case now < due:
		return action{step: stepWait, at: min(due, max(now, e.seen.since+e.takeoverAfter()))}
	}
	return action{step: stepRead}
}

// mayTake reports whether the lease that was seen has ended.
//
// A holder counts its lease from the sending of its last write, which was executed before the state was
// first seen; so after the lease time it has ended. A released lease has ended already, if it was released
// in this era: in an earlier one, a holder may have acquired it since and be lost with the newer copy.
// A process that has held the lease lately, or whose predecessor on this VM may have, doesn't take it
// before the lease time has passed, since holders must not alternate faster.
func (e *election) mayTake(now time.Duration) bool {
	if e.own != nil && e.own.sameState(*e.seen) {
		return true
	}
	if now-e.seen.since >= e.takeoverAfter() {
		return true
	}
	return e.seen.record.Released && e.seen.record.Era == e.seen.era && now-e.lastHeld >= e.takeoverAfter()
}

func (e *election) write(s step) action {
	e.writes++
	r := record{Process: e.process, Era: e.seen.era, Write: e.writes}
	if s != stepPlace {
		r.Holder, r.Released = e.self, s == stepRelease
	}
	return action{step: s, base: *e.seen, record: r}
}

// apply takes in the outcome of an action.
func (e *election) apply(a action, r result) {
	e.expire(r.answered)
	if a.step == stepRead {
		e.applyRead(r)
		return
	}
	if a.step == stepRenew || a.step == stepAcquire {
		e.lastRenewal = r.sent
	}
	if e.released = a.step == stepRelease; e.released {
		// Also if it has failed, as it may be executed later.
		e.drop(r.answered)
	}
	switch r.reason {
	case "":
		e.applyWrite(a, r)
	case platform.Conflict, platform.Exists, platform.NotFound, platform.Uncertain:
		e.mustRead = true
		e.delay(r.answered) // The read may be stale and lead to the same write.
	default:
		e.delay(r.answered)
	}
}

func (e *election) drop(now time.Duration) {
	if e.held != nil {
		e.lastHeld = max(e.lastHeld, now)
	}
	e.held, e.own = nil, nil
}

// delay puts the next call to the store off after one that has failed.
func (e *election) delay(now time.Duration) {
	e.notBefore = now + e.readDelay()
	if e.held != nil {
		e.notBefore = now + e.lease/retryDivisor
	}
}

func (e *election) applyRead(r result) {
	if r.reason != "" && r.reason != platform.NotFound {
		e.delay(r.answered)
		return
	}
	e.lastRead = r.answered
	found := sighting{era: r.era, version: r.version, exists: r.reason == "", record: r.record, since: r.answered}
	if e.seen != nil && found.era == e.seen.era && found.exists && found.version < e.seen.version && found.era > 0 {
		// A stale read. Without eras it may be a copy that has come back.
		e.notBefore = r.answered + e.lease/retryDivisor
		return
	}
	e.mustRead = false
	if e.seen == nil || !found.sameState(*e.seen) {
		e.seen = &found
	}
	// Writes as holder are conditional on a state of the era that their writer knew: if one was executed in
	// that era, it has replaced a state after which nobody else held the lease. Its answer may be lost.
	if r := found.record; found.exists && r.Process == e.process && r.Holder != "" && r.Era == found.era {
		e.own = e.seen
		if e.held != nil && e.held.era == found.era {
			e.held.version = found.version
		}
	}
	if e.held != nil && e.lostTo(found) {
		e.drop(r.answered)
	}
}

// lostTo reports whether a state shows that another process has taken the lease over.
func (e *election) lostTo(s sighting) bool {
	return s.exists && s.era == e.held.era && s.version > e.held.version && s.record.Holder != "" && s.record.Process != e.process
}

// applyWrite takes in a write that has succeeded. If the store has come back from an older copy since the
// base was seen, the write shows nothing about who has held the lease, and one that left the version as it
// was prolongs nothing that others can see.
func (e *election) applyWrite(a action, r result) {
	e.own = nil
	if r.era != a.base.era || a.base.exists && r.version <= a.base.version {
		e.mustRead = true
		return
	}
	e.seen = &sighting{era: r.era, version: r.version, exists: true, record: a.record, since: r.answered}
	e.lastRead = r.answered
	switch a.step {
	case stepRenew:
		e.own = e.seen
		if e.held != nil {
			e.held.version, e.held.until = r.version, r.sent+e.lease
		}
	case stepAcquire:
		e.own = e.seen
		e.grant(r)
	case stepWait, stepRead, stepPlace, stepRelease:
	}
}

// grant begins a lease at the sending of the write, since others count from its execution.
func (e *election) grant(r result) {
	epoch, ok := epochOf(r.era, r.version)
	if e.unusable = !ok; e.unusable {
		e.notBefore = r.answered + e.lease
	}
	if until := r.sent + e.lease; ok && r.answered < until {
		e.held = &claim{epoch: epoch, era: r.era, version: r.version, until: until}
	}
}
