package ingress

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// Response headers.
const (
	// RequestIDHeader carries the request ID, which also appears in logs and errors.
	RequestIDHeader = "X-Request-Id"
	// OutcomeHeader has the value completed, not_run or unknown.
	OutcomeHeader      = "Primrosewell-Outcome"
	retryAfterHeader   = "Retry-After"
	retryAfterMSHeader = "Retry-After-Ms"
	// shouldRetryHeader is honoured by the official OpenAI client libraries.
	shouldRetryHeader = "X-Should-Retry"
)

// requestID returns the ID of the request and assigns one at the first call.
func requestID(c fiber.Ctx) string {
	const local = "request_id"
	if id, ok := c.Locals(local).(string); ok {
		return id
	}
	id := uuid.NewString()
	c.Locals(local, id)
	c.Set(RequestIDHeader, id)
	return id
}

// failureOf converts an error of the HTTP server or a handler to a failure.
func failureOf(err error) *failure.Failure {
	var httpErr *fiber.Error
	if !errors.As(err, &httpErr) {
		return failure.From(err)
	}
	switch httpErr.Code {
	case fiber.StatusRequestEntityTooLarge:
		return failure.New(failure.BodyTooLarge, "the body is larger than callers.max_body_bytes allows")
	case fiber.StatusNotFound:
		return failure.New(failure.NotFound, "no such path")
	case fiber.StatusMethodNotAllowed:
		return failure.New(failure.InvalidRequest, "the path does not take this method")
	case fiber.StatusRequestTimeout:
		return failure.New(failure.InvalidRequest, "the request was not sent within callers.read_timeout")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return failure.New(failure.HeaderTooLarge, "the header is larger than the server reads")
	default:
		// The parser's own message repeats the header, including the caller's API key.
		return failure.New(failure.InvalidRequest, "the request could not be read as HTTP/1.1")
	}
}

// refuseAmbiguousLength refuses a request with both a length and a transfer encoding,
// whose end is ambiguous (request smuggling).
func refuseAmbiguousLength(c fiber.Ctx) error {
	if httpio.AmbiguousLength(&c.RequestCtx().Request.Header) {
		c.RequestCtx().SetConnectionClose()
		return failure.New(failure.InvalidRequest, "the request states both a length and a transfer encoding")
	}
	return c.Next()
}

// writeFailure sends f as an HTTP status, headers and a JSON error body.
func (s *Server) writeFailure(c fiber.Ctx, id string, f *failure.Failure) error {
	c.Set(OutcomeHeader, string(f.Outcome))
	setRetryHeaders(c, f)
	s.options.Scope.Tagged(map[string]string{"code": string(f.Code), "outcome": string(f.Outcome)}).Counter("failures").Inc(1)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(f.Code.HTTPStatus()).Send(failure.Body(f, id))
}

func setRetryHeaders(c fiber.Ctx, f *failure.Failure) {
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		c.Set(retryAfterHeader, strconv.Itoa(seconds))
		c.Set(retryAfterMSHeader, strconv.FormatInt(int64(f.RetryAfter/time.Millisecond), 10))
	}
	if mustNotRetry(f) {
		c.Set(shouldRetryHeader, "false")
	}
}

// mustNotRetry reports whether client libraries must not retry on their own: the request
// may have run, or would be refused again.
func mustNotRetry(f *failure.Failure) bool {
	return f.Outcome != failure.NotRun && f.RetryAfter == 0 || f.Code == failure.Quarantined
}
