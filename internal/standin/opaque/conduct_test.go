package opaque_test

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/standin/opaque"
)

var _ = Describe("Conduct of an endpoint", func() {
	respond := func(c opaque.Conduct, target string) (response *httptest.ResponseRecorder, runs, notices int) {
		names := headers.Default()
		endpoint := opaque.Endpoint{
			ID: "e0", Names: names, Conduct: func(string) opaque.Conduct { return c },
			OnRun: func(string, string) { runs++ }, OnRespond: func(string, opaque.Conduct) { notices++ },
		}
		r := httptest.NewRequest(http.MethodGet, "/i/1", nil)
		r.Header.Set(names.Endpoint, target)
		response = httptest.NewRecorder()
		endpoint.ServeHTTP(response, r)
		return response, runs, notices
	}

	DescribeTable("shows in its responses", func(c opaque.Conduct, status int, runs int, field, value string) {
		response, ran, notices := respond(c, "e0")
		Expect(response.Code).To(Equal(status))
		Expect(response.Header().Get(field)).To(Equal(value))
		Expect(ran).To(Equal(runs))
		Expect(notices).To(Equal(1))
	},
		Entry("that it leaves, in a success", opaque.Conduct{Leaving: true}, 200, 1, "Primrosewell-Leaving", "1"),
		Entry("that it leaves, in a failure", opaque.Conduct{Leaving: true, Fail: true}, 500, 1, "Primrosewell-Leaving", "1"),
		Entry("that it leaves, in a refusal", opaque.Conduct{Leaving: true, Refuse: true}, 503, 0, "Primrosewell-Leaving", "1"),
		Entry("that the request did not run", opaque.Conduct{Refuse: true}, 503, 0, "Primrosewell-Not-Run", "1"),
		Entry("how long it wants none", opaque.Conduct{Refuse: true, RetryAfter: "1.5"}, 503, 0, "Retry-After", "1.5"),
	)

	It("doesn't show in responses to requests for another endpoint", func() {
		response, runs, notices := respond(opaque.Conduct{Leaving: true}, "e1")
		Expect(response.Code).To(Equal(421))
		Expect(runs + notices).To(BeZero())
	})
})
