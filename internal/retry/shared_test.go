package retry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/retry"
)

var _ = Describe("Shared", func() {
	cfg := retry.SharedBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 52, Margin: 0.8}

	It("divides the slack among the daemons", func() {
		s := retry.NewSharedBudget(cfg, 4)
		allowed := 0
		for s.Allow(time.Unix(100, 0), "svc") {
			allowed++
		}
		Expect(allowed).To(Equal(10)) // 0.8 x 52 / 4.
	})

	It("earns back what has left the window", func() {
		s := retry.NewSharedBudget(cfg, 52)
		Expect(s.Allow(time.Unix(100, 0), "svc")).To(BeFalse())
		for range 100 {
			s.RecordRequest(time.Unix(100, 0), "svc")
		}
		Expect(s.Remaining(time.Unix(100, 0), "svc")).To(BeNumerically("~", 16.8, 0.01))
		Expect(s.Allow(time.Unix(100, 0), "svc")).To(BeTrue())
		Expect(s.Allow(time.Unix(200, 0), "svc")).To(BeFalse())
	})

	It("holds the bound over all daemons in any window of any schedule", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			daemons := rapid.IntRange(1, 5).Draw(t, "daemons")
			shares := make([]*retry.SharedBudget, daemons)
			for i := range shares {
				shares[i] = retry.NewSharedBudget(cfg, daemons)
			}
			type mark struct {
				at    time.Time
				extra bool
			}
			var marks []mark
			now := time.Unix(1000, 0)
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				s := shares[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
				if rapid.Bool().Draw(t, "request") {
					s.RecordRequest(now, "svc")
					marks = append(marks, mark{at: now})
				} else if s.Allow(now, "svc") {
					marks = append(marks, mark{at: now, extra: true})
				}
			}
			for _, end := range marks {
				var extras, requests, before float64
				for _, m := range marks {
					age := end.at.Sub(m.at)
					switch {
					case age < 0:
					case age < cfg.Window && m.extra:
						extras++
					case age < cfg.Window:
						requests++
					case age < 2*cfg.Window && !m.extra:
						before++
					}
				}
				if extras > cfg.Ratio*max(requests, before)+cfg.Slack {
					t.Fatalf("%v extras in a window with %v requests and %v before", extras, requests, before)
				}
			}
		})
	})
})
