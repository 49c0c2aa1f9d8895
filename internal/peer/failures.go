package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/peer/peerv1"
)

// toConnect wraps the failure inside err, with its code, outcome, message and
// retry-after as a detail. The cause stays on this daemon.
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

// fromConnect returns the failure that the peer answered with. Any other error
// means that no answer came: PeerUnreachable, or ClientGone if ctx was cancelled.
func fromConnect(ctx context.Context, address string, err error) error {
	var wire *connect.Error
	if errors.As(err, &wire) {
		for _, detail := range wire.Details() {
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
