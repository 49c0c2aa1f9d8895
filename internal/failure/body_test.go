package failure_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/failure"
)

var _ = Describe("Body", func() {
	It("encodes code, outcome, request id and retry-after delay, without the cause", func() {
		f := failure.Wrap(errors.New("secret"), failure.Overloaded, "the queue is full").WithRetryAfter(1500 * time.Millisecond)
		Expect(failure.Body(f, "r1")).To(MatchJSON(`{"error":{"message":"the queue is full","type":"rate_limit_error",
			"code":"overloaded","outcome":"not_run","request_id":"r1","retry_after_ms":1500}}`))
	})
})
