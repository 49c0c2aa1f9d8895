package httpio_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/httpio"
)

var _ = Describe("A response whose connection ends", func() {
	// cut sends the bytes and closes the connection in order, without a reset.
	cut := func(response string) (string, error) {
		address, _ := scriptedEndpoint(response)
		_, body, err := call(httpio.NewDialer(), address, "CLOSE", "a")
		return body, err
	}
	whole := answer("a", "", "body")
	chunked := "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nX: y\r\n\r\n"

	DescribeTable("is complete only at its last byte",
		func(response string) {
			for end := range response {
				_, err := cut(response[:end])
				Expect(err).To(HaveOccurred(), "after %q", response[:end])
			}
			body, err := cut(response)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("body"))
		},
		Entry("with a length", whole),
		Entry("in chunks with a trailer", chunked),
		Entry("behind an informational response", "HTTP/1.1 100 Continue\r\n\r\n"+whole),
		Entry("behind a response to another request", answer("b", "", "x")+whole),
	)

	It("is complete without a length, and its connection is not reused", func() {
		body, err := cut("HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body"))
	})

	DescribeTable("or not is malformed if its length is ambiguous",
		func(fields, body string) {
			got, err := cut("HTTP/1.1 200 OK\r\nId: a\r\n" + fields + "\r\n" + body)
			Expect(err).To(HaveOccurred())
			Expect(got).To(BeEmpty())
		},
		Entry("two lengths", "Content-Length: 4\r\nContent-Length: 2\r\n", "body"),
		Entry("two lengths in one field", "Content-Length: 4, 2\r\n", "body"),
		Entry("a negative length", "Content-Length: -4\r\n", "body"),
		Entry("another encoding", "Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
		Entry("a length and chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
	)

	It("is malformed if it states chunks in HTTP/1.0, which does not have them", func() {
		got, err := cut(strings.Replace(chunked, "HTTP/1.1", "HTTP/1.0", 1))
		Expect(err).To(MatchError(httpio.ErrMalformed))
		Expect(got).To(BeEmpty())
	})
})
