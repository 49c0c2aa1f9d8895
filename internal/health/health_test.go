package health_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/health"
	"github.com/primrosewell/primrosewell/internal/routing"
)

var start = time.Unix(1_700_000_000, 0)

func response(slowdown float64) health.Sample {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slowdown) }
	return health.Sample{
		Result:     routing.ResultCompleted,
		FirstToken: scale(200 * time.Millisecond),
		Gap:        scale(20 * time.Millisecond),
		Elapsed:    scale(2 * time.Second),
	}
}

func failure(result routing.Result, daemon int, sent time.Time) health.Sample {
	return health.Sample{Result: result, Daemon: fmt.Sprint(daemon), Sent: sent}
}

func newPool(n int) (*health.Pool, []*health.Endpoint) {
	p := health.NewPool(health.Config{})
	out := make([]*health.Endpoint, n)
	for i := range out {
		out[i] = p.Add()
	}
	return p, out
}

// recordBaseline records enough samples of all endpoints for the pool's medians.
func recordBaseline(endpoints []*health.Endpoint) {
	for range 20 {
		for _, e := range endpoints {
			e.Observe(start, response(1))
		}
	}
}

func ejectedCount(now time.Time, endpoints []*health.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if e.State(now) != health.Healthy {
			n++
		}
	}
	return n
}

var _ = Describe("Endpoint", func() {
	It("is ejected when two daemons observe a crash, and becomes healthy after one probe", func() {
		_, all := newPool(3)
		e, now := all[0], start
		e.Observe(now, failure(routing.ResultCrashed, 1, now))
		Expect(e.State(now)).To(Equal(health.Healthy))
		e.Observe(now, failure(routing.ResultCrashed, 2, now))
		Expect(e.State(now)).To(Equal(health.Ejected))
		Expect(e.Cause()).To(Equal(health.CauseFailing))
		now = now.Add(health.DefaultFailingBackOff)
		Expect(e.MayProbe(now)).To(BeTrue())
		e.StartProbe(now)
		Expect(e.MayProbe(now)).To(BeFalse(), "one probe at a time")
		probe := response(1)
		probe.Probe = true
		e.Observe(now, probe)
		Expect(e.State(now)).To(Equal(health.Healthy))
	})

	It("is ejected immediately when it crashes under its only request", func() {
		_, all := newPool(3)
		s := failure(routing.ResultCrashed, 1, start)
		s.OnlyRequest = true
		all[0].Observe(start, s)
		Expect(all[0].State(start)).To(Equal(health.Ejected))
	})

	It("needs more failures if only one daemon observes them", func() {
		_, all := newPool(3)
		for i := range health.DefaultSingleDaemonFailureThreshold {
			Expect(all[0].State(start)).To(Equal(health.Healthy), fmt.Sprint(i))
			all[0].Observe(start, failure(routing.ResultNotStarted, 1, start))
		}
		Expect(all[0].State(start)).To(Equal(health.Ejected))
	})

	It("is not ejected by one daemon's failures between successful responses to others", func() {
		_, all := newPool(3)
		for range 50 {
			all[0].Observe(start, failure(routing.ResultNotStarted, 1, start))
			all[0].Observe(start, response(1))
		}
		Expect(all[0].State(start)).To(Equal(health.Healthy))
	})

	It("doubles the back-off when the probe fails, up to the maximum", func() {
		_, all := newPool(3)
		e, now := all[0], start
		e.Observe(now, failure(routing.ResultCrashed, 1, now))
		e.Observe(now, failure(routing.ResultCrashed, 2, now))
		wait := health.DefaultFailingBackOff
		for range 10 {
			now = now.Add(wait)
			Expect(e.MayProbe(now)).To(BeTrue())
			e.StartProbe(now)
			s := failure(routing.ResultNotStarted, 1, now)
			s.Probe = true
			e.Observe(now, s)
			wait = min(2*wait, health.DefaultMaxBackOff)
			Expect(e.State(now.Add(wait - time.Millisecond))).To(Equal(health.Ejected))
		}
	})

	It("has a longer back-off when it fails again soon after its recovery", func() {
		_, all := newPool(3)
		e, now := all[0], start
		for range 2 {
			e.Observe(now, failure(routing.ResultCrashed, 1, now))
			e.Observe(now, failure(routing.ResultCrashed, 2, now))
			now = now.Add(health.DefaultFailingBackOff)
			if e.State(now) == health.HalfOpen {
				probe := response(1)
				probe.Probe = true
				e.Observe(now, probe)
			}
		}
		Expect(e.State(now)).To(Equal(health.Ejected))
	})

	It("ignores failures of requests sent before its recovery", func() {
		_, all := newPool(3)
		e, now := all[0], start
		e.Observe(now, failure(routing.ResultCrashed, 1, now))
		e.Observe(now, failure(routing.ResultCrashed, 2, now))
		now = now.Add(health.DefaultFailingBackOff)
		probe := response(1)
		probe.Probe = true
		e.Observe(now, probe)
		for daemon := range 5 {
			e.Observe(now, failure(routing.ResultCrashed, daemon, start))
		}
		Expect(e.State(now)).To(Equal(health.Healthy))
	})

	DescribeTable("is ejected as a straggler",
		func(observe func(now time.Time, e *health.Endpoint)) {
			_, all := newPool(9)
			recordBaseline(all)
			now := start.Add(time.Minute)
			for range 40 {
				observe(now, all[0])
			}
			Expect(all[0].State(now)).To(Equal(health.Ejected))
			Expect(all[0].Cause()).To(Equal(health.CauseSlow))
			Expect(ejectedCount(now, all)).To(Equal(1))
		},
		Entry("by its responses", func(now time.Time, e *health.Endpoint) { e.Observe(now, response(10)) }),
		Entry("by the progress of a response", func(now time.Time, e *health.Endpoint) {
			e.ObserveProgress(now, false, 4*time.Second, 20)
		}),
		Entry("by requests that do not end", func(now time.Time, e *health.Endpoint) { e.ObserveRunning(now, time.Minute) }),
		Entry("by cancelled hedged attempts", func(now time.Time, e *health.Endpoint) {
			e.Observe(now, health.Sample{Result: routing.ResultCancelled, Elapsed: 2 * time.Second})
		}),
	)

	It("is not a straggler at half the speed of others, or with long prompts", func() {
		_, all := newPool(9)
		recordBaseline(all)
		for range 100 {
			all[0].Observe(start, response(2))
			long := response(1)
			long.UncachedTokens, long.FirstToken = 30_000, 8*time.Second
			all[1].Observe(start, long)
		}
		Expect(ejectedCount(start, all)).To(BeZero())
		Expect(all[0].Slowdown()).To(BeNumerically("~", 2, 0.6))
	})

	It("is not a straggler by first tokens while its gaps between tokens are normal", func() {
		_, all := newPool(9)
		recordBaseline(all)
		for range 100 {
			s := response(1)
			s.FirstToken *= 5
			all[0].Observe(start, s)
		}
		Expect(ejectedCount(start, all)).To(BeZero())
	})

	It("is a straggler by first tokens if responses have no gap samples", func() {
		_, all := newPool(9)
		observe := func(e *health.Endpoint, slowdown float64) {
			s := response(slowdown)
			s.Gap = 0
			e.Observe(start, s)
		}
		for range 20 {
			for _, e := range all {
				observe(e, 1)
			}
		}
		for range 40 {
			observe(all[0], 10)
		}
		Expect(all[0].Cause()).To(Equal(health.CauseSlow))
		Expect(ejectedCount(start, all)).To(Equal(1))
	})

	It("becomes healthy when the progress of its probe is fast, and stays ejected when it is slow", func() {
		_, all := newPool(9)
		recordBaseline(all)
		for range 40 {
			all[0].Observe(start, response(10))
		}
		now := start.Add(health.DefaultSlowBackOff)
		all[0].StartProbe(now)
		all[0].ObserveProgress(now, true, 4*time.Second, 20)
		Expect(all[0].State(now)).To(Equal(health.Ejected))
		now = now.Add(2 * health.DefaultSlowBackOff)
		all[0].StartProbe(now)
		all[0].ObserveProgress(now, true, 400*time.Millisecond, 20)
		Expect(all[0].State(now)).To(Equal(health.Healthy))
	})
})

var _ = Describe("Pool", func() {
	It("ejects no more than the maximum share of stragglers", func() {
		_, all := newPool(9)
		recordBaseline(all)
		for range 40 {
			for _, e := range all[:4] {
				e.Observe(start, response(10))
			}
		}
		Expect(ejectedCount(start, all)).To(Equal(3))
	})

	It("ejects every crashed endpoint, and probes all of them when none is healthy", func() {
		_, all := newPool(9)
		for i, e := range all {
			e.Observe(start, failure(routing.ResultCrashed, 1, start))
			e.Observe(start, failure(routing.ResultCrashed, 2, start))
			want := health.Ejected
			if i == len(all)-1 {
				want = health.HalfOpen
			}
			Expect(e.State(start)).To(Equal(want))
		}
	})

	It("does not count a removed endpoint", func() {
		p, all := newPool(4)
		for _, e := range all[:3] {
			e.Observe(start, failure(routing.ResultCrashed, 1, start))
			e.Observe(start, failure(routing.ResultCrashed, 2, start))
			p.Remove(e)
		}
		Expect(all[3].State(start)).To(Equal(health.Healthy))
		all[3].Observe(start, failure(routing.ResultCrashed, 1, start))
		all[3].Observe(start, failure(routing.ResultCrashed, 2, start))
		Expect(all[3].State(start)).To(Equal(health.HalfOpen))
	})
})

var _ = Describe("Quantile", func() {
	It("approximates the quantile and follows a change", func() {
		q := health.Quantile{Q: 0.95}
		for i := range 20_000 {
			q.Add(float64(i*7919%100 + 1))
		}
		Expect(q.Value(1)).To(BeNumerically("~", 95, 8))
		for i := range 20_000 {
			q.Add(float64(i*7919%100+1) * 10)
		}
		Expect(q.Value(1)).To(BeNumerically("~", 950, 80))
	})
})
