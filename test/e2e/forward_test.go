package e2e_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// metric sums the values of a metric over its tags, as a daemon's page shows them.
func (d *daemonProcess) metric(name string) float64 {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodGet, "http://"+d.admin+"/metrics", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	sum := 0.0
	for _, found := range regexp.MustCompile(`(?m)^`+name+`(?:\{[^}]*\})? (\S+)$`).FindAllStringSubmatch(string(page), -1) {
		value, err := strconv.ParseFloat(found[1], 64)
		Expect(err).NotTo(HaveOccurred())
		sum += value
	}
	return sum
}

var _ = Describe("Claims of several daemons", func() {
	It("are forwarded to the usual writer of their shard, so that writers do not contend", func() {
		c := startCluster(clusterOptions{daemons: 3, engines: 1})
		var wg sync.WaitGroup
		for n := range 60 {
			wg.Go(func() {
				defer GinkgoRecover()
				a := push(c.daemons[n%3].callers, fmt.Sprintf("push-%d", n))
				Expect(a.whole()).To(BeTrue(), "%+v", a)
			})
		}
		wg.Wait()
		Expect(c.runsByKey()).To(HaveLen(60))
		for _, d := range c.daemons {
			Eventually(func() float64 { return d.metric("primrosewell_claim_claims") }, "5s", "100ms").Should(Equal(20.0))
			Expect(d.metric("primrosewell_claim_forward_errors")).To(BeZero(), d.id)
		}
	})
})
