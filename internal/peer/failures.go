package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/peer/peerv1"
)

// toConnect returns a connect error for the failure in err. Its detail carries code,
// outcome, message and retry-after delay; the cause is not sent.
func toConnect(err error) error {
	f := failure.From(err)
	out := connect.NewError(connectCode(f.Code), errors.New(f.Message))
	if detail, detailErr := connect.NewErrorDetail(failureToProto(f)); detailErr == nil {
		out.AddDetail(detail)
	}
	return out
}

func connectCode(code failure.Code) connect.Code {
	switch code {
	case failure.Unauthenticated:
		return connect.CodeUnauthenticated
	case failure.NotFound:
		return connect.CodeNotFound
	case failure.InvalidRequest, failure.InvalidObject:
		return connect.CodeInvalidArgument
	case failure.Overloaded, failure.WorkspaceLimited:
		return connect.CodeResourceExhausted
	case failure.Internal:
		return connect.CodeInternal
	default:
		return connect.CodeAborted
	}
}

// fromConnect returns the failure in the peer's response. Any other error counts as
// no response: ClientGone if ctx was cancelled, otherwise PeerUnreachable.
func fromConnect(ctx context.Context, address string, err error) error {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		for _, detail := range connectErr.Details() {
			if message, valueErr := detail.Value(); valueErr == nil {
				if f, ok := message.(*peerv1.FailureDetail); ok {
					return failureFromProto(f)
				}
			}
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Wrap(err, failure.ClientGone, "the call was cancelled").WithOutcome(failure.NotRun)
	}
	return failure.Wrap(err, failure.PeerUnreachable, "no answer from the daemon at "+address)
}

func failureToProto(f *failure.Failure) *peerv1.FailureDetail {
	if f == nil {
		return nil
	}
	return &peerv1.FailureDetail{
		Code:         string(f.Code),
		Outcome:      string(f.Outcome),
		Message:      f.Message,
		RetryAfterUs: f.RetryAfter.Microseconds(),
	}
}

func failureFromProto(d *peerv1.FailureDetail) *failure.Failure {
	return failure.New(failure.Code(d.GetCode()), d.GetMessage()).
		WithOutcome(failure.Outcome(d.GetOutcome())).
		WithRetryAfter(time.Duration(d.GetRetryAfterUs()) * time.Microsecond)
}
