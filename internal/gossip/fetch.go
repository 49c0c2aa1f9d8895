package gossip

import (
	"context"
	"net"
	"net/http"
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
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
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
