package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// KeyHeader is the header field that carries the shared key.
const KeyHeader = "Primrosewell-Peer-Key"

// requireKey refuses calls that do not carry the shared key, and all calls if key is
// empty. It compares hashes in constant time, so that response times reveal neither the
// key nor its length.
func requireKey(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if !hasKey(key, request.Header()) {
				return nil, toConnect(failure.New(failure.Unauthenticated, "the peer key is missing or wrong"))
			}
			return next(ctx, request)
		}
	}
}

// hasKey reports whether a header carries the shared key.
func hasKey(key string, header http.Header) bool {
	want, got := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(header.Get(KeyHeader)))
	return key != "" && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

// strangerTimeout bounds the time in which the rest of a call without the key may arrive.
const strangerTimeout = time.Second

// refuseStrangers keeps the body of a call without the shared key from being read: the interceptor that
// refuses the call runs after its message has been read into memory.
func refuseStrangers(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasKey(key, r.Header) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(strangerTimeout)) // Fails only if the connection is closed.
			w.Header().Set("Connection", "close")
			r.Body = http.NoBody
		}
		next.ServeHTTP(w, r)
	})
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
