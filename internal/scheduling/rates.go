package scheduling

import (
	"math"
	"time"
)

const (
	// latencyGain weighs a new observation in a running mean.
	latencyGain = 0.125
	// deviationGain weighs a new observation in a running mean deviation.
	deviationGain = 0.25
	// deviations is how many mean deviations above the mean are planned for.
	deviations = 2
	// idleDecay is how much more slowly the drain rate fades while the pool has free slots.
	idleDecay = 8
	// priorSeconds is the saturated time after which the measured rate replaces the prior.
	priorSeconds = 0.5
)

// latency is a running mean with its mean deviation, in seconds.
type latency struct {
	mean      float64
	deviation float64
	seen      bool
}

func (l *latency) observe(d time.Duration) {
	if d <= 0 {
		return
	}
	x := d.Seconds()
	if !l.seen {
		l.mean, l.deviation, l.seen = x, x/4, true
		return
	}
	l.deviation += deviationGain * (math.Abs(x-l.mean) - l.deviation)
	l.mean += latencyGain * (x - l.mean)
}

// planned is the latency to plan for, in seconds; zero if nothing was seen.
func (l *latency) planned() float64 { return l.mean + deviations*l.deviation }

// counter is an event count that fades exponentially.
type counter struct {
	count float64
	last  time.Time
}

func (c *counter) advance(now time.Time, window time.Duration) {
	if now.After(c.last) {
		c.count *= math.Exp(-now.Sub(c.last).Seconds() / window.Seconds())
		c.last = now
	}
}

func (c *counter) add(now time.Time, window time.Duration) {
	c.advance(now, window)
	c.count++
}

// perSecond is the rate over about the last window.
func (c *counter) perSecond(now time.Time, window time.Duration) float64 {
	c.advance(now, window)
	return c.count / window.Seconds()
}

// drain measures how fast slots come free while all of them are taken.
type drain struct {
	count   float64
	seconds float64
	last    time.Time
}

// advance passes the time since the last event, in which the pool was saturated or not.
func (d *drain) advance(now time.Time, saturated bool, window time.Duration) {
	dt := now.Sub(d.last).Seconds()
	if d.last.IsZero() || dt <= 0 {
		d.last = maxTime(d.last, now)
		return
	}
	d.last = now
	tau := window.Seconds()
	if !saturated {
		fade := math.Exp(-dt / (tau * idleDecay))
		d.count *= fade
		d.seconds *= fade
		return
	}
	fade := math.Exp(-dt / tau)
	d.count *= fade
	d.seconds = d.seconds*fade + tau*(1-fade)
}

// perSecond blends the measured rate with prior while little was measured.
func (d *drain) perSecond(prior float64) float64 {
	priorWeight := max(0, priorSeconds-d.seconds)
	if prior <= 0 {
		priorWeight = 0
	}
	if d.seconds+priorWeight <= 0 {
		return 0
	}
	return (d.count + prior*priorWeight) / (d.seconds + priorWeight)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
