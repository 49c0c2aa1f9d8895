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

func answer(slowdown float64) health.Sample {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slowdown) }
	return health.Sample{
		Result:     routing.ResultCompleted,
		FirstToken: scale(200 * time.Millisecond),
		Gap:        scale(20 * time.Millisecond),
		Elapsed:    scale(2 * time.Second),
	}
}

func failing(result routing.Result, daemon int, sent time.Time) health.Sample {
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

// warm gives the pool its medians.
func warm(endpoints []*health.Endpoint) {
	for range 20 {
		for _, e := range endpoints {
			e.Observe(start, answer(1))
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
	It("is ejected when two daemons see it crash, and returns by one probe", func() {
		_, all := newPool(3)
		e, now := all[0], start
		e.Observe(now, failing(routing.ResultCrashed, 1, now))
		Expect(e.State(now)).To(Equal(health.Healthy))
		e.Observe(now, failing(routing.ResultCrashed, 2, now))
		Expect(e.State(now)).To(Equal(health.Ejected))
		Expect(e.Cause()).To(Equal(health.CauseFailing))
		now = now.Add(health.DefaultFailingBackOff)
		Expect(e.MayProbe(now)).To(BeTrue())
		e.StartProbe(now)
		Expect(e.MayProbe(now)).To(BeFalse(), "one probe at a time")
		probe := answer(1)
		probe.Probe = true
		e.Observe(now, probe)
		Expect(e.State(now)).To(Equal(health.Healthy))
	})

	It("is ejected at once by a crash with nothing else running", func() {
		_, all := newPool(3)
		s := failing(routing.ResultCrashed, 1, start)
		s.OnlyRequest = true
		all[0].Observe(start, s)
		Expect(all[0].State(start)).To(Equal(health.Ejected))
	})

	It("takes more than one daemon's word for less", func() {
		_, all := newPool(3)
		for i := range health.DefaultSingleDaemonFailureThreshold {
			Expect(all[0].State(start)).To(Equal(health.Healthy), fmt.Sprint(i))
			all[0].Observe(start, failing(routing.ResultNotStarted, 1, start))
		}
		Expect(all[0].State(start)).To(Equal(health.Ejected))
	})

	It("is not ejected by one daemon's failures among the answers of others", func() {
		_, all := newPool(3)
		for range 50 {
			all[0].Observe(start, failing(routing.ResultNotStarted, 1, start))
			all[0].Observe(start, answer(1))
		}
		Expect(all[0].State(start)).To(Equal(health.Healthy))
	})

	It("doubles the back-off when the probe fails, up to a bound", func() {
		_, all := newPool(3)
		e, now := all[0], start
		e.Observe(now, failing(routing.ResultCrashed, 1, now))
		e.Observe(now, failing(routing.ResultCrashed, 2, now))
		wait := health.DefaultFailingBackOff
		for range 10 {
			now = now.Add(wait)
			Expect(e.MayProbe(now)).To(BeTrue())
			e.StartProbe(now)
			s := failing(routing.ResultNotStarted, 1, now)
			s.Probe = true
			e.Observe(now, s)
			wait = min(2*wait, health.DefaultMaxBackOff)
			Expect(e.State(now.Add(wait - time.Millisecond))).To(Equal(health.Ejected))
		}
	})

	It("waits longer when it fails again soon after its return", func() {
		_, all := newPool(3)
		e, now := all[0], start
		for range 2 {
			e.Observe(now, failing(routing.ResultCrashed, 1, now))
			e.Observe(now, failing(routing.ResultCrashed, 2, now))
			now = now.Add(health.DefaultFailingBackOff)
			if e.State(now) == health.HalfOpen {
				probe := answer(1)
				probe.Probe = true
				e.Observe(now, probe)
			}
		}
		Expect(e.State(now)).To(Equal(health.Ejected))
	})

	It("ignores failures of requests from before its return", func() {
		_, all := newPool(3)
		e, now := all[0], start
		e.Observe(now, failing(routing.ResultCrashed, 1, now))
		e.Observe(now, failing(routing.ResultCrashed, 2, now))
		now = now.Add(health.DefaultFailingBackOff)
		probe := answer(1)
		probe.Probe = true
		e.Observe(now, probe)
		for daemon := range 5 {
			e.Observe(now, failing(routing.ResultCrashed, daemon, start))
		}
		Expect(e.State(now)).To(Equal(health.Healthy))
	})

	DescribeTable("is ejected as a straggler",
		func(show func(now time.Time, e *health.Endpoint)) {
			_, all := newPool(9)
			warm(all)
			now := start.Add(time.Minute)
			for range 40 {
				show(now, all[0])
			}
			Expect(all[0].State(now)).To(Equal(health.Ejected))
			Expect(all[0].Cause()).To(Equal(health.CauseSlow))
			Expect(ejectedCount(now, all)).To(Equal(1))
		},
		Entry("by its answers", func(now time.Time, e *health.Endpoint) { e.Observe(now, answer(10)) }),
		Entry("by the progress of an answer", func(now time.Time, e *health.Endpoint) {
			e.ObserveProgress(now, false, 4*time.Second, 20)
		}),
		Entry("by work that does not end", func(now time.Time, e *health.Endpoint) { e.ObserveRunning(now, time.Minute) }),
		Entry("by the losers of hedges", func(now time.Time, e *health.Endpoint) {
			e.Observe(now, health.Sample{Result: routing.ResultCancelled, Elapsed: 2 * time.Second})
		}),
	)

	It("is not taken for a straggler at half the speed of others, or for long prompts", func() {
		_, all := newPool(9)
		warm(all)
		for range 100 {
			all[0].Observe(start, answer(2))
			long := answer(1)
			long.UncachedTokens, long.FirstToken = 30_000, 8*time.Second
			all[1].Observe(start, long)
		}
		Expect(ejectedCount(start, all)).To(BeZero())
		Expect(all[0].Slowdown()).To(BeNumerically("~", 2, 0.6))
	})

	It("is not taken for a straggler by first tokens alone while its gaps are usual", func() {
		_, all := newPool(9)
		warm(all)
		for range 100 {
			s := answer(1)
			s.FirstToken *= 5
			all[0].Observe(start, s)
		}
		Expect(ejectedCount(start, all)).To(BeZero())
	})

	It("is taken for a straggler by first tokens where answers have no gaps", func() {
		_, all := newPool(9)
		show := func(e *health.Endpoint, slowdown float64) {
			s := answer(slowdown)
			s.Gap = 0
			e.Observe(start, s)
		}
		for range 20 {
			for _, e := range all {
				show(e, 1)
			}
		}
		for range 40 {
			show(all[0], 10)
		}
		Expect(all[0].Cause()).To(Equal(health.CauseSlow))
		Expect(ejectedCount(start, all)).To(Equal(1))
	})

	It("returns when the progress of its probe is fast, and stays out when it is slow", func() {
		_, all := newPool(9)
		warm(all)
		for range 40 {
			all[0].Observe(start, answer(10))
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
	It("ejects no more than its share of stragglers", func() {
		_, all := newPool(9)
		warm(all)
		for range 40 {
			for _, e := range all[:4] {
				e.Observe(start, answer(10))
			}
		}
		Expect(ejectedCount(start, all)).To(Equal(3))
	})

	It("ejects every crashed endpoint, and probes them all when none is left", func() {
		_, all := newPool(9)
		for i, e := range all {
			e.Observe(start, failing(routing.ResultCrashed, 1, start))
			e.Observe(start, failing(routing.ResultCrashed, 2, start))
			want := health.Ejected
			if i == len(all)-1 {
				want = health.HalfOpen
			}
			Expect(e.State(start)).To(Equal(want))
		}
	})

	It("forgets an endpoint that was removed", func() {
		p, all := newPool(4)
		for _, e := range all[:3] {
			e.Observe(start, failing(routing.ResultCrashed, 1, start))
			e.Observe(start, failing(routing.ResultCrashed, 2, start))
			p.Remove(e)
		}
		Expect(all[3].State(start)).To(Equal(health.Healthy))
		all[3].Observe(start, failing(routing.ResultCrashed, 1, start))
		all[3].Observe(start, failing(routing.ResultCrashed, 2, start))
		Expect(all[3].State(start)).To(Equal(health.HalfOpen))
	})
})

var _ = Describe("Quantile", func() {
	It("comes near the quantile and follows a change", func() {
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
