package forward_test

import (
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/primrosewell/primrosewell/internal/standin/rawhttp"
)

// Guards against MIXED: bytes of an endpoint in trouble passed off as its response.
var _ = Describe("An endpoint whose response has a head that is none", func() {
	// send sends the bytes and closes the connection.
	send := func(wire string) script {
		return func(_ *http.Request, _ string, conn net.Conn) bool {
			_, _ = io.WriteString(conn, wire)
			return false
		}
	}
	given := []string{requestIDField + ": id-1", "Seal: s"}

	It("may have run the request, which is not sent again", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			broken := rawhttp.Broken(t, given...)
			endpoints := []*fakeEndpoint{newEndpoint(send(broken.Wire)), newEndpoint(send(broken.Wire))}
			response := newFixture(spec(), endpoints...).call(rapid.SampledFrom([]string{"/unsafe/x", "/stream/x"}).Draw(t, "path"))
			Expect(response).NotTo(BeNil(), broken.Wire)
			_, _ = readBody(response)
			Expect(response.StatusCode).To(Equal(http.StatusBadGateway), broken.Wire)
			Expect(response.Header).NotTo(HaveKey("Primrosewell-Not-Run"), broken.Wire)
			Expect(response.Header).NotTo(HaveKey("Seal"), broken.Wire)
			Expect(len(endpoints[0].received())+len(endpoints[1].received())).To(Equal(1), broken.Wire)
		})
	})

	It("does not keep a request that may run twice from another endpoint's response", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			broken := rawhttp.Broken(t, given...)
			response := newFixture(spec(), inTurn(2, send(broken.Wire), ok("whole"))...).call("/safe/x")
			Expect(response).NotTo(BeNil(), broken.Wire)
			body, complete := readBody(response)
			Expect(response.StatusCode).To(Equal(http.StatusOK), broken.Wire)
			Expect(body).To(Equal("whole"), broken.Wire)
			Expect(complete).To(BeTrue(), broken.Wire)
		})
	})
})
