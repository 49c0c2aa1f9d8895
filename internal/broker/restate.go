package broker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// mismatchesMean is the number of differing digests in a row that are no matter of timing.
	mismatchesMean = 3
	// restateInterval bounds how often one daemon is asked to restate its grants.
	restateInterval = 5 * time.Second
	// gatherFor is how long a new broker collects asks before its first grant: a daemon
	// looks for the broker each findDelay, and as much again covers the way here.
	gatherFor = 2 * findDelay
)

// digestOf sums up ask IDs without regard to order.
func digestOf(pool string, ids []string) membership.RunningDigest {
	d := membership.RunningDigest{Pool: pool, Count: len(ids)}
	for _, id := range ids {
		d.Digest ^= xxhash.Sum64String(id)
	}
	return d
}

// beCautious starts the time in which the queue learns what runs already.
func (q *queue) beCautious(now, until time.Time) {
	q.mu.Lock()
	q.cautious = until
	clear(q.restated)
	q.mu.Unlock()
	q.parts.Pool.SetConservative(now, until)
}

// restate takes a daemon's statement of every grant that it has running: unknown
// ones are counted, and those that it does not have are ended.
func (q *queue) restate(now time.Time, daemon, incarnation string, running []routing.Progress) {
	stated := make(map[string]bool, len(running))
	for _, p := range running {
		stated[p.AttemptID] = true
		if q.adopt(now, daemon, p) {
			q.parts.Pool.Restore(now, p)
		}
	}
	for _, lost := range q.lost(now, daemon, stated) {
		q.release(now, lost)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.restated[daemon] = incarnation
	q.mismatches[daemon] = 0
}

func (q *queue) adopt(now time.Time, daemon string, p routing.Progress) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.granted[p.AttemptID]; known || q.ended.Contains(p.AttemptID) {
		return false
	}
	q.granted[p.AttemptID] = granted{daemon: daemon, since: now}
	return true
}

// lost lists the grants of a daemon that it did not state and that are not on their way to it.
func (q *queue) lost(now time.Time, daemon string, stated map[string]bool) []routing.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []routing.Report
	for id, g := range q.granted {
		if g.daemon == daemon && !stated[id] && now.Sub(g.since) > settleTime {
			out = append(out, routing.Report{
				AttemptID: id, Pool: q.name, Endpoint: g.grant.Endpoint.Name, Result: routing.ResultCancelled,
			})
		}
	}
	return out
}

// compare notes whether a daemon's digest of its grants matches what the queue has.
func (q *queue) compare(from string, stated membership.RunningDigest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ids []string
	for id, g := range q.granted {
		if g.daemon == from {
			ids = append(ids, id)
		}
	}
	if digestOf(q.name, ids) == stated {
		q.mismatches[from] = 0
		return
	}
	q.mismatches[from]++
}

// wantsRestate reports whether a member should restate its grants.
func (q *queue) wantsRestate(now time.Time, m membership.Member) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.restated[m.ID] != m.Incarnation {
		return true
	}
	if q.mismatches[m.ID] < mismatchesMean || now.Sub(q.askedAt[m.ID]) < restateInterval {
		return false
	}
	q.askedAt[m.ID] = now
	return true
}

// takeOver lets asks in once every member that answers has restated its grants, or
// at holdUntil. Asks that waited at the broker before come again within gatherFor; the
// first grants follow after that, so that what arrives first does not go before what
// is more urgent. It reports whether the queue may grant, and ends the caution once
// every member has restated.
func (q *queue) takeOver(now time.Time, members []membership.Member) (grants bool) {
	q.mu.Lock()
	all := q.allRestated(members)
	if q.openedAt.IsZero() && (all || !now.Before(q.holdUntil)) {
		q.openedAt = now
		q.open()
	}
	grants = !q.openedAt.IsZero() && now.Sub(q.openedAt) >= gatherFor
	ended := grants && all && now.Before(q.cautious)
	if ended {
		q.cautious = now
	}
	q.mu.Unlock()
	if ended {
		q.parts.Pool.SetConservative(now, now)
	}
	return grants
}

// allRestated reports whether every member that answers has restated; the lock is held.
func (q *queue) allRestated(members []membership.Member) bool {
	for _, m := range members {
		if m.State != membership.Suspected && q.restated[m.ID] != m.Incarnation {
			return false
		}
	}
	return true
}

// expire ends everything of a daemon that is gone.
func (q *queue) expire(now time.Time, daemon string) {
	q.mu.Lock()
	for id, g := range q.granted {
		if g.daemon == daemon {
			delete(q.granted, id)
		}
	}
	delete(q.restated, daemon)
	delete(q.mismatches, daemon)
	delete(q.askedAt, daemon)
	q.mu.Unlock()
	q.deliver(now, q.parts.Pool.Expire(now, daemon))
}
