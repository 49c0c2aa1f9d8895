package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/limit"
)

var start = time.Unix(1_700_000_000, 0)

const most = 64

// engine models continuous batching: the gap grows with the batch, and work
// beyond the batch waits inside the engine.
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

// drive runs the endpoint at its limit for a while.
func drive(l *limit.Limiter, from time.Time, samples int, change func(*limit.Sample)) time.Time {
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
	It("settles near the batch that the engine can run", func() {
		l := limit.New(limit.Config{}, most)
		now := drive(l, start, 400, nil)
		Expect(l.Limit(now)).To(BeNumerically("~", 26, 4))
	})

	It("grows back when the engine can run more", func() {
		l := limit.New(limit.Config{}, most)
		now := drive(l, start, 400, nil)
		now = drive(l, now, 2000, func(s *limit.Sample) { s.FirstTokenRatio, s.FirstToken = 1, 1 })
		Expect(l.Limit(now)).To(Equal(most))
	})

	It("keeps the gap within the profile's target, but not below a quarter", func() {
		l := limit.New(limit.Config{}, most)
		now := drive(l, start, 400, func(s *limit.Sample) { s.GapTarget = 25 * time.Millisecond })
		Expect(l.Limit(now)).To(BeNumerically("~", 16, 2))
		now = drive(l, now, 400, func(s *limit.Sample) { s.GapTarget = time.Millisecond })
		Expect(l.Limit(now)).To(BeNumerically(">=", most/4-2))
	})

	It("does not shrink for one long prompt on an idle engine", func() {
		l := limit.New(limit.Config{}, most)
		l.Observe(start, limit.Sample{Sent: start, InFlight: 1, FirstToken: time.Second, FirstTokenRatio: 1, FirstTokenTarget: time.Millisecond})
		Expect(l.Limit(start)).To(Equal(most))
	})

	It("shrinks once for one congestion, however many late samples tell of it", func() {
		l := limit.New(limit.Config{}, most)
		now := start.Add(time.Second)
		for range 50 {
			l.Observe(now, limit.Sample{Sent: start, InFlight: most, FirstTokenRatio: 100})
			now = now.Add(time.Millisecond)
		}
		Expect(l.Limit(now)).To(BeNumerically("~", limit.DefaultDecrease*most, 1))
	})

	It("shrinks when reports in a row show queueing, and takes older ones for old news", func() {
		l := limit.New(limit.Config{}, most)
		now := start.Add(10 * time.Second)
		report := func(age time.Duration, waiting int) { l.ObserveReport(now, now.Add(-age), most, waiting) }
		for range 10 {
			report(0, most)
			report(0, most)
			report(0, 1)
		}
		Expect(l.Limit(now)).To(Equal(most), "what waits between two steps is no queue")
		for range limit.DefaultQueueingReports {
			report(5*time.Second, most)
		}
		once := l.Limit(now)
		Expect(once).To(BeNumerically("<", most))
		for range 10 {
			report(4*time.Second, most)
		}
		Expect(l.Limit(now)).To(Equal(once))
	})

	It("does not shrink for a slow minority", func() {
		l := limit.New(limit.Config{}, most)
		n := 0
		now := drive(l, start, 400, func(s *limit.Sample) {
			s.FirstTokenRatio = 1
			if n++; n%3 == 0 {
				s.FirstTokenRatio = 100
			}
		})
		Expect(l.Limit(now)).To(Equal(most))
	})

	It("does not grow while the limit does not bind", func() {
		l := limit.New(limit.Config{}, most)
		now := drive(l, start, 400, nil)
		before := l.Limit(now)
		for range 500 {
			l.Observe(now, limit.Sample{Sent: now, InFlight: 2, FirstTokenRatio: 1})
		}
		Expect(l.Limit(now)).To(Equal(before))
	})

	It("starts slowly and never falls under one", func() {
		l := limit.New(limit.Config{}, most)
		l.BeginSlowStart(start)
		Expect(l.Limit(start)).To(Equal(6))
		Expect(l.Starting(start)).To(BeTrue())
		Expect(l.Limit(start.Add(limit.DefaultSlowStart / 2))).To(BeNumerically("~", 35, 1))
		Expect(l.Limit(start.Add(limit.DefaultSlowStart))).To(Equal(most))
		small := limit.New(limit.Config{}, 1)
		small.BeginSlowStart(start)
		Expect(small.Limit(start)).To(Equal(1))
	})

	It("follows a change of the greatest limit", func() {
		l := limit.New(limit.Config{}, most)
		l.SetMax(8)
		Expect(l.Limit(start)).To(Equal(8))
		l.SetMax(128)
		Expect(l.Limit(start)).To(Equal(128))
	})
})
