package gateway

import (
	"encoding/json"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/headers"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// TestRejectionNamesTheRequest guards against a refusal that its caller can't match with a request.
func TestRejectionNamesTheRequest(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	gateway := &Gateway{options: Options{Adapter: adapter.Adapter{Headers: headers.Default()}}, tableHolder: &tableHolder{}, log: log}
	var header fasthttp.RequestHeader
	header.Set(headers.Default().RequestID, "r1")
	rejection := gateway.rejectRequest(&net.TCPAddr{}, 0, httpio.NoRoom, &header)
	g.Expect(string(rejection.Body)).To(ContainSubstring(`"request_id":"r1"`))
	g.Expect(rejection.Fields).To(Equal([]httpio.Field{{Name: headers.Default().RequestID, Value: "r1"}}))
	g.Expect(gateway.rejectRequest(&net.TCPAddr{}, 0, httpio.NoRoom, nil).Fields).To(BeEmpty())
}

func TestRejection(t *testing.T) {
	g := NewWithT(t)
	codes := map[httpio.RejectReason]failure.Code{
		httpio.HeaderTooLarge: failure.HeaderTooLarge, httpio.BodyTooLarge: failure.BodyTooLarge,
		httpio.TooSlow: failure.InvalidRequest, httpio.Malformed: failure.InvalidRequest, httpio.NoRoom: failure.Overloaded,
	}
	for reason, code := range codes {
		f := rejection(reason)
		g.Expect(f.Code).To(Equal(code))
		g.Expect(f.Outcome).To(Equal(failure.NotRun))
		g.Expect(json.Valid(failure.Body(f, ""))).To(BeTrue())
	}
}
