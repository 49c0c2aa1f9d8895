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
	"github.com/primrosewell/primrosewell/internal/httpio"
)

const (
	// fetchProcedure returns a daemon's snapshot of configuration and endpoints. Its messages
	// are well-known protobuf types, so no code is generated for it.
	fetchProcedure = "/primrosewell.gossip.v1.Snapshot/Fetch"
	// fetchTimeout bounds a fetch; a peer in the same region replies in milliseconds.
	fetchTimeout = time.Second
	// maxSnapshotBytes bounds a snapshot: the largest value of the platform, and some
	// framing.
	maxSnapshotBytes = 2 << 20
	// maxConcurrentFetches bounds the peers that are served at once. When a fleet starts, all
	// daemons fetch from the first that has a configuration; a slow link shared by all of
	// them would serve none in time.
	maxConcurrentFetches = 8
	// alternativesHeader names peers to fetch from instead of a busy one, and maxAlternatives
	// how many are named.
	alternativesHeader = "Primrosewell-Try"
	maxAlternatives    = 8
	// maxVersionsBytes bounds what a peer sends to fetch a snapshot: the versions that it has, in JSON.
	maxVersionsBytes = 64 << 10
	// exchangeTimeout bounds the time in which a peer sends its request, and that in which it takes the
	// response. Fetches end after fetchTimeout, and carried connections have no such limits.
	exchangeTimeout = 5 * time.Second
	// headerTimeout bounds the time within which a peer has to send its request headers.
	headerTimeout = 2 * time.Second
)

// NewFetchServer returns an HTTP server for snapshots. snapshotFor returns the snapshot for a
// peer that has the given versions, or nil if there is no configuration yet. The server
// limits concurrent fetches and refers further peers to those that it served most recently.
func NewFetchServer(snapshotFor func(versions []byte) []byte) *http.Server {
	mux, inFlight, recent := http.NewServeMux(), &atomic.Int64{}, &recentClients{}
	mux.Handle(fetchProcedure, connect.NewUnaryHandler(fetchProcedure,
		func(_ context.Context, request *connect.Request[wrapperspb.BytesValue]) (*connect.Response[wrapperspb.BytesValue], error) {
			if inFlight.Load() > maxConcurrentFetches {
				refusal := connect.NewError(connect.CodeUnavailable, failure.New(failure.Overloaded, "too many peers ask at once"))
				refusal.Meta().Set(alternativesHeader, strings.Join(recent.list(), ","))
				return nil, refusal
			}
			data := snapshotFor(request.Msg.GetValue())
			if data == nil {
				return nil, connect.NewError(connect.CodeUnavailable, failure.New(failure.PlatformUnavailable, "no configuration yet"))
			}
			recent.add(request.Peer().Addr)
			return connect.NewResponse(wrapperspb.Bytes(data)), nil
		}, connect.WithReadMaxBytes(maxVersionsBytes), connect.WithCompressMinBytes(maxSnapshotBytes))) // Large snapshots are stored compressed.
	counting := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A fetch counts until its response is written, since the link is the bottleneck.
		inFlight.Add(1)
		defer inFlight.Add(-1)
		mux.ServeHTTP(w, r)
	})
	return &http.Server{Handler: counting, ReadHeaderTimeout: headerTimeout, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout, IdleTimeout: exchangeTimeout}
}

// recentClients holds the addresses of the peers that were served most recently. It is safe
// for concurrent use.
type recentClients struct {
	mu        sync.Mutex
	addresses []string
}

func (s *recentClients) add(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return // An address that can't be parsed is not offered as an alternative.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = append(lo.Without(s.addresses, host), host)
	s.addresses = s.addresses[max(0, len(s.addresses)-maxAlternatives):]
}

func (s *recentClients) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.addresses)
}

// BusyError reports that a peer serves too many fetches already. Alternatives are the IP
// addresses of other peers to try.
type BusyError struct{ Alternatives []string }

func (*BusyError) Error() string { return "the peer serves too many others" }

// Fetcher fetches snapshots from peers.
type Fetcher struct {
	client *http.Client
}

// NewFetcher returns a Fetcher that opens connections with dial, one for each fetch, since fetches are
// rare.
func NewFetcher(dial func(ctx context.Context, address string) (net.Conn, error)) *Fetcher {
	return &Fetcher{client: &http.Client{
		Transport: httpio.NewTransport(&http.Transport{
			DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
			DisableKeepAlives: true,
		}, httpio.MaxHeadBytes),
		Timeout: fetchTimeout,
	}}
}

// Fetch returns the snapshot of the peer at address, an IP address and port. versions tells
// the peer what this daemon has already. The error is a *BusyError if the peer refers to
// others.
func (f *Fetcher) Fetch(ctx context.Context, address string, versions []byte) ([]byte, error) {
	client := connect.NewClient[wrapperspb.BytesValue, wrapperspb.BytesValue](f.client, "http://"+address+fetchProcedure, connect.WithReadMaxBytes(maxSnapshotBytes))
	reply, err := client.CallUnary(ctx, connect.NewRequest(wrapperspb.Bytes(versions)))
	var refused *connect.Error
	if errors.As(err, &refused) && refused.Meta().Get(alternativesHeader) != "" {
		return nil, &BusyError{Alternatives: strings.Split(refused.Meta().Get(alternativesHeader), ",")}
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnreachable, "fetching the snapshot of "+address)
	}
	return reply.Msg.GetValue(), nil
}
