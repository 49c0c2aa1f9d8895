package gossip

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/primrosewell/primrosewell/internal/failure"
)

const (
	// fetchProcedure answers with the snapshot of a daemon's beliefs. Its messages are
	// well-known types, so no code is generated for it.
	fetchProcedure = "/primrosewell.gossip.v1.Snapshot/Fetch"
	// fetchTimeout bounds a fetch; a peer in the same region answers in milliseconds.
	fetchTimeout = time.Second
	// maxFetched bounds a snapshot: the platform's largest value and some framing.
	maxFetched = 2 << 20
	// maxFetches bounds the peers served at once: all of a fleet that starts ask the first
	// that knows anything, and a narrow link would serve none of them in time.
	maxFetches = 8
	// headerTimeout bounds the time in which a peer sends its request.
	headerTimeout = 2 * time.Second
)

// NewFetchServer returns a server of the snapshot that content returns for what a peer
// says that it has; nil means that there is none yet.
func NewFetchServer(content func(asked []byte) []byte) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(fetchProcedure, connect.NewUnaryHandler(fetchProcedure,
		func(_ context.Context, request *connect.Request[wrapperspb.BytesValue]) (*connect.Response[wrapperspb.BytesValue], error) {
			data := content(request.Msg.GetValue())
			if data == nil {
				return nil, connect.NewError(connect.CodeUnavailable, failure.New(failure.PlatformUnavailable, "no configuration yet"))
			}
			return connect.NewResponse(wrapperspb.Bytes(data)), nil
		}, connect.WithCompressMinBytes(maxFetched))) // A large snapshot is compressed already, once for all.
	return &http.Server{Handler: atMost(maxFetches, mux), ReadHeaderTimeout: headerTimeout}
}

// atMost refuses requests beyond n at a time: who asks tries another peer.
func atMost(n int64, next http.Handler) http.Handler {
	var running atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer running.Add(-1)
		if running.Add(1) > n {
			http.Error(w, "too many peers ask at once", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Fetcher reads the snapshot of a peer.
type Fetcher struct {
	client *http.Client
}

// NewFetcher returns a fetcher that makes a connection for each fetch: fetches are rare.
func NewFetcher() *Fetcher {
	dialer := &net.Dialer{Timeout: fetchTimeout}
	return &Fetcher{client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		Timeout:   fetchTimeout,
	}}
}

// Fetch reads the snapshot of the peer at address, an IP number and port, and says what
// is known already.
func (f *Fetcher) Fetch(ctx context.Context, address string, known []byte) ([]byte, error) {
	client := connect.NewClient[wrapperspb.BytesValue, wrapperspb.BytesValue](f.client, "http://"+address+fetchProcedure, connect.WithReadMaxBytes(maxFetched))
	reply, err := client.CallUnary(ctx, connect.NewRequest(wrapperspb.Bytes(known)))
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, "fetching the snapshot of "+address)
	}
	return reply.Msg.GetValue(), nil
}
