package health

import (
	"math/bits"
	"time"
)

const (
	// promptBuckets is the number of classes of uncached prompt length, by powers of two.
	promptBuckets = 24
	// minTypical is the number of samples before the pool's medians are used.
	minTypical = 10
	// medianQ and hedgeQ are the quantiles that are followed.
	medianQ = 0.5
	hedgeQ  = 0.95
)

// Typical follows what is usual in a pool. First tokens are followed by the
// length of the uncached prompt, so that a long prompt does not look like a slow
// endpoint. It is not safe for concurrent use.
type Typical struct {
	firstTokenByPrompt [promptBuckets]Quantile
	firstToken         Quantile
	firstTokenHigh     Quantile
	gap                Quantile
	elapsed            Quantile
}

func newTypical() *Typical {
	t := &Typical{
		firstToken:     Quantile{Q: medianQ},
		firstTokenHigh: Quantile{Q: hedgeQ},
		gap:            Quantile{Q: medianQ},
		elapsed:        Quantile{Q: medianQ},
	}
	for i := range t.firstTokenByPrompt {
		t.firstTokenByPrompt[i].Q = medianQ
	}
	return t
}

func promptBucket(uncachedTokens int) int {
	return min(bits.Len(uint(max(uncachedTokens, 0))), promptBuckets-1)
}

func (t *Typical) add(s Sample) {
	t.firstTokenByPrompt[promptBucket(s.UncachedTokens)].Add(s.FirstToken.Seconds())
	t.firstToken.Add(s.FirstToken.Seconds())
	t.firstTokenHigh.Add(s.FirstToken.Seconds())
	t.gap.Add(s.Gap.Seconds())
	t.elapsed.Add(s.Elapsed.Seconds())
}

// FirstToken is the median time to the first token; zero if unknown.
func (t *Typical) FirstToken() time.Duration { return seconds(t.firstToken.Value(minTypical)) }

// FirstTokenHigh is the time within which 95 in 100 first tokens come; zero if unknown.
func (t *Typical) FirstTokenHigh() time.Duration { return seconds(t.firstTokenHigh.Value(minTypical)) }

// Gap is the median gap between tokens; zero if unknown.
func (t *Typical) Gap() time.Duration { return seconds(t.gap.Value(minTypical)) }

// Elapsed is the median time of a whole answer; zero if unknown.
func (t *Typical) Elapsed() time.Duration { return seconds(t.elapsed.Value(minTypical)) }

// FirstTokenRatio compares a sample with the pool's median for such a prompt; zero if unknown.
func (t *Typical) FirstTokenRatio(firstToken time.Duration, uncachedTokens int) float64 {
	return ratio(firstToken.Seconds(), t.firstTokenByPrompt[promptBucket(uncachedTokens)].Value(minTypical))
}

// GapRatio compares a gap between tokens with the pool's median; zero if unknown.
func (t *Typical) GapRatio(gap time.Duration) float64 {
	return ratio(gap.Seconds(), t.gap.Value(minTypical))
}

func ratio(value, typical float64) float64 {
	if value <= 0 || typical <= 0 {
		return 0
	}
	return value / typical
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
