package health

// Quantile follows one quantile of a stream in constant memory. Each sample moves
// the estimate up or down by a small share of itself, so that old samples fade.
type Quantile struct {
	// Q is the quantile, between 0 and 1.
	Q        float64
	estimate float64
	samples  int
}

const (
	// coarseStep moves the estimate during the first samples, as a share of itself.
	coarseStep = 0.3
	// fineStep moves the estimate afterwards.
	fineStep = 0.03
	// coarseSamples is the number of samples that take the coarse step.
	coarseSamples = 20
)

// Add takes in one sample; values that are not positive are ignored.
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
