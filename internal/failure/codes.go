package failure

import "net/http"

// Code names a kind of failure. Codes are part of the public API.
type Code string

// Codes of requests by callers.
const (
	// InvalidRequest means that the request could not be read; the message names the field.
	InvalidRequest Code = "invalid_request"
	// BodyTooLarge means that the body exceeds the configured limit.
	BodyTooLarge Code = "body_too_large"
	// HeaderTooLarge means that the header exceeds what the server reads.
	HeaderTooLarge Code = "header_too_large"
	// Unauthenticated means that the API key or token is missing or wrong.
	Unauthenticated Code = "unauthenticated"
	// Forbidden means that the workspace may not use the profile.
	Forbidden Code = "forbidden"
	// UnknownProfile means that no profile of that name is in force.
	UnknownProfile Code = "unknown_profile"
	// UnknownModel means that no service offers the model.
	UnknownModel Code = "unknown_model"
	// UnknownService means that no service of that name is in force.
	UnknownService Code = "unknown_service"
	// KeyRequired means that work that may not be repeated needs an idempotency key.
	KeyRequired Code = "idempotency_key_required"
	// KeyConflict means that the idempotency key was used with another request body.
	KeyConflict Code = "idempotency_key_conflict"
	// AlreadyRun means that the keyed request ran before and its answer is no longer kept.
	AlreadyRun Code = "already_run"
	// InProgress means that the keyed request is running now.
	InProgress Code = "in_progress"
	// Overloaded means that the request was shed, or can not meet its latency target.
	Overloaded Code = "overloaded"
	// WorkspaceLimited means that the workspace exceeded its retry budget or its share.
	WorkspaceLimited Code = "workspace_limited"
	// NoEndpoint means that the pool has no endpoint that takes work.
	NoEndpoint Code = "no_endpoint"
	// PlatformUnavailable means that the platform's object API could not be reached.
	PlatformUnavailable Code = "platform_unavailable"
	// Draining means that the daemon is shutting down.
	Draining Code = "draining"
	// Quarantined means that the request crashed endpoints and is refused for good.
	Quarantined Code = "quarantined"
	// Suspended means that endpoints crashed under the request's content and that it is
	// refused for a while.
	Suspended Code = "suspended"
	// ClientGone means that the caller left.
	ClientGone Code = "client_gone"
	// EndpointFailed means that the endpoint failed after the request reached it.
	EndpointFailed Code = "endpoint_failed"
	// EndpointRefused means that the endpoint answered with an error of its own.
	EndpointRefused Code = "endpoint_refused"
	// TimedOut means that the endpoint fell silent for longer than allowed.
	TimedOut Code = "timed_out"
	// Internal means a defect in the daemon.
	Internal Code = "internal"
)

// Codes between daemons. They reach no caller.
const (
	// PeerUnreachable means that another daemon could not be called, or fell silent.
	PeerUnreachable Code = "peer_unreachable"
	// NotBroker means that the daemon that was asked does not broker the pool.
	NotBroker Code = "not_broker"
)

// Codes of operations by operators.
const (
	// NotFound means that no object of that name exists.
	NotFound Code = "not_found"
	// Conflict means that another change came first; the message names it.
	Conflict Code = "conflict"
	// InvalidObject means that the object failed validation; the message lists each field.
	InvalidObject Code = "invalid_object"
	// Unreachable means that the daemon could not be called from the command line.
	Unreachable Code = "unreachable"
	// ResultUnknown means that the platform stayed away, so whether the change was stored is not known.
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

// statusClientClosedRequest is the customary, unregistered status for a caller that left.
const statusClientClosedRequest = 499

// HTTPStatus maps the code to a status; it is the only such mapping.
func (c Code) HTTPStatus() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// defaultOutcome is Unknown for codes that arise after a request reached an endpoint.
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
