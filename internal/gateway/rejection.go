package gateway

import (
	"net"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// rejectRequest logs a request that could not be read and returns the body of the response.
func (g *Gateway) rejectRequest(remote net.Addr, status int, reason httpio.RejectReason) []byte {
	g.log.WithFields(logrus.Fields{"event": "rejected", "remote": remote, "status": status, "reason": reason}).Info("a request could not be read")
	return failure.Body(rejection(reason), "")
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
	case httpio.Malformed:
	}
	return failure.New(failure.InvalidRequest, "the request is not valid HTTP")
}
