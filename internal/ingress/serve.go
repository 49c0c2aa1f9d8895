package ingress

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// unknownLength tells the server that the body ends with its stream.
const unknownLength = -1

// serveWhole runs the request and answers in one piece.
func (s *Server) serveWhole(c fiber.Ctx, request dispatch.Request) error {
	defer s.inFlight.Start(request.ID)()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := s.presence.Watch(c.RequestCtx().Conn(), cancel)
	defer stop()
	var answer wholeAnswer
	result := s.options.Runner.Run(ctx, request, &answer)
	if result.Failure != nil {
		s.logRequest(request, result.Failure.Code.HTTPStatus(), result)
		return s.writeFailure(c, request.ID, result.Failure)
	}
	s.logRequest(request, answer.head.status, result)
	s.setHead(c, answer.head, failure.Completed)
	return c.Send(answer.body.Bytes())
}

// serveStream runs the request beside the handler and answers as the bytes come.
func (s *Server) serveStream(c fiber.Ctx, request dispatch.Request) error {
	ctx, cancel := context.WithCancel(context.Background())
	conn := c.RequestCtx().Conn()
	answer := newStreamAnswer(ctx, cancel, conn, s.options.Settings.WriteStallTimeout)
	stop := s.presence.Watch(conn, cancel)
	end := s.inFlight.Start(request.ID)
	go func() {
		defer end()
		defer stop()
		result := s.options.Runner.Run(ctx, request, answer)
		s.logRequest(request, streamStatus(result), result)
		answer.finish(result)
	}()
	return s.sendStream(c, request, answer)
}

func (s *Server) sendStream(c fiber.Ctx, request dispatch.Request, answer *streamAnswer) error {
	select {
	case h := <-answer.begun:
		s.sendBody(c, h, answer)
		return nil
	case <-answer.finished:
	}
	select {
	case h := <-answer.begun:
		s.sendBody(c, h, answer)
		return nil
	default:
	}
	answer.cancel()
	return s.writeFailure(c, request.ID, failureOfResult(answer.result))
}

func (s *Server) sendBody(c fiber.Ctx, h head, answer *streamAnswer) {
	s.setHead(c, h, "")
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	c.RequestCtx().SetBodyStream(answer, unknownLength)
}

func (s *Server) setHead(c fiber.Ctx, h head, outcome failure.Outcome) {
	c.Status(h.status)
	if h.contentType != "" {
		c.Set(fiber.HeaderContentType, h.contentType)
	}
	c.Set(fiber.HeaderCacheControl, "no-store")
	if outcome != "" {
		c.Set(OutcomeHeader, string(outcome))
	}
}

// failureOfResult is the failure of a result that sent nothing.
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
