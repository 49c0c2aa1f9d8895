package gossip

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"
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
	// tryHeader names peers to ask in place of a busy one, and servedNamed how many.
	tryHeader   = "Primrosewell-Try"
	servedNamed = 8
	// headerTimeout bounds the time in which a peer sends its request.
	headerTimeout = 2 * time.Second
)

// NewFetchServer returns a server of the snapshot that content returns for what a peer
// says that it has; nil means that there is none yet. It serves a few at a time, and names
// the peers that it served last to the others.
func NewFetchServer(content func(asked []byte) []byte) *http.Server {
	mux, running, last := http.NewServeMux(), &atomic.Int64{}, &served{}
	mux.Handle(fetchProcedure, connect.NewUnaryHandler(fetchProcedure,
		func(_ context.Context, request *connect.Request[wrapperspb.BytesValue]) (*connect.Response[wrapperspb.BytesValue], error) {
			if running.Load() > maxFetches {
				refusal := connect.NewError(connect.CodeUnavailable, failure.New(failure.Overloaded, "too many peers ask at once"))
				refusal.Meta().Set(tryHeader, strings.Join(last.list(), ","))
				return nil, refusal
			}
			data := content(request.Msg.GetValue())
			if data == nil {
				return nil, connect.NewError(connect.CodeUnavailable, failure.New(failure.PlatformUnavailable, "no configuration yet"))
			}
			last.add(request.Peer().Addr)
			return connect.NewResponse(wrapperspb.Bytes(data)), nil
		}, connect.WithCompressMinBytes(maxFetched))) // A large snapshot is compressed already, once for all.
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Until the answer is written: a narrow link is what is short.
		running.Add(1)
		defer running.Add(-1)
		mux.ServeHTTP(w, r)
	})
	return &http.Server{Handler: counted, ReadHeaderTimeout: headerTimeout}
}

// served remembers the peers that were served last. It is safe for concurrent use.
type served struct {
	mu        sync.Mutex
	addresses []string
}

func (s *served) add(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return // It is named to nobody.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = append(lo.Without(s.addresses, host), host)
	s.addresses = s.addresses[max(0, len(s.addresses)-servedNamed):]
}

func (s *served) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.addresses)
}

// Busy is the error of a peer that serves too many; Others are peers to try.
type BusyError struct{ Alternatives []string }

func (*BusyError) Error() string { return "the peer serves too many others" }

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
	var refused *connect.Error
	if errors.As(err, &refused) && refused.Meta().Get(tryHeader) != "" {
		return nil, &BusyError{Alternatives: strings.Split(refused.Meta().Get(tryHeader), ",")}
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, "fetching the snapshot of "+address)
	}
	return reply.Msg.GetValue(), nil
}
