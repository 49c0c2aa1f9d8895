package scheduling

import (
	"math"
	"time"
)

const (
	// latencyGain is the weight of a new observation in the running mean.
	latencyGain = 0.125
	// deviationGain is the weight of a new observation in the running mean deviation.
	deviationGain = 0.25
	// plannedDeviations is the number of mean deviations by which the upper estimate
	// exceeds the mean.
	plannedDeviations = 2
	// idleDecayFactor is how many times more slowly the drain rate decays while the pool
	// is not saturated.
	idleDecayFactor = 8
	// priorSeconds is the time under saturation after which the measured drain rate
	// fully replaces the prior.
	priorSeconds = 0.5
)

// latencyEstimate is a running mean of a latency and its mean deviation, in seconds.
type latencyEstimate struct {
	mean      float64
	deviation float64
	observed  bool
}

func (l *latencyEstimate) observe(d time.Duration) {
	if d <= 0 {
		return
	}
	x := d.Seconds()
	if !l.observed {
		l.mean, l.deviation, l.observed = x, x/4, true
		return
	}
	l.deviation += deviationGain * (math.Abs(x-l.mean) - l.deviation)
	l.mean += latencyGain * (x - l.mean)
}

// upperEstimate is the mean plus a margin for variation, in seconds; 0 without
// observations.
func (l *latencyEstimate) upperEstimate() float64 { return l.mean + plannedDeviations*l.deviation }

// decayingCounter is an event count that decays exponentially.
type decayingCounter struct {
	count float64
	last  time.Time
}

func (c *decayingCounter) advance(now time.Time, window time.Duration) {
	if now.After(c.last) {
		c.count *= math.Exp(-now.Sub(c.last).Seconds() / window.Seconds())
		c.last = now
	}
}

func (c *decayingCounter) add(now time.Time, window time.Duration) {
	c.advance(now, window)
	c.count++
}

// perSecond returns the rate of events over about the last window.
func (c *decayingCounter) perSecond(now time.Time, window time.Duration) float64 {
	c.advance(now, window)
	return c.count / window.Seconds()
}

// drainMeter measures the rate at which slots are released while the pool is saturated.
type drainMeter struct {
	count   float64
	seconds float64
	last    time.Time
}

// advance adds the time since the last event; saturated is the pool's state during
// that time.
func (d *drainMeter) advance(now time.Time, saturated bool, window time.Duration) {
	dt := now.Sub(d.last).Seconds()
	if d.last.IsZero() || dt <= 0 {
		d.last = maxTime(d.last, now)
		return
	}
	d.last = now
	tau := window.Seconds()
	if !saturated {
		decay := math.Exp(-dt / (tau * idleDecayFactor))
		d.count *= decay
		d.seconds *= decay
		return
	}
	decay := math.Exp(-dt / tau)
	d.count *= decay
	d.seconds = d.seconds*decay + tau*(1-decay)
}

// perSecond returns the measured rate, blended with prior until priorSeconds of
// saturated time have been measured. It is 0 if both are unknown.
func (d *drainMeter) perSecond(prior float64) float64 {
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
