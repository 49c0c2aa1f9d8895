package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

var _ = Describe("A gateway without a table", func() {
	send := func(d *daemon, port, headerBytes, bodyBytes int) *http.Response {
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/x/1", d.ip, port), strings.NewReader(strings.Repeat("b", bodyBytes)))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Padding", strings.Repeat("x", headerBytes))
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		return response
	}

	// Guards against DENIED: requests over the default limits got 431 or 413 before the first table, which
	// may allow them.
	It("says that a request which exceeds the default limits has not run and may come again", func() {
		p := freePorts()
		d := start(p, "127.0.0.1", "http://127.0.0.1:1")
		Eventually(func() int {
			code, _ := d.get(p.callers, "/x/1", "k")
			return code
		}, eventualTimeout).Should(Equal(503))
		for _, r := range []*http.Response{send(d, p.callers, 2*routetable.DefaultHeaderBytes, 1), send(d, p.callers, 1, routetable.DefaultBodyBytes+1)} {
			Expect(r.StatusCode).To(Equal(503))
			retryAfter, err := time.ParseDuration(r.Header.Get("Retry-After") + "s")
			Expect(err).NotTo(HaveOccurred())
			Expect(retryAfter).To(BeNumerically(">", 0))
		}
	})

	It("refuses them for good once a table has these limits", func() {
		_, p, d := startServing()
		Expect(send(d, p.callers, 2*routetable.DefaultHeaderBytes, 1).StatusCode).To(Equal(431))
		Expect(send(d, p.callers, 1, routetable.DefaultBodyBytes+1).StatusCode).To(Equal(413))
	})
})
