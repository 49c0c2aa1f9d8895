package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	"connectrpc.com/connect"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// KeyHeader is the header field that carries the shared key.
const KeyHeader = "Primrosewell-Peer-Key"

// requireKey refuses calls that do not carry the shared key, and all calls if key is
// empty. It compares hashes in constant time, so that response times reveal neither the
// key nor its length.
func requireKey(key string) connect.UnaryInterceptorFunc {
	want := sha256.Sum256([]byte(key))
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			got := sha256.Sum256([]byte(request.Header().Get(KeyHeader)))
			if key == "" || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
				return nil, toConnect(failure.New(failure.Unauthenticated, "the peer key is missing or wrong"))
			}
			return next(ctx, request)
		}
	}
}

// sendKey adds the shared key to each call.
func sendKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set(KeyHeader, key)
			return next(ctx, request)
		}
	}
}
