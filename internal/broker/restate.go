package broker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/routing"
)

const (
	// restateAfterMismatches is the number of consecutive differing digests that are no longer
	// explained by messages in transit.
	restateAfterMismatches = 3
	// restateInterval is the shortest time between two requests for one daemon to restate its grants.
	restateInterval = 5 * time.Second
	// collectWindow is how long a new broker collects permit requests before its first grant:
	// daemons retry every brokerRetryDelay, and as much again allows for the network.
	collectWindow = 2 * brokerRetryDelay
)

// digestOf hashes attempt IDs regardless of their order.
func digestOf(pool string, ids []string) membership.RunningDigest {
	d := membership.RunningDigest{Pool: pool, Count: len(ids)}
	for _, id := range ids {
		d.Digest ^= xxhash.Sum64String(id)
	}
	return d
}

// enterConservativeMode limits grants until the given time, while daemons restate what
// is already running.
func (q *queue) enterConservativeMode(now, until time.Time) {
	q.mu.Lock()
	q.conservativeUntil = until
	clear(q.restated)
	q.mu.Unlock()
	q.parts.Pool.SetConservative(now, until)
}

// reconcile takes the complete list of grants that a daemon has running. Unknown ones are
// added to the pool's counts, and grants of the daemon that are not listed are ended.
func (q *queue) reconcile(now time.Time, daemon, incarnation string, running []routing.Progress) {
	reported := make(map[string]bool, len(running))
	for _, p := range running {
		reported[p.AttemptID] = true
		if q.adopt(now, daemon, p) {
			q.parts.Pool.Restore(now, p)
		}
	}
	for _, missing := range q.missingGrants(now, daemon, reported) {
		q.release(now, missing)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.restated[daemon] = incarnation
	q.mismatches[daemon] = 0
}

func (q *queue) adopt(now time.Time, daemon string, p routing.Progress) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, counted := q.granted[p.AttemptID]; counted || q.ended.Contains(p.AttemptID) {
		return false
	}
	q.granted[p.AttemptID] = runningGrant{daemon: daemon, since: now}
	return true
}

// missingGrants returns reports for the daemon's grants that it did not list and that are not in transit to it.
func (q *queue) missingGrants(now time.Time, daemon string, reported map[string]bool) []routing.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []routing.Report
	for id, g := range q.granted {
		if g.daemon == daemon && !reported[id] && now.Sub(g.since) > maxTransitTime {
			out = append(out, routing.Report{
				AttemptID: id, Pool: q.name, Endpoint: g.grant.Endpoint.Name, Result: routing.ResultCancelled,
			})
		}
	}
	return out
}

// compareDigest records whether a daemon's digest of its grants matches the queue's own.
func (q *queue) compareDigest(daemon string, reported membership.RunningDigest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var ids []string
	for id, g := range q.granted {
		if g.daemon == daemon {
			ids = append(ids, id)
		}
	}
	if digestOf(q.name, ids) == reported {
		q.mismatches[daemon] = 0
		return
	}
	q.mismatches[daemon]++
}

// shouldRequestRestate reports whether to request a restatement from a member: until its incarnation
// has sent one, and after mismatches at most once each restateInterval.
func (q *queue) shouldRequestRestate(now time.Time, m membership.Member) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.restated[m.ID] != m.Incarnation {
		return true
	}
	if q.mismatches[m.ID] < restateAfterMismatches || now.Sub(q.restateRequestedAt[m.ID]) < restateInterval {
		return false
	}
	q.restateRequestedAt[m.ID] = now
	return true
}

// advanceTakeover accepts permit requests once every member that is not suspected has restated
// its grants, or at restateDeadline. Requests that waited at the previous broker arrive again
// within collectWindow; grants start only after it, so that early arrivals do not overtake more
// urgent requests. It reports whether the queue may grant, and ends conservative mode once
// every such member has restated.
func (q *queue) advanceTakeover(now time.Time, members []membership.Member) (mayGrant bool) {
	q.mu.Lock()
	all := q.allRestated(members)
	if q.openedAt.IsZero() && (all || !now.Before(q.restateDeadline)) {
		q.openedAt = now
		q.open()
	}
	mayGrant = !q.openedAt.IsZero() && now.Sub(q.openedAt) >= collectWindow
	conservativeEnded := mayGrant && all && now.Before(q.conservativeUntil)
	if conservativeEnded {
		q.conservativeUntil = now
	}
	q.mu.Unlock()
	if conservativeEnded {
		q.parts.Pool.SetConservative(now, now)
	}
	return mayGrant
}

// allRestated reports whether every member that is not suspected has restated its grants. q.mu must be held.
func (q *queue) allRestated(members []membership.Member) bool {
	for _, m := range members {
		if m.State != membership.Suspected && q.restated[m.ID] != m.Incarnation {
			return false
		}
	}
	return true
}

// dropDaemon ends the grants and the waiting requests of a daemon that was removed, replaced or suspected for too long.
func (q *queue) dropDaemon(now time.Time, daemon string) {
	q.mu.Lock()
	for id, g := range q.granted {
		if g.daemon == daemon {
			delete(q.granted, id)
		}
	}
	delete(q.restated, daemon)
	delete(q.mismatches, daemon)
	delete(q.restateRequestedAt, daemon)
	q.mu.Unlock()
	q.deliver(now, q.parts.Pool.Expire(now, daemon))
}
