package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// wantChat is the whole answer of the stand-in engine to a prompt.
func wantChat(prompt string) string {
	return engine.Options{MinTokens: 8, MaxTokens: 64}.ChatResponse([]engine.Message{{Role: "user", Content: prompt}}, 0)
}

// load keeps callers busy on addresses until stop is called, and returns every answer.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	got  []loadAnswer
}

type loadAnswer struct {
	answer
	prompt  string
	address string
}

func startLoad(callers int, addresses func() []string) *load {
	l := &load{stop: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() { l.run(i, addresses) })
	}
	return l
}

func (l *load) run(caller int, addresses func() []string) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		all := addresses()
		address := all[(caller+n)%len(all)]
		prompt := fmt.Sprintf("caller %d asks %d", caller, n)
		a := call(address, "/v1/chat/completions", chat(prompt, n%2 == 0))
		l.mu.Lock()
		l.got = append(l.got, loadAnswer{a, prompt, address})
		l.mu.Unlock()
	}
}

func (l *load) finish() []loadAnswer {
	close(l.stop)
	l.wg.Wait()
	return l.got
}

// text extracts the answer's words from a whole or a streamed answer.
func text(body string) string {
	if !strings.HasPrefix(body, "data:") {
		return between(body, `"content":"`)
	}
	var out strings.Builder
	for _, line := range strings.Split(body, "\n") {
		out.WriteString(between(line, `"content":"`))
	}
	return out.String()
}

func between(s, open string) string {
	_, rest, ok := strings.Cut(s, open)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

var _ = Describe("A graceful shutdown", func() {
	It("cuts off nothing: under load, SIGTERM to the daemon of three that brokers the pool", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 3})
		var mu sync.Mutex
		draining := ""
		addresses := func() []string {
			mu.Lock()
			defer mu.Unlock()
			var out []string
			for _, d := range c.daemons {
				if d.callers != draining {
					out = append(out, d.callers)
				}
			}
			return out
		}
		callers := startLoad(24, addresses)
		time.Sleep(time.Second)
		victim := c.brokerOf("bulletin-llm")
		victim.signal(syscall.SIGTERM)
		// The balancer sees the failed readiness check, then sends no more.
		Eventually(func() int { return statusOf("http://" + victim.callers + "/readyz") }, startTimeout, "5ms").ShouldNot(Equal(http.StatusOK))
		mu.Lock()
		draining = victim.callers
		mu.Unlock()
		Eventually(victim.session, startTimeout).Should(gexec.Exit(0))
		time.Sleep(time.Second)
		got := callers.finish()
		Expect(len(got)).To(BeNumerically(">", 50))
		for _, a := range got {
			Expect(a.whole()).To(BeTrue(), "%s via %s: %+v", a.prompt, a.address, a.answer)
			Expect(text(a.body)).To(Equal(wantChat(a.prompt)))
		}
		Expect(c.brokerOf("bulletin-llm").id).NotTo(Equal(victim.id))
	})

	It("is cut short by a second signal, which says what it cut", func() {
		c := startCluster(clusterOptions{daemons: 1, engines: 1, engineArgs: []string{"-step", "200ms", "-min-tokens", "40"}})
		d := c.daemons[0]
		done := make(chan answer, 1)
		go func() { done <- call(d.callers, "/v1/chat/completions", chat("a long one", true)) }()
		Eventually(func() int {
			status, err := d.client().Status(ctx())
			if err != nil {
				return 0
			}
			return status.InFlight
		}, startTimeout, "20ms").Should(Equal(1))
		d.signal(syscall.SIGTERM)
		Eventually(d.log, startTimeout).Should(gbytes.Say("event=drain"))
		d.signal(syscall.SIGTERM)
		Eventually(d.session, startTimeout).Should(gexec.Exit(1))
		Expect(d.log).To(gbytes.Say("event=forced_exit"))
		Eventually(done, startTimeout).Should(Receive(WithTransform(answer.whole, BeFalse())))
	})
})
