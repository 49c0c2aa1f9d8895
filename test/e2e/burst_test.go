package e2e_test

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

var decisionLine = regexp.MustCompile(`.*event=decision.*`)

// decision is a line of the decision log.
type decision struct {
	kind   string
	tier   int
	reason string
	alone  bool
}

func (d *daemonProcess) decisions() []decision {
	field := func(line, name string) string {
		found := regexp.MustCompile(` ` + name + `=(\S+)`).FindStringSubmatch(line)
		if found == nil {
			return ""
		}
		return found[1]
	}
	lines := decisionLine.FindAllString(string(d.log.Contents()), -1)
	return lo.Map(lines, func(line string, _ int) decision {
		tier, _ := strconv.Atoi(field(line, "tier"))
		return decision{kind: field(line, "decision"), tier: tier, reason: field(line, "reason"), alone: field(line, "alone") == "true"}
	})
}

var _ = Describe("A burst of a low tier over three daemons", func() {
	It("sheds no request of the top tier, starves no class, and survives the loss of the deciding daemon", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 2, engineArgs: []string{"-step", "4ms", "-batch", "8", "-min-tokens", "20", "-max-tokens", "21"}})
		for i, address := range c.engineAddresses {
			name := fmt.Sprintf("engine-%d", i)
			c.mustApply("endpoint", name, map[string]any{"name": name, "service": "bulletin-llm", "address": address, "data_centre": "dc-1", "max_concurrent": 8})
		}
		alive := func() []string {
			return lo.FilterMap(c.daemons, func(d *daemonProcess, _ int) (string, bool) { return d.callers, d.session.ExitCode() == -1 })
		}
		var mu sync.Mutex
		got := map[string][]answer{}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		caller := func(n int, profile string) {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				addresses := alive()
				a := call(addresses[(n+k)%len(addresses)], "/v1/chat/completions", chat(fmt.Sprintf("%s %d %d", profile, n, k), false), "Primrosewell-Profile", profile)
				mu.Lock()
				got[profile] = append(got[profile], a)
				mu.Unlock()
			}
		}
		for n := range 48 { // Three times the 16 slots.
			wg.Go(func() { caller(n, "draft") })
		}
		for n := range 4 {
			wg.Go(func() { caller(n, "pilot") })
		}
		time.Sleep(2 * time.Second)
		broker := c.brokerOf("bulletin-llm")
		broker.session.Kill().Wait(startTimeout)
		time.Sleep(3 * time.Second)
		close(stop)
		wg.Wait()

		for _, a := range got["pilot"] {
			// A request on the killed daemon itself may be cut; none is refused.
			Expect(a.whole() || a.err != nil).To(BeTrue(), "%+v", a)
		}
		Expect(lo.CountBy(got["draft"], answer.whole)).To(BeNumerically(">", 0))
		for _, d := range c.daemons {
			for _, made := range d.decisions() {
				shed := made.kind == "refused" && made.tier == 1 && made.reason != "cancelled" && made.reason != "daemon_gone"
				Expect(shed).To(BeFalse(), "%s refused the top tier: %+v", d.id, made)
			}
		}
	})
})
