package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
)

var _ = DescribeTable("a request that can't be read is refused without running, and its header is not repeated",
	func(head string, status int) {
		runs := 0
		base, _ := start(func(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result {
			runs++
			return completed(ctx, r, sink)
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		fmt.Fprintf(conn, "POST /services/receiver-api/x HTTP/1.1\r\nAuthorization: Bearer %s\r\n%s", apiKey, head)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(status))
		Expect(string(body)).NotTo(ContainSubstring(apiKey))
		Expect(string(body)).To(ContainSubstring(string(failure.NotRun)))
		Expect(response.Close).To(BeTrue(), "what follows on the connection could be read as another request")
		Expect(runs).To(BeZero())
	},
	Entry("two lengths", "Host: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab", 400),
	Entry("two hosts", "Host: h\r\nHost: i\r\nContent-Length: 2\r\n\r\nab", 400),
	Entry("a length beside a transfer encoding", "Host: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
	Entry("a header that is too large", "Host: h\r\nX-Large: "+strings.Repeat("x", 64<<10)+"\r\n\r\n", 431),
)
