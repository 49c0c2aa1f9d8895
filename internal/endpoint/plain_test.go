package endpoint_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/endpoint"
	"github.com/primrosewell/primrosewell/internal/standin/service"
)

var _ = Describe("the plain client", func() {
	var (
		client *endpoint.Client
		s      *service.Server
		e      catalog.Endpoint
	)

	BeforeEach(func() {
		client = endpoint.NewClient(endpoint.Options{})
		DeferCleanup(client.Close)
		s = service.New(service.Options{})
		e = serve(s)
	})

	do := func(ctx SpecContext, method, key string) ([]byte, error) {
		response, err := client.Do(ctx, endpoint.PlainCall{
			Endpoint: e, Method: method, Path: "/certificates", Query: "a=1", Body: []byte("joint 7"),
			RequestID: "r1", IdempotencyKey: key, SilenceTimeout: 300 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		defer response.Close()
		return io.ReadAll(response)
	}

	It("sends the method, path, query, body and idempotency key", func(ctx SpecContext) {
		data, err := do(ctx, http.MethodPut, "k1")
		Expect(err).NotTo(HaveOccurred())
		var response service.Response
		Expect(json.Unmarshal(data, &response)).To(Succeed())
		Expect(response).To(Equal(service.Response{Method: http.MethodPut, Path: "/certificates", Query: "a=1", Digest: service.Digest([]byte("joint 7"))}))
		Expect(s.RunsByKey()).To(Equal(map[string]int{"k1": 1}))
	})

	DescribeTable("classifies the failure of a call and never sends it twice",
		func(ctx SpecContext, faults service.Faults, cause endpoint.Cause) {
			_, err := do(ctx, http.MethodGet, "")
			Expect(err).NotTo(HaveOccurred())
			s.SetFaults(faults)
			_, err = do(ctx, http.MethodPost, "k1")
			Expect(causeOf(err)).To(Equal(cause))
			Expect(s.Runs()).To(HaveLen(2))
		},
		Entry("refused", service.Faults{Refuse: true}, endpoint.Refused),
		Entry("crash after the request ran", service.Faults{CrashAfterRun: true}, endpoint.ConnectionBroken),
		Entry("silent", service.Faults{Silent: true}, endpoint.TimedOut),
		Entry("truncated response", service.Faults{Half: true}, endpoint.ConnectionBroken),
	)

	DescribeTable("sends a keyed call without a body only once after others to the same endpoint",
		func(ctx SpecContext, method string) {
			for _, key := range []string{"", "k0"} {
				_, err := do(ctx, http.MethodGet, key)
				Expect(err).NotTo(HaveOccurred())
			}
			s.SetFaults(service.Faults{DropAfterRun: true, Times: 1})
			_, err := client.Do(ctx, endpoint.PlainCall{Endpoint: e, Method: method, Path: "/x", IdempotencyKey: "k2"})
			var failed *endpoint.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.MayHaveStarted()).To(BeTrue())
			Consistently(s.RunsByKey).Should(Equal(map[string]int{"k0": 1, "k2": 1}))
		},
		Entry("DELETE", http.MethodDelete),
		Entry("GET", http.MethodGet),
	)
})
