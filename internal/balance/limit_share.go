package balance

import "time"

const (
	// limitWindow, limitFactor and limitSlack are the users' bound on what all daemons send to an
	// endpoint: in any window limitFactor times what the limit allows, and limitSlack requests.
	limitWindow             = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5.0
	// usedLimitShare is the part of the limit that is planned for, and usedBurstShare that of what the
	// bound allows beyond it. The rest is for daemons that don't know how many they are.
	usedLimitShare, usedBurstShare = 0.9, 0.8
	// minBurst is the number of permits that a daemon can save up where only a few daemons share a
	// limit: one, and a half for the order of priorities.
	minBurst = 1.5
	// minLimit is the least limit in requests a second that is kept: without any request nobody would
	// learn that the endpoint takes more again. maxLimit bounds absurd values.
	minLimit, maxLimit = 0.1, 1e6
	// minRotation is the shortest time for which the same daemons share a limit, and
	// requestsPerRotation the number of requests that each of them may send in it at least.
	minRotation         = 8 * time.Second
	requestsPerRotation = 4
	// reservedPermits is the number of permits that the least urgent requests leave to others, and
	// leastUrgent the priority from which they do.
	reservedPermits, leastUrgent = 2.0, 4
)

// Fleet tells of the daemons that send requests to the same endpoints.
type Fleet interface {
	// Size returns the number of daemons, this one and those lost shortly before included.
	Size() int
	// Rank returns this daemon's place among them for an endpoint and slot, from 0. All daemons have
	// different places.
	Rank(endpoint EndpointKey, slot int64) int
}

// limitShare is what one daemon may send of a limit.
type limitShare struct {
	// active is the number of daemons that share the limit at a time.
	active int
	// rate is the number of requests a second of each, and burst that of permits it can save up.
	rate, burst float64
	// rotation is the time after which other daemons share the limit, or 0 if all do.
	rotation time.Duration
}

// shareOf divides a limit among daemons.
func shareOf(limit float64, daemons int) limitShare {
	limit = min(max(limit, minLimit), maxLimit)
	window := limitWindow.Seconds()
	total := usedLimitShare * limit
	bursts := usedBurstShare * ((limitFactor*limit-total)*window + limitSlack)
	if n := float64(daemons); n <= bursts {
		return limitShare{active: daemons, rate: total / n, burst: bursts / n}
	}
	active := max(1, int(bursts/minBurst))
	s := limitShare{active: active, rate: total / float64(active), burst: minBurst, rotation: minRotation}
	for s.rotation.Seconds()*s.rate < requestsPerRotation { // Powers of two, so that about equal limits have the same slots.
		s.rotation *= 2
	}
	return s
}

// permitsNeeded returns the number of saved permits from which a request of this priority takes one.
func (s limitShare) permitsNeeded(priority int) float64 {
	reserved := min(reservedPermits, s.burst-1)
	return 1 + reserved*float64(min(max(priority, 0), leastUrgent))/leastUrgent
}
