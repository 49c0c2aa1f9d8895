package ingress

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/memory"
)

// unknownLength tells the server that the body ends when its reader returns io.EOF.
const unknownLength = -1

// serveBuffered runs the request and sends the response in one piece.
func (s *Server) serveBuffered(c fiber.Ctx, request dispatch.Request) error {
	defer s.inFlight.Start(request.ID)()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := s.disconnects.Watch(c.RequestCtx().Conn(), cancel)
	defer stop()
	held := memory.HolderOf(c.RequestCtx().Conn())
	response := bufferedResponse{held: held}
	result := s.options.Runner.Run(ctx, request, &response)
	if result.Failure != nil {
		s.logRequest(request, result.Failure.Code.HTTPStatus(), result)
		return s.writeFailure(c, request.ID, result.Failure)
	}
	s.logRequest(request, response.head.status, result)
	s.setResponseHead(c, response.head, failure.Completed)
	held.Mark(memory.Writing)
	return c.Send(response.body.Bytes())
}

// serveStream runs the request in a goroutine, which may outlive the handler, and sends
// the response as it is produced.
func (s *Server) serveStream(c fiber.Ctx, request dispatch.Request) error {
	ctx, cancel := context.WithCancel(context.Background())
	conn := c.RequestCtx().Conn()
	response := newStreamedResponse(ctx, cancel, conn, s.options.Settings.WriteStallTimeout)
	response.endsWithClose = !c.Request().Header.IsHTTP11()
	stop := s.disconnects.Watch(conn, cancel)
	end := s.inFlight.Start(request.ID)
	go func() {
		defer end()
		defer stop()
		result := s.options.Runner.Run(ctx, request, response)
		s.logRequest(request, streamStatus(result), result)
		response.finish(result)
	}()
	return s.sendWhenStarted(c, request, response)
}

func (s *Server) sendWhenStarted(c fiber.Ctx, request dispatch.Request, response *streamedResponse) error {
	select {
	case h := <-response.started:
		s.streamBody(c, h, response)
		return nil
	case <-response.finished:
	}
	select {
	case h := <-response.started:
		s.streamBody(c, h, response)
		return nil
	default:
	}
	response.cancel()
	return s.writeFailure(c, request.ID, failureOfResult(response.result))
}

func (s *Server) streamBody(c fiber.Ctx, h responseHead, response *streamedResponse) {
	s.setResponseHead(c, h, "")
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	c.RequestCtx().SetBodyStream(response, unknownLength)
}

func (s *Server) setResponseHead(c fiber.Ctx, h responseHead, outcome failure.Outcome) {
	c.Status(h.status)
	if h.contentType != "" {
		c.Set(fiber.HeaderContentType, h.contentType)
	}
	c.Set(fiber.HeaderCacheControl, "no-store")
	if outcome != "" {
		c.Set(OutcomeHeader, string(outcome))
	}
}

// failureOfResult returns the failure of a request that ended without a response.
func failureOfResult(result dispatch.Result) *failure.Failure {
	if result.Failure != nil {
		return result.Failure
	}
	return failure.New(failure.Internal, "the request ended without an answer")
}

func streamStatus(result dispatch.Result) int {
	if result.Failure != nil && !result.ResponseStarted {
		return result.Failure.Code.HTTPStatus()
	}
	return fiber.StatusOK
}
