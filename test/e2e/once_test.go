package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/standin/service"
)

// push sends a keyed call to a daemon.
func push(address, key string) answer {
	return call(address, "/services/receiver-api/corrections", "correction "+key, "Idempotency-Key", key)
}

// runsByKey counts the runs of each key at the plain service.
func (c *cluster) runsByKey() map[string]int {
	started := lo.Filter(c.serviceRuns(), func(r service.Run, _ int) bool { return !r.Refused })
	return lo.CountValuesBy(started, func(r service.Run) string { return r.IdempotencyKey })
}

// checkOnce holds what callers were told against what the service ran.
func checkOnce(runs map[string]int, answers map[string][]answer) {
	GinkgoHelper()
	for key, n := range runs {
		Expect(n).To(Equal(1), "%s ran %d times", key, n)
	}
	for key, all := range answers {
		ran := runs[key] > 0
		for _, a := range all {
			if a.whole() {
				Expect(ran).To(BeTrue(), "%s: told completed, never ran", key)
			}
		}
		if ran {
			someTold := lo.SomeBy(all, func(a answer) bool { return a.outcome != "not_run" })
			Expect(someTold).To(BeTrue(), "%s ran, yet every answer said not_run: %+v", key, all)
		}
	}
}

var _ = Describe("Work that may not be repeated", func() {
	It("runs once though it is sent to three daemons at the same moment", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 1})
		answers := map[string][]answer{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n := range 20 {
			key := fmt.Sprintf("push-%d", n)
			for _, d := range c.daemons {
				wg.Go(func() {
					a := push(d.callers, key)
					mu.Lock()
					defer mu.Unlock()
					answers[key] = append(answers[key], a)
				})
			}
		}
		wg.Wait()
		runs := c.runsByKey()
		Expect(runs).To(HaveLen(20))
		checkOnce(runs, answers)
	})

	It("runs once through kills, a freeze, an outage of the platform and lost replies", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 1})
		answers := map[string][]answer{}
		var mu sync.Mutex
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for caller := range 12 {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					key := fmt.Sprintf("push-%d-%d", caller, n)
					for try := range 3 { // The caller sends it again, to another daemon.
						a := push(c.daemons[(caller+n+try)%3].callers, key)
						mu.Lock()
						answers[key] = append(answers[key], a)
						mu.Unlock()
						if a.whole() {
							break
						}
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
		fault := func(body map[string]any) { control(http.MethodPost, c.platformAddress, "/control/faults", body) }
		time.Sleep(500 * time.Millisecond)
		c.daemons[0].signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		fault(map[string]any{"lose_reply_probability": 0.3})
		c.daemons[0].signal(syscall.SIGCONT)
		time.Sleep(time.Second)
		fault(map[string]any{"outage": "refuse"})
		time.Sleep(time.Second)
		c.daemons[1].session.Kill().Wait(startTimeout)
		fault(map[string]any{})
		c.daemons[1].start()
		c.daemons[1].waitReady()
		time.Sleep(1500 * time.Millisecond)
		close(stop)
		wg.Wait()
		runs := c.runsByKey()
		Expect(len(runs)).To(BeNumerically(">", 20))
		checkOnce(runs, answers)
	})

	It("is told not_run at once while the platform is down, and runs when it is back", func() {
		c := startCluster(clusterOptions{daemons: 1, engines: 1})
		control(http.MethodPost, c.platformAddress, "/control/faults", map[string]any{"outage": "refuse"})
		a := push(c.daemons[0].callers, "push-1")
		Expect(a.outcome).To(Equal("not_run"))
		Expect(a.code).To(Equal("platform_unavailable"))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(c.serviceRuns()).To(BeEmpty())
		control(http.MethodPost, c.platformAddress, "/control/faults", map[string]any{})
		Eventually(func() bool { return push(c.daemons[0].callers, "push-1").whole() }, startTimeout, "100ms").Should(BeTrue())
		Expect(c.runsByKey()).To(Equal(map[string]int{"push-1": 1}))
	})
})
