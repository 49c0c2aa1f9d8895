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

// Headers that are passed on to endpoints.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	maxErrorBytes   = 64 << 10
	maxMessageBytes = 512
	eventStream     = "text/event-stream"
)

// Call is one streamed call on a model engine.
type Call struct {
	Endpoint catalog.Endpoint
	// Path is /v1/chat/completions or /v1/completions.
	Path           string
	RequestID      string
	IdempotencyKey string
	// Body is the JSON body; it asks for a stream.
	Body []byte
	// Fresh asks for a connection of its own; see PlainCall.
	NewConnection bool
	// Silence ends the call when the engine sends nothing for so long; zero means never.
	SilenceTimeout time.Duration
}

// Open sends the call and waits for the head of the answer. Errors are *Error. The
// stream ends when ctx does, and the engine sees its connection close at once.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	x := newExchange(ctx, call.Endpoint.Name, call.SilenceTimeout)
	request, err := newRequest(http.MethodPost, "http://"+call.Endpoint.Address+call.Path, call.Body)
	if err != nil {
		return nil, &Error{Cause: NotReached, Endpoint: call.Endpoint.Name, Message: "bad address", wrapped: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", eventStream)
	setIdentity(request.Header, call.RequestID, call.IdempotencyKey)
	response, err := x.roundTrip(c.transport(call.NewConnection || call.IdempotencyKey != ""), request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer x.cancel(nil)
		defer func() { _ = response.Body.Close() }()
		return nil, x.refusal(response)
	}
	if kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); kind != eventStream {
		defer x.cancel(nil)
		_ = response.Body.Close()
		return nil, x.fail(Malformed, "the answer is no event stream")
	}
	return newStream(x, response.Body), nil
}

// transport chooses kept connections, or a new one.
func (c *Client) transport(fresh bool) *http.Transport {
	if fresh {
		return c.single
	}
	return c.pooled
}

// newRequest returns a request whose body the transport can not send a second time by
// itself: it has no GetBody.
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

// setIdentity names the request to the endpoint.
func setIdentity(h http.Header, requestID, key string) {
	h.Set(RequestIDHeader, requestID)
	if key != "" {
		h.Set(IdempotencyKeyHeader, key)
	}
}

// refusal turns an answer that is no success into an error.
func (x *exchange) refusal(response *http.Response) *Error {
	stop := x.watch()
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	stop()
	e := x.fail(Failed, errorMessage(data, response.Status))
	e.Status = response.StatusCode
	e.RetryAfter = retryAfter(response.Header)
	switch {
	case isRefusal(e.Status):
		e.Cause = Refused
	case e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError:
		e.Cause = Rejected
	}
	return e
}

// isRefusal reports whether the status says that the request was not started.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// errorMessage finds the message in an error body, in the forms that engines publish.
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
