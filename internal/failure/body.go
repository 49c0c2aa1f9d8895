package failure

import (
	"encoding/json"
	"net/http"
	"time"
)

// errorObject is the error object of the OpenAI HTTP API, extended by outcome, request_id
// and retry_after_ms.
type errorObject struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Code         Code    `json:"code"`
	Outcome      Outcome `json:"outcome"`
	RequestID    string  `json:"request_id"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

// Body encodes f as JSON for a caller: the body of an error response or the data of an
// error event. There is no other encoding for callers. The cause is omitted.
func Body(f *Failure, requestID string) []byte {
	body := errorBody{errorObject{
		Message:      f.Message,
		Type:         errorType(f.Code),
		Code:         f.Code,
		Outcome:      f.Outcome,
		RequestID:    requestID,
		RetryAfterMS: f.RetryAfter.Round(time.Millisecond).Milliseconds(),
	}}
	data, _ := json.Marshal(body) // Marshalling strings and integers can't fail.
	return data
}

// Error types that published OpenAI client libraries recognise.
const (
	invalidRequestType = "invalid_request_error"
	rateLimitType      = "rate_limit_error"
	serverErrorType    = "server_error"
)

// errorType derives the error type from the status of code.
func errorType(code Code) string {
	switch status := code.HTTPStatus(); {
	case status == http.StatusTooManyRequests:
		return rateLimitType
	case status < http.StatusInternalServerError:
		return invalidRequestType
	default:
		return serverErrorType
	}
}
