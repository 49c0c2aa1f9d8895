package dispatch_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/standin/engine"
)

// endlessHandler sends pieces until the daemon closes the connection.
type endlessHandler struct {
	piece []byte
	pause time.Duration
}

func (h *endlessHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := w.Write(h.piece); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(h.pause)
	}
}

var _ = DescribeTable("a keyed request whose caller has left ends although its endpoint sends bytes without end",
	func(ctx SpecContext, h *endlessHandler, timeout time.Duration, bytes int) {
		f := newFixture(0, engine.Options{})
		f.broker.endpoints = append(f.broker.endpoints, serveHandler("s0", h))
		f.options.UnattendedTimeout, f.options.MaxUnattendedBytes = timeout, bytes
		callerCtx, leave := context.WithCancel(ctx)
		defer leave()
		results := make(chan dispatch.Result, 1)
		go func() {
			defer GinkgoRecover()
			results <- dispatch.New(f.options).Run(callerCtx, f.request("", plainRequest(http.MethodPost, "k1")), &callerSink{leaveAfter: 1, onWrite: leave})
		}()
		var result dispatch.Result
		Eventually(results).WithTimeout(waitTimeout).Should(Receive(&result))
		Expect(result.Outcome).To(Equal(failure.Unknown))
		resent, _ := f.run(ctx, f.request("", plainRequest(http.MethodPost, "k1")))
		Expect(resent.Failure.Code).To(Equal(failure.AlreadyRun))
		Expect(resent.Outcome).To(Equal(failure.Unknown))
	},
	Entry("at full speed", &endlessHandler{piece: make([]byte, 64<<10)}, time.Hour, 4<<20),
	Entry("slowly", &endlessHandler{piece: []byte("x"), pause: 10 * time.Millisecond}, 500*time.Millisecond, 1<<40),
)
