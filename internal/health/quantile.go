package health

// Quantile estimates one quantile of a stream in constant memory. Each sample moves the
// estimate up or down by a small fraction of the estimate, so that old samples lose
// influence.
type Quantile struct {
	// Q is the quantile, between 0 and 1.
	Q        float64
	estimate float64
	samples  int
}

const (
	// coarseStep is the step for the first samples, as a fraction of the estimate.
	coarseStep = 0.3
	// fineStep is the step after the first samples, as a fraction of the estimate.
	fineStep = 0.03
	// coarseSamples is the number of first samples that use coarseStep.
	coarseSamples = 20
)

// Add records one sample; values that are not positive are ignored.
func (q *Quantile) Add(sample float64) {
	if sample <= 0 {
		return
	}
	q.samples++
	if q.samples == 1 {
		q.estimate = sample
		return
	}
	step := fineStep
	if q.samples <= coarseSamples {
		step = coarseStep
	}
	if sample > q.estimate {
		q.estimate *= 1 + step*q.Q
		return
	}
	q.estimate *= 1 - step*(1-q.Q)
}

// Value returns the estimate, or zero while there are fewer than minSamples.
func (q *Quantile) Value(minSamples int) float64 {
	if q.samples < minSamples {
		return 0
	}
	return q.estimate
}
