package duty

import "time"

// gate decides when a call may start and when it must have been sent. It does no I/O; its times are those
// of the election.
type gate struct {
	// ongoing counts the calls in progress, which all have the epoch.
	ongoing int
	epoch   int64
}

// begin starts a call that takes at most timeout. It returns the time by which the call must have ended,
// and false if the lease may end before. blocked means that calls with an earlier epoch are in progress:
// they must end first, as they would be received out of order.
func (g *gate) begin(now time.Duration, held *claim, timeout time.Duration) (deadline time.Duration, blocked, ok bool) {
	if held == nil || held.until-now < timeout {
		return 0, false, false
	}
	if g.ongoing > 0 && g.epoch != held.epoch {
		return 0, true, true
	}
	g.epoch = held.epoch
	g.ongoing++
	return now + timeout, false, true
}

// mayWrite reports whether a call may still be written: the process may have been suspended since it
// began.
func mayWrite(now, deadline time.Duration) bool { return now < deadline }

func (g *gate) end() { g.ongoing-- }
