package gateway

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// rejectedRetryAfter is when a caller may send a request again that exceeds the limits before the first
// table, or for which there is no room: other gateways mostly have one, or room.
const rejectedRetryAfter = 200 * time.Millisecond

// rejectRequest logs a request that could not be read and returns the response, which names the request if
// its header was read.
func (g *Gateway) rejectRequest(remote net.Addr, status int, reason httpio.RejectReason, header *fasthttp.RequestHeader) httpio.Rejection {
	f := rejection(reason)
	if reason == httpio.NoRoom {
		status = f.Code.HTTPStatus()
	}
	if reason == httpio.TooSlow && g.draining.Load() {
		f = failure.New(failure.Draining, "the gateway stops, and the request has not arrived").WithRetryAfter(rejectedRetryAfter)
		status = f.Code.HTTPStatus()
	}
	if g.tableHolder.Table() == nil && (reason == httpio.HeaderTooLarge || reason == httpio.BodyTooLarge) {
		// The table that is to come may allow it.
		f = failure.New(failure.PlatformUnavailable, "no configuration yet, and "+f.Message).WithRetryAfter(rejectedRetryAfter)
		status = f.Code.HTTPStatus()
	}
	id := ""
	var fields []httpio.Field
	if idField := g.options.Adapter.Headers.RequestID; header != nil && len(header.Peek(idField)) > 0 {
		id = string(header.Peek(idField))
		fields = []httpio.Field{{Name: idField, Value: id}}
	}
	g.logRejection(remote, logrus.Fields{"status": status, "reason": reason, "request_id": id, "table_version": g.tableHolder.Version()})
	return httpio.Rejection{Status: status, RetryAfter: f.RetryAfter, Fields: fields, Body: failure.Body(f, id)}
}

// rejection returns the failure that the caller of a rejected request is told. The request
// has not run.
func rejection(reason httpio.RejectReason) *failure.Failure {
	switch reason {
	case httpio.HeaderTooLarge:
		return failure.New(failure.HeaderTooLarge, "the request header is too large")
	case httpio.BodyTooLarge:
		return failure.New(failure.BodyTooLarge, "the request body is too large")
	case httpio.TooSlow:
		return failure.New(failure.InvalidRequest, "the request did not arrive in time")
	case httpio.NoRoom:
		return failure.New(failure.Overloaded, "the gateway holds too much for other callers").WithRetryAfter(rejectedRetryAfter)
	case httpio.Malformed:
	}
	return failure.New(failure.InvalidRequest, "the request is not valid HTTP")
}
