package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// readingTTL is how long a peer's reading of the clock is used.
	readingTTL = 10 * time.Second
	// agreement is the largest difference between clocks that agree: VM clocks are close to true time,
	// and a message takes some milliseconds.
	agreement = 250 * time.Millisecond
	// confirmWait is how long a process waits after its start for readings of peers whose reference is
	// confirmed, in which all of them send several messages, and maxConfirmWait how long it waits for any.
	confirmWait, maxConfirmWait = time.Second, 3 * time.Second
	// slewPPM bounds the rate, in millionths, at which a confirmed reference follows the VM's clock. That
	// makes up for the drift of the boot clock, which is under 100 millionths, and is too slow for a step
	// of seconds to move counts: a step is outside the agreement and not followed at all.
	slewPPM = 500
)

// Clock gives true time. It runs on the boot clock, which does not step and goes on while the VM is
// suspended, from a reference that is taken at the start. A process whose VM clock has just stepped
// would take a wrong one, so the reference is confirmed by the clocks of peers. It is safe for
// concurrent use.
type Clock struct {
	mu        sync.Mutex
	started   time.Duration
	observed  time.Duration
	offset    time.Duration // Unix time less boot time.
	confirmed bool
	readings  map[string]reading
}

// reading is what a peer's clock says: the highest offset of its messages, which is that of the one that
// was under way for the shortest time.
type reading struct {
	offset    time.Duration
	confirmed bool
	at        time.Duration
}

// NewClock returns a clock that starts at boot on the boot clock and wall on the VM's clock.
func NewClock(boot time.Duration, wall time.Time) *Clock {
	return &Clock{started: boot, observed: boot, offset: time.Duration(wall.UnixNano()) - boot, readings: make(map[string]reading)}
}

// At returns the true time at an instant of the boot clock. confirmed is false while peers have yet to
// confirm it.
func (c *Clock) At(boot time.Duration) (t time.Time, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(boot+c.offset)), c.confirmed
}

// ObservePeer records the clock of a peer, as of a message that has just arrived.
func (c *Clock) ObservePeer(boot time.Duration, peer string, at time.Time, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed {
		return
	}
	offset := time.Duration(at.UnixNano()) - boot
	known, exists := c.readings[peer]
	switch {
	case exists && known.confirmed && !confirmed:
		return // It is late.
	case exists && known.confirmed == confirmed:
		offset = max(offset, known.offset)
	}
	c.readings[peer] = reading{offset: offset, confirmed: confirmed, at: boot}
}

// Observe reads the VM's clock. It is called at intervals of a fraction of a second.
func (c *Clock) Observe(boot time.Duration, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := time.Duration(wall.UnixNano()) - boot
	elapsed := boot - c.observed
	c.observed = boot
	if c.confirmed {
		if difference := own - c.offset; difference.Abs() <= agreement {
			slew := elapsed * slewPPM / 1_000_000
			c.offset += max(-slew, min(slew, difference))
		}
		return
	}
	c.offset = own
	if elapsed > confirmWait { // The VM was suspended, and messages have waited since.
		c.started = boot
		clear(c.readings)
	}
	if offset, ok := c.decide(boot, own); ok {
		c.offset, c.confirmed, c.readings = offset, true, nil
	}
}

// decide returns the reference once it can be relied on: the median of the confirmed references of
// peers or, while there are none, of the clocks of all if most agree. After maxConfirmWait the median
// of what there is has to do.
func (c *Clock) decide(boot, own time.Duration) (offset time.Duration, ok bool) {
	waited := boot - c.started
	if waited < confirmWait {
		return 0, false
	}
	var references, clocks []time.Duration
	for _, r := range c.readings {
		if boot-r.at > readingTTL {
			continue
		}
		clocks = append(clocks, r.offset)
		if r.confirmed {
			references = append(references, r.offset)
		}
	}
	if len(references) > 0 {
		return median(references), true
	}
	clocks = append(clocks, own)
	middle := median(clocks)
	agreeing := 0
	for _, offset := range clocks {
		if (offset - middle).Abs() <= agreement {
			agreeing++
		}
	}
	return middle, waited >= maxConfirmWait || len(clocks) >= 3 && 2*agreeing > len(clocks)
}

func median(of []time.Duration) time.Duration {
	slices.Sort(of)
	return of[len(of)/2]
}
