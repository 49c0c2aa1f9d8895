package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
)

// Headers that identify the request to endpoints.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	maxErrorBytes   = 64 << 10
	maxMessageBytes = 512
	eventStream     = "text/event-stream"
)

// Call is one streaming call to a model engine.
type Call struct {
	Endpoint catalog.Endpoint
	// Path is /v1/chat/completions or /v1/completions.
	Path           string
	RequestID      string
	IdempotencyKey string
	// Body is the JSON body; it must have "stream": true.
	Body []byte
	// SilenceTimeout ends the call when the engine sends nothing for this long; zero
	// means no timeout.
	SilenceTimeout time.Duration
}

// Open sends the call and waits for the response header. Errors are *Error. When ctx
// ends, the stream fails and the connection to the engine is closed immediately.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	x := newExchange(ctx, call.Endpoint.Name, call.SilenceTimeout)
	request, err := newRequest(http.MethodPost, "http://"+call.Endpoint.Address+call.Path, call.Body)
	if err != nil {
		return nil, &Error{Cause: NotReached, Endpoint: call.Endpoint.Name, Message: "bad address", wrapped: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", eventStream)
	setIdentityHeaders(request.Header, call.RequestID, call.IdempotencyKey)
	response, err := x.roundTrip(c.calls, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer x.cancel(nil)
		defer func() { _ = response.Body.Close() }()
		return nil, x.statusError(response)
	}
	if kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); kind != eventStream {
		defer x.cancel(nil)
		_ = response.Body.Close()
		return nil, x.responseError(Malformed, "the response is not an event stream")
	}
	return newStream(x, response.Body, c.maxPreambleBytes, c.maxStreamBytes), nil
}

// newRequest returns a request without GetBody, so that the transport cannot send the
// body a second time on its own.
func newRequest(method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, url, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	return request, nil
}

// setIdentityHeaders sets the headers that identify the request to the endpoint.
func setIdentityHeaders(h http.Header, requestID, key string) {
	h.Set(RequestIDHeader, requestID)
	if key != "" {
		h.Set(IdempotencyKeyHeader, key)
	}
}

// statusError converts a response that is not a success into an error.
func (x *exchange) statusError(response *http.Response) *Error {
	stop := x.startSilenceTimer()
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	stop()
	e := x.responseError(Failed, errorMessage(data, response.Status))
	e.Status = response.StatusCode
	e.RetryAfter = retryAfter(response.Header)
	switch {
	case meansNotStarted(e.Status):
		e.Cause = Refused
	case e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError:
		e.Cause = Rejected
	}
	return e
}

// meansNotStarted reports whether the status means that the request was not started.
func meansNotStarted(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// errorMessage extracts the message from an error body, in the formats that engines
// use; status is the fallback.
func errorMessage(data []byte, status string) string {
	var body struct {
		Message string `json:"message"`
		Error   struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	message := body.Error.Message
	if message == "" {
		message = body.Message
	}
	if message == "" {
		message = status
	}
	return message[:min(len(message), maxMessageBytes)]
}
