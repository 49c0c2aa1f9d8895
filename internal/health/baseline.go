package health

import (
	"math/bits"
	"time"
)

const (
	// promptBuckets is the number of histogram buckets for the uncached prompt length, by
	// powers of two.
	promptBuckets = 24
	// minBaselineSamples is the number of samples from which an estimate is valid.
	minBaselineSamples = 10
	// medianQuantile and hedgeQuantile are the estimated quantiles.
	medianQuantile = 0.5
	hedgeQuantile  = 0.95
)

// Baseline estimates the usual latencies of a pool. The time to the first token is also
// kept by uncached prompt length, so that a long prompt does not look like a slow
// endpoint. It is not safe for concurrent use.
type Baseline struct {
	firstTokenByPrompt [promptBuckets]Quantile
	firstToken         Quantile
	firstTokenP95      Quantile
	gap                Quantile
	elapsed            Quantile
}

func newBaseline() *Baseline {
	b := &Baseline{
		firstToken:    Quantile{Q: medianQuantile},
		firstTokenP95: Quantile{Q: hedgeQuantile},
		gap:           Quantile{Q: medianQuantile},
		elapsed:       Quantile{Q: medianQuantile},
	}
	for i := range b.firstTokenByPrompt {
		b.firstTokenByPrompt[i].Q = medianQuantile
	}
	return b
}

func promptBucket(uncachedTokens int) int {
	return min(bits.Len(uint(max(uncachedTokens, 0))), promptBuckets-1)
}

func (b *Baseline) add(s Sample) {
	b.firstTokenByPrompt[promptBucket(s.UncachedTokens)].Add(s.FirstToken.Seconds())
	b.firstToken.Add(s.FirstToken.Seconds())
	b.firstTokenP95.Add(s.FirstToken.Seconds())
	b.gap.Add(s.Gap.Seconds())
	b.elapsed.Add(s.Elapsed.Seconds())
}

// FirstToken returns the median time to the first token; zero if unknown.
func (b *Baseline) FirstToken() time.Duration { return seconds(b.firstToken.Value(minBaselineSamples)) }

// FirstTokenP95 returns the 95th percentile of the time to the first token; zero if unknown.
func (b *Baseline) FirstTokenP95() time.Duration {
	return seconds(b.firstTokenP95.Value(minBaselineSamples))
}

// Gap returns the median time between tokens; zero if unknown.
func (b *Baseline) Gap() time.Duration { return seconds(b.gap.Value(minBaselineSamples)) }

// Elapsed returns the median time of a complete response; zero if unknown.
func (b *Baseline) Elapsed() time.Duration { return seconds(b.elapsed.Value(minBaselineSamples)) }

// FirstTokenRatio returns the ratio of a time to the first token to the pool's median for
// prompts of similar length; zero if unknown.
func (b *Baseline) FirstTokenRatio(firstToken time.Duration, uncachedTokens int) float64 {
	return ratio(firstToken.Seconds(), b.firstTokenByPrompt[promptBucket(uncachedTokens)].Value(minBaselineSamples))
}

// GapRatio returns the ratio of a time between tokens to the pool's median; zero if unknown.
func (b *Baseline) GapRatio(gap time.Duration) float64 {
	return ratio(gap.Seconds(), b.gap.Value(minBaselineSamples))
}

func ratio(value, baseline float64) float64 {
	if value <= 0 || baseline <= 0 {
		return 0
	}
	return value / baseline
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
