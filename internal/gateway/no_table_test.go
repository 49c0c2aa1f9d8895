package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

var _ = Describe("A gateway without a table", func() {
	// send sends a request, of its body the beginning only: the gateway decides by the header.
	send := func(d *daemon, port, headerBytes, bodyBytes int) *http.Response {
		conn, err := net.Dial("tcp4", net.JoinHostPort(d.ip, strconv.Itoa(port)))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(eventualTimeout))).To(Succeed())
		_, err = fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nPadding: %s\r\n\r\nb", bodyBytes, strings.Repeat("x", headerBytes))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
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
