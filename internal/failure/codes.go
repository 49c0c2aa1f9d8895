package failure

import "net/http"

// Code names a kind of failure. Codes are part of the public API.
type Code string

// Codes returned to callers.
const (
	// InvalidRequest means that the request could not be read; the message names the field.
	InvalidRequest Code = "invalid_request"
	// BodyTooLarge means that the body exceeds the configured limit.
	BodyTooLarge Code = "body_too_large"
	// HeaderTooLarge means that the request header exceeds the server's limit.
	HeaderTooLarge Code = "header_too_large"
	// Unauthenticated means that the API key or token is missing or wrong.
	Unauthenticated Code = "unauthenticated"
	// Forbidden means that the workspace may not use the profile.
	Forbidden Code = "forbidden"
	// UnknownProfile means that the configuration in force has no profile with that name.
	UnknownProfile Code = "unknown_profile"
	// UnknownModel means that no service offers the model.
	UnknownModel Code = "unknown_model"
	// UnknownService means that the configuration in force has no service with that name.
	UnknownService Code = "unknown_service"
	// KeyRequired means that a request that must not be repeated lacks an idempotency key.
	KeyRequired Code = "idempotency_key_required"
	// KeyConflict means that the idempotency key was used before with a different request body.
	KeyConflict Code = "idempotency_key_conflict"
	// AlreadyRun means that the request with this idempotency key ran before, and that its
	// response is no longer stored.
	AlreadyRun Code = "already_run"
	// InProgress means that the request with this idempotency key is still running.
	InProgress Code = "in_progress"
	// Overloaded means that the request was shed because of load, or could not meet its latency target.
	Overloaded Code = "overloaded"
	// WorkspaceLimited means that the workspace exceeded its retry budget or its share of capacity.
	WorkspaceLimited Code = "workspace_limited"
	// NoEndpoint means that no endpoint of the pool accepts requests.
	NoEndpoint Code = "no_endpoint"
	// PlatformUnavailable means that the platform's object API could not be reached.
	PlatformUnavailable Code = "platform_unavailable"
	// Draining means that the daemon is shutting down.
	Draining Code = "draining"
	// Quarantined means that the request crashed endpoints and is refused permanently.
	Quarantined Code = "quarantined"
	// Suspended means that endpoints crashed while running requests with this content, and
	// that such requests are refused for a limited time.
	Suspended Code = "suspended"
	// ClientGone means that the caller disconnected or cancelled the request.
	ClientGone Code = "client_gone"
	// EndpointFailed means that the endpoint failed after it received the request.
	EndpointFailed Code = "endpoint_failed"
	// EndpointRefused means that the endpoint responded with an error of its own.
	EndpointRefused Code = "endpoint_refused"
	// TimedOut means that the endpoint sent nothing for longer than allowed.
	TimedOut Code = "timed_out"
	// Internal means a defect in the daemon.
	Internal Code = "internal"
)

// Codes used between daemons; callers never receive them.
const (
	// PeerUnreachable means that another daemon could not be reached or stopped responding.
	PeerUnreachable Code = "peer_unreachable"
	// NotBroker means that the called daemon is not the pool's broker.
	NotBroker Code = "not_broker"
)

// Codes returned to operators.
const (
	// NotFound means that no object with that name exists.
	NotFound Code = "not_found"
	// Conflict means that the object was changed concurrently; the message names the other change.
	Conflict Code = "conflict"
	// InvalidObject means that the object failed validation; the message lists each field.
	InvalidObject Code = "invalid_object"
	// Unreachable means that the command line could not reach the daemon.
	Unreachable Code = "unreachable"
	// ResultUnknown means that the platform remained unavailable, so that the change may or may
	// not have been stored.
	ResultUnknown Code = "result_unknown"
)

var statuses = map[Code]int{
	InvalidRequest:      http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	HeaderTooLarge:      http.StatusRequestHeaderFieldsTooLarge,
	Unauthenticated:     http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	UnknownProfile:      http.StatusNotFound,
	UnknownModel:        http.StatusNotFound,
	UnknownService:      http.StatusNotFound,
	KeyRequired:         http.StatusBadRequest,
	KeyConflict:         http.StatusUnprocessableEntity,
	AlreadyRun:          http.StatusConflict,
	InProgress:          http.StatusConflict,
	Overloaded:          http.StatusTooManyRequests,
	WorkspaceLimited:    http.StatusTooManyRequests,
	NoEndpoint:          http.StatusServiceUnavailable,
	PlatformUnavailable: http.StatusServiceUnavailable,
	Draining:            http.StatusServiceUnavailable,
	Quarantined:         http.StatusUnprocessableEntity,
	Suspended:           http.StatusServiceUnavailable,
	ClientGone:          statusClientClosedRequest,
	EndpointFailed:      http.StatusBadGateway,
	EndpointRefused:     http.StatusBadGateway,
	TimedOut:            http.StatusGatewayTimeout,
	Internal:            http.StatusInternalServerError,
	NotFound:            http.StatusNotFound,
	Conflict:            http.StatusConflict,
	InvalidObject:       http.StatusUnprocessableEntity,
	Unreachable:         http.StatusBadGateway,
	ResultUnknown:       http.StatusBadGateway,
	PeerUnreachable:     http.StatusServiceUnavailable,
	NotBroker:           http.StatusServiceUnavailable,
}

// statusClientClosedRequest is the status commonly used for a request whose caller
// disconnected. It is not registered with IANA.
const statusClientClosedRequest = 499

// HTTPStatus returns the HTTP status for the code: 500 for an unknown code. There is no
// other mapping of codes to HTTP statuses.
func (c Code) HTTPStatus() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// defaultOutcome is Unknown for codes that can arise after a request, or an operator's
// change, was sent.
func (c Code) defaultOutcome() Outcome {
	switch c {
	case EndpointFailed, EndpointRefused, TimedOut, Internal, ClientGone, InProgress, ResultUnknown:
		return Unknown
	case AlreadyRun:
		return Completed
	default:
		return NotRun
	}
}
