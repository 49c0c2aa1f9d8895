package scaling

import (
	"math"
	"time"
)

// Load pattern: waves, and bursts of one kind of request that come without warning and are over before a new
// endpoint has booted. The room for them must be there beforehand, so the number of endpoints follows the
// demand of the last seconds times a growth, and not the burst itself.

const (
	// busyTokens is the number of pending prompt tokens at which an endpoint counts as fully occupied: an
	// engine reads them in about 0.14 s, as much as a request may wait.
	busyTokens = 8000
	// maxOccupancy bounds what one endpoint counts for, as the backlog of an overloaded one grows without
	// limit.
	maxOccupancy = 2
	// meanTime and recentTime are the averaging times of the demand for the expected burst and for the
	// demand itself.
	meanTime, recentTime = 10 * time.Second, time.Second
	// burstGrowth is the growth of the whole demand in a burst: one of several kinds grows by 1.7 to 2.6,
	// on top of a wave of 1.27.
	burstGrowth = 1.5
	// targetOccupancy is the occupancy at which callers wait little; the backlog grows steeply above about
	// maxSustained, which the demand itself must not exceed.
	targetOccupancy, maxSustained = 0.4, 0.6
)

// demand is the work at all endpoints of a service, as a number of fully occupied endpoints.
type demand struct {
	began, at time.Time
	// mean and recent are averages over meanTime and recentTime.
	mean, recent float64
}

// observe adds the work at the endpoints as of now.
func (d *demand) observe(now time.Time, endpoints []Endpoint) {
	work := 0.0
	for _, e := range endpoints {
		occupancy := math.Max(float64(e.Running)/float64(max(1, e.Slots)), float64(e.PendingTokens)/busyTokens)
		work += math.Min(maxOccupancy, occupancy)
	}
	if d.began.IsZero() {
		d.began, d.at, d.mean, d.recent = now, now, work, work
		return
	}
	elapsed := now.Sub(d.at)
	d.at = now
	d.mean = d.average(d.mean, work, elapsed, meanTime)
	d.recent = d.average(d.recent, work, elapsed, recentTime)
}

// average adds a value to an average over a time. Until that time has passed, it is the mean so far.
func (d *demand) average(average, value float64, elapsed, over time.Duration) float64 {
	total := min(over, d.at.Sub(d.began))
	if elapsed <= 0 || total <= 0 {
		return average
	}
	return average + (value-average)*min(1, elapsed.Seconds()/total.Seconds())
}

// usual and sustained return the number of endpoints that the demand occupies to maxSustained: that of the last
// seconds, and that of now.
func (d *demand) usual() float64     { return d.mean / maxSustained }
func (d *demand) sustained() float64 { return d.recent / maxSustained }

// burst returns the number of endpoints that a burst occupies to maxSustained.
func (d *demand) burst() float64 { return burstGrowth * d.usual() }

// comfortable returns the number of endpoints at which callers wait little in a burst.
func (d *demand) comfortable() float64 { return burstGrowth * d.mean / targetOccupancy }
