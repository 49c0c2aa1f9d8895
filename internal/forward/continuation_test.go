package forward_test

import (
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// framedStream sends data as a stream of one chunk with its end.
func framedStream(data string) script {
	return func(r *http.Request, _ string, conn net.Conn) bool {
		return streamOf(true, data)(r, "", conn)
	}
}

// answerBody returns the body that a caller gets, and whether it is complete.
func answerBody(fx *fixture, path string, fields ...string) (body string, complete bool) {
	r := fx.call(path, fields...)
	Expect(r).NotTo(BeNil())
	return readBody(r)
}

var _ = Describe("A resumable stream that does not break", func() {
	It("is forwarded unchanged, whatever its event ids are", func() {
		for _, stream := range []string{
			"id: 1\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n",
			"id: 2\ndata: a\n\nid: 1\ndata: b\n\n",
			"id: x\ndata: a\n\nid: x\ndata: b\n\n",
			"data: a\n\n: keep-alive\n\ndata: b\n\n",
			"weight-versions: 3\nid: 7\ndata: a\n\nweight-versions: 4\nid: 8\ndata: b\n\n",
			"id: 1\r\ndata: a\r\n\r\nweight-versions: 4\r\nid: 2\r\ndata: b\r\n\r\n",
		} {
			body, complete := answerBody(newFixture(spec(), newEndpoint(framedStream(stream))), "/resume/x")
			Expect(body).To(Equal(stream))
			Expect(complete).To(BeTrue())
		}
	})

	It("is forwarded unchanged if it has events before the one after which the caller resumes", func() {
		stream := event(1) + event(2) + event(3)
		body, complete := answerBody(newFixture(spec(), newEndpoint(framedStream(stream))), "/resume/x", "Last-Event-Id", "2")
		Expect(body).To(Equal(stream))
		Expect(complete).To(BeTrue())
	})
})

var _ = Describe("A stream that continues at another endpoint", func() {
	It("does not end with a part of an event that the caller already has", func() {
		body, _ := answerBody(newFixture(spec(), inTurn(2, brokenStream(event(1)+event(2)), framedStream("id: 2\ndata: e2\n"))...), "/resume/x")
		Expect(body).To(Equal(event(1) + event(2)))
	})
})
