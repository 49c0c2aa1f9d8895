package failure

import (
	"encoding/json"
	"net/http"
	"time"
)

// errorObject is the error of the OpenAI HTTP API with the outcome beside it.
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

// Body encodes f for a caller, as the body of an answer or the data of an error
// event. It is the only such encoding. The cause is left out.
func Body(f *Failure, requestID string) []byte {
	body := errorBody{errorObject{
		Message:      f.Message,
		Type:         errorType(f.Code),
		Code:         f.Code,
		Outcome:      f.Outcome,
		RequestID:    requestID,
		RetryAfterMS: f.RetryAfter.Round(time.Millisecond).Milliseconds(),
	}}
	data, _ := json.Marshal(body) // strings and integers always encode.
	return data
}

// Types that published client libraries know.
const (
	invalidRequestType = "invalid_request_error"
	rateLimitType      = "rate_limit_error"
	serverErrorType    = "server_error"
)

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
