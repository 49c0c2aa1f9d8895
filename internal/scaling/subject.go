package scaling

import "time"

// subjectKey names what one order sets: the number of endpoints of a kind in a data centre.
type subjectKey struct {
	dataCentre  string
	reclaimable bool
}

// subject is the state of the orders of one kind in one data centre.
type subject struct {
	reclaimable bool
	// usable counts the listed endpoints that don't drain, and warm those of them that have read the prompt
	// parts that moved to them.
	usable, warm int
	// peak is the highest number of usable endpoints within settleTime, last reached at peakAt.
	peak   int
	peakAt time.Time
	// ordered is the number of the last order, if there is one in force that this planner knows.
	ordered  int
	hasOrder bool
	// orderedAt is the time of that order. fulfilled is set once as many endpoints were usable.
	orderedAt time.Time
	fulfilled bool
	// resendAt is when an order without an answer is repeated, or zero; resendDelay is the delay then.
	resendAt    time.Time
	resendDelay time.Duration
	// refusedUntil is how long no further endpoints are ordered after a refusal, and releasable since when
	// there have been too many.
	refusedUntil    time.Time
	releasableSince time.Time
}

// expected returns the number of endpoints once the order in force has been carried out. Without a known order
// it is that of the list. An order below what really exists would release endpoints, so ordinary ones that are
// missing from the list count for a while; reclaimable ones have been taken away.
func (s *subject) expected() int {
	switch {
	case s.hasOrder:
		return s.ordered
	case s.reclaimable:
		return s.usable
	}
	return s.peak
}

// held returns the endpoints that count against the range: those listed and those that are still to come.
func (s *subject) held() int { return max(s.usable, s.expected()) }

// observe compares what is listed with the order in force. An order of which too little has arrived, or of
// which most has been lost, no longer counts, so that it can be given again.
func (s *subject) observe(now time.Time, boot time.Duration) {
	if s.usable >= s.peak || now.Sub(s.peakAt) > settleTime {
		s.peak, s.peakAt = s.usable, now
	}
	if !s.hasOrder {
		return
	}
	if s.usable >= s.ordered {
		s.fulfilled = true
		s.orderedAt = now // The time from which a loss is counted.
		return
	}
	overdue := now.Sub(s.orderedAt) > boot+arrivalSlack
	switch {
	case s.fulfilled && (float64(s.usable) <= (1-lossShare)*float64(s.ordered) || overdue):
		s.hasOrder = false
	case !s.fulfilled && overdue && s.resendAt.IsZero():
		s.hasOrder = false
		s.refusedUntil = now.Add(refusalHold) // The platform has accepted the order and has none.
	}
}

// most returns how many endpoints are to be had at the moment, up to limit.
func (s *subject) most(now time.Time, limit int) int {
	if now.Before(s.refusedUntil) {
		return min(limit, s.expected())
	}
	return limit
}

// note records what became of an order.
func (s *subject) note(now time.Time, count int, outcome Outcome) {
	switch outcome {
	case Accepted:
		s.hasOrder, s.ordered, s.orderedAt, s.fulfilled = true, count, now, s.usable >= count
		s.resendAt, s.resendDelay = time.Time{}, 0
	case Refused:
		s.refusedUntil = now.Add(refusalHold)
		s.resendAt, s.resendDelay = time.Time{}, 0
		if s.hasOrder && s.ordered == count {
			s.hasOrder = false // A repeated order: the earlier one may not have been received either.
		}
	case Unanswered:
		s.hasOrder, s.ordered, s.orderedAt, s.fulfilled = true, count, now, false
		s.resendDelay = min(maxResend, max(minResend, 2*s.resendDelay))
		s.resendAt = now.Add(s.resendDelay)
	case NotSent:
		// The next plan has the order again.
	}
}

// resends reports whether the order in force must be repeated, as its answer was lost.
func (s *subject) resends(now time.Time) bool {
	return s.hasOrder && !s.resendAt.IsZero() && !now.Before(s.resendAt)
}
