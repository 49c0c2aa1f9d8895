package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// PlainCall is one call on a plain service.
type PlainCall struct {
	Endpoint catalog.Endpoint
	Method   string
	Path     string
	Query    string
	// Header is passed on, but for what belongs to one connection.
	Header         map[string]string
	Body           []byte
	RequestID      string
	IdempotencyKey string
	// Fresh asks for a connection of its own, so that a broken one says that the endpoint
	// fell while it had this call. Keyed calls always have one.
	NewConnection bool
	// Silence ends the call when the service sends nothing for so long; zero means never.
	SilenceTimeout time.Duration
}

// PlainAnswer is the answer of a plain service. It is used by one goroutine.
type PlainResponse struct {
	Status      int
	ContentType string

	x    *exchange
	body io.ReadCloser
}

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Do sends the call and waits for the head of the answer. Errors are *Error. Any status
// is an answer, but for 429 and 503 with Retry-After, by which a service says that it
// did not start.
func (c *Client) Do(ctx context.Context, call PlainCall) (*PlainResponse, error) {
	x := newExchange(ctx, call.Endpoint.Name, call.SilenceTimeout)
	target := "http://" + call.Endpoint.Address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := newRequest(call.Method, target, call.Body)
	if err != nil {
		return nil, &Error{
			Cause: Rejected, Endpoint: call.Endpoint.Name, Status: http.StatusBadRequest,
			Message: "the path or method can not be sent", wrapped: err,
		}
	}
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	for _, name := range hopHeaders {
		request.Header.Del(name)
	}
	setIdentity(request.Header, call.RequestID, call.IdempotencyKey)
	response, err := x.roundTrip(c.transport(call.NewConnection || !isSafe(call.Method) || call.IdempotencyKey != ""), request)
	if err != nil {
		return nil, err
	}
	if isRefusal(response.StatusCode) && response.Header.Get("Retry-After") != "" {
		defer x.cancel(nil)
		defer func() { _ = response.Body.Close() }()
		return nil, x.refusal(response)
	}
	return &PlainResponse{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), x: x, body: response.Body,
	}, nil
}

// isSafe reports whether the method asks for no change (RFC 9110, section 9.2.1).
func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// Read reads the body. Errors are io.EOF after the whole body, or *Error.
func (a *PlainResponse) Read(p []byte) (int, error) {
	defer a.x.watch()()
	n, err := a.body.Read(p)
	if err == nil || err == io.EOF { //nolint:errorlint // io.Reader returns it unwrapped.
		return n, err
	}
	return n, a.x.classify(err)
}

// Close ends the call.
func (a *PlainResponse) Close() {
	a.x.cancel(nil)
	_ = a.body.Close()
}
