package endpoint

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/eventstream"
)

// PlainCall is one call to a plain service.
type PlainCall struct {
	Endpoint catalog.Endpoint
	Method   string
	Path     string
	Query    string
	// Header is forwarded except for hop-by-hop headers.
	Header         map[string]string
	Body           []byte
	RequestID      string
	IdempotencyKey string
	// SilenceTimeout ends the call when the service sends nothing for this long; zero
	// means no timeout.
	SilenceTimeout time.Duration
}

// PlainResponse is the response of a plain service. It must be used by one goroutine
// at a time.
type PlainResponse struct {
	Status      int
	ContentType string

	exchange *exchange
	body     io.ReadCloser
	// events is the position in an event stream, or nil for other responses.
	events *eventstream.Position
	// selfDelimited is set if the framing states where the body ends; otherwise its connection does.
	selfDelimited bool
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// Do sends the call and waits for the response header. Errors are *Error. Any status is
// a response, except 429 and 503 with Retry-After, which mean that the service did not
// start the request.
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
	for _, name := range hopByHopHeaders {
		request.Header.Del(name)
	}
	setIdentityHeaders(request.Header, call.RequestID, call.IdempotencyKey)
	response, err := x.roundTrip(c.calls, request)
	if err != nil {
		return nil, err
	}
	if meansNotStarted(response.StatusCode) && response.Header.Get("Retry-After") != "" {
		defer x.cancel(nil)
		defer func() { _ = response.Body.Close() }()
		return nil, x.statusError(response)
	}
	plain := &PlainResponse{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), exchange: x, body: response.Body,
		selfDelimited: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
	}
	if eventstream.IsContentType(plain.ContentType) && call.Method != http.MethodHead {
		plain.events = &eventstream.Position{}
	}
	return plain, nil
}

// Read reads the body. Errors are io.EOF after the complete body, or *Error. An event stream that
// ends within an event is not complete, whatever its framing says.
func (r *PlainResponse) Read(p []byte) (int, error) {
	defer r.exchange.startSilenceTimer()()
	n, err := r.body.Read(p)
	if r.events != nil {
		r.events.Push(p[:n])
	}
	switch {
	case err == nil:
		return n, nil
	case err != io.EOF: //nolint:errorlint // io.Reader returns it unwrapped.
		return n, r.exchange.classify(err)
	}
	if r.events != nil {
		if endErr := r.events.CheckEnd(r.selfDelimited); endErr != nil {
			return n, r.exchange.responseError(ConnectionBroken, endErr.Error())
		}
	}
	return n, io.EOF
}

// Close cancels the call and closes the body.
func (r *PlainResponse) Close() {
	r.exchange.cancel(nil)
	_ = r.body.Close()
}
