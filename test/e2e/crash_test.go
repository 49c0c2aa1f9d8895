package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

func (c *cluster) engineFault(i int, body map[string]any) {
	control(http.MethodPost, c.engineAddresses[i], "/control/faults", body)
}

var _ = Describe("An engine crash in the middle of an answer", func() {
	It("is resumed elsewhere: every caller has the whole of its own answer", func() {
		c := startCluster(clusterOptions{daemons: 2, engines: 3})
		c.engineFault(0, map[string]any{"crash_after_tokens": 4, "down_ms": 500, "times": 2})
		var wg sync.WaitGroup
		for n := range 30 {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("question %d", n)
				a := call(c.daemons[n%2].callers, "/v1/chat/completions", chat(prompt, true))
				Expect(a.whole()).To(BeTrue(), "%+v", a)
				Expect(text(a.body)).To(Equal(wantChat(prompt)))
				Expect(strings.Count(a.body, "[DONE]")).To(Equal(1))
			})
		}
		wg.Wait()
	})
})

var _ = Describe("A request that crashes each engine that runs it", func() {
	It("fells two engines at most, is refused on every daemon, and harms no other request", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 4})
		for i := range c.engineAddresses {
			c.engineFault(i, map[string]any{"poison_marker": "POISON", "down_ms": 300})
		}
		var wg sync.WaitGroup
		for n := range 24 {
			wg.Go(func() {
				defer GinkgoRecover()
				prompt := fmt.Sprintf("innocent %d", n)
				a := call(c.daemons[n%3].callers, "/v1/chat/completions", chat(prompt, true))
				Expect(a.whole()).To(BeTrue(), "%+v", a)
				Expect(text(a.body)).To(Equal(wantChat(prompt)))
			})
		}
		last := make([]answer, len(c.daemons))
		for i, d := range c.daemons {
			wg.Go(func() {
				for range 12 { // The caller sends it again and again.
					last[i] = call(d.callers, "/v1/chat/completions", chat("POISON", true))
				}
			})
		}
		wg.Wait()
		for _, a := range last {
			Expect(a.code).To(Equal("quarantined"), "%+v", a)
			Expect(a.outcome).To(Equal("not_run"))
		}
		fallen := 0
		for _, address := range c.engineAddresses {
			var runs []engine.Run
			read(address, "/control/runs", &runs)
			if lo.SomeBy(runs, func(r engine.Run) bool { return r.Digest == engine.Digest("user\nPOISON\n") }) {
				fallen++
			}
		}
		Expect(fallen).To(BeNumerically("<=", 2))
	})
})
