package estimate

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// maxTokens caps the recorded lengths; longer responses are recorded with this length.
	maxTokens = 1 << 17
	// significantFigures keeps the histogram of a series at about 2 KB.
	significantFigures = 1
	// halveAtCount is the number of observations at which all counts are halved.
	halveAtCount = 512
	// searchSteps limits the binary search for a rank to a resolution of 0.1 percent.
	searchSteps = 10
)

// series is a histogram of lengths in which old observations lose weight.
type series struct {
	histogram *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{histogram: hdrhistogram.New(1, maxTokens, significantFigures)}
}

func (s *series) count() int { return int(s.histogram.TotalCount()) }

func (s *series) observe(tokens int) {
	value := min(int64(tokens), maxTokens)
	if s.histogram.RecordValue(value) != nil {
		return // Cannot happen: the value is within the histogram's range.
	}
	if s.histogram.TotalCount() >= halveAtCount {
		s.halve()
	}
}

// halve gives all observations so far half their weight.
func (s *series) halve() {
	snapshot := s.histogram.Export()
	for i := range snapshot.Counts {
		snapshot.Counts[i] /= 2
	}
	s.histogram = hdrhistogram.Import(snapshot)
}

func (s *series) quantile(q float64) int {
	return int(s.histogram.ValueAtQuantile(100 * min(max(q, 0), 1)))
}

// remaining returns the median of the lengths above produced, minus produced.
func (s *series) remaining(produced int) int {
	if produced <= 0 {
		return s.quantile(0.5)
	}
	rank := s.rank(produced)
	return s.quantile((1+rank)/2) - produced
}

// rank returns the share of lengths that do not exceed tokens.
func (s *series) rank(tokens int) float64 {
	low, high := 0.0, 1.0
	for range searchSteps {
		middle := (low + high) / 2
		if s.quantile(middle) <= tokens {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
