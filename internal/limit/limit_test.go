package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/limit"
)

var start = time.Unix(1_700_000_000, 0)

const maxConcurrent = 64

// engine models continuous batching: the gap grows with the batch, and requests beyond the
// batch size wait inside the engine.
func engine(running int) limit.Sample {
	const batch = 24
	s := limit.Sample{
		InFlight:        running,
		Gap:             15*time.Millisecond + time.Duration(min(running, batch))*time.Millisecond/2,
		FirstToken:      200 * time.Millisecond,
		FirstTokenRatio: 1,
	}
	if running > batch {
		s.FirstToken *= time.Duration(running - batch)
		s.FirstTokenRatio = float64(running - batch)
	}
	return s
}

// runAtLimit observes a number of samples of an engine that runs at the limit, and returns
// the time of the last one.
func runAtLimit(l *limit.Limiter, from time.Time, samples int, change func(*limit.Sample)) time.Time {
	now := from
	for range samples {
		sent := now
		s := engine(l.Limit(now))
		if change != nil {
			change(&s)
		}
		s.Sent = sent
		now = now.Add(100 * time.Millisecond)
		l.Observe(now, s)
	}
	return now
}

var _ = Describe("Limiter", func() {
	It("converges to about the batch size of the engine", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		now := runAtLimit(l, start, 400, nil)
		Expect(l.Limit(now)).To(BeNumerically("~", 26, 4))
	})

	It("increases again when the engine can run more requests", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		now := runAtLimit(l, start, 400, nil)
		now = runAtLimit(l, now, 2000, func(s *limit.Sample) { s.FirstTokenRatio, s.FirstToken = 1, 1 })
		Expect(l.Limit(now)).To(Equal(maxConcurrent))
	})

	It("keeps the gap within the profile's target, down to a quarter of the maximum", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		now := runAtLimit(l, start, 400, func(s *limit.Sample) { s.GapTarget = 25 * time.Millisecond })
		Expect(l.Limit(now)).To(BeNumerically("~", 16, 2))
		now = runAtLimit(l, now, 400, func(s *limit.Sample) { s.GapTarget = time.Millisecond })
		Expect(l.Limit(now)).To(BeNumerically(">=", maxConcurrent/4-2))
	})

	It("does not decrease for one long prompt on an idle engine", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		l.Observe(start, limit.Sample{Sent: start, InFlight: 1, FirstToken: time.Second, FirstTokenRatio: 1, FirstTokenTarget: time.Millisecond})
		Expect(l.Limit(start)).To(Equal(maxConcurrent))
	})

	It("decreases once for one congestion, however many late samples report it", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		now := start.Add(time.Second)
		for range 50 {
			l.Observe(now, limit.Sample{Sent: start, InFlight: maxConcurrent, FirstTokenRatio: 100})
			now = now.Add(time.Millisecond)
		}
		Expect(l.Limit(now)).To(BeNumerically("~", limit.DefaultDecreaseFactor*maxConcurrent, 1))
	})

	It("decreases when reports in a row show queueing, and ignores those made before the last decrease", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		now := start.Add(10 * time.Second)
		report := func(age time.Duration, waiting int) { l.ObserveReport(now, now.Add(-age), maxConcurrent, waiting) }
		for range 10 {
			report(0, maxConcurrent)
			report(0, maxConcurrent)
			report(0, 1)
		}
		Expect(l.Limit(now)).To(Equal(maxConcurrent), "requests that wait between two steps are no queue")
		for range limit.DefaultQueueingReports {
			report(5*time.Second, maxConcurrent)
		}
		decreased := l.Limit(now)
		Expect(decreased).To(BeNumerically("<", maxConcurrent))
		for range 10 {
			report(4*time.Second, maxConcurrent)
		}
		Expect(l.Limit(now)).To(Equal(decreased))
	})

	It("does not decrease for a minority of slow samples", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		n := 0
		now := runAtLimit(l, start, 400, func(s *limit.Sample) {
			s.FirstTokenRatio = 1
			if n++; n%3 == 0 {
				s.FirstTokenRatio = 100
			}
		})
		Expect(l.Limit(now)).To(Equal(maxConcurrent))
	})

	It("does not increase while little of the limit is in use", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		now := runAtLimit(l, start, 400, nil)
		before := l.Limit(now)
		for range 500 {
			l.Observe(now, limit.Sample{Sent: now, InFlight: 2, FirstTokenRatio: 1})
		}
		Expect(l.Limit(now)).To(Equal(before))
	})

	It("applies the slow start, but not below one", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		l.BeginSlowStart(start)
		Expect(l.Limit(start)).To(Equal(6))
		Expect(l.InSlowStart(start)).To(BeTrue())
		Expect(l.Limit(start.Add(limit.DefaultSlowStart / 2))).To(BeNumerically("~", 35, 1))
		Expect(l.Limit(start.Add(limit.DefaultSlowStart))).To(Equal(maxConcurrent))
		small := limit.New(limit.Config{}, 1)
		small.BeginSlowStart(start)
		Expect(small.Limit(start)).To(Equal(1))
	})

	It("follows a change of the maximum limit", func() {
		l := limit.New(limit.Config{}, maxConcurrent)
		l.SetMax(8)
		Expect(l.Limit(start)).To(Equal(8))
		l.SetMax(128)
		Expect(l.Limit(start)).To(Equal(128))
	})
})
