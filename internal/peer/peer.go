// Package peer is the protocol between daemons: connect over HTTP/1.1 and
// unencrypted HTTP/2, or TLS, authenticated by a shared key. The messages are in
// proto/; peerv1 holds the generated code, which is committed.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// KeyHeader carries the shared key.
const KeyHeader = "Primrosewell-Peer-Key"

// ClaimResult is the answer to one forwarded claim.
type ClaimResult struct {
	Verdict claim.Verdict
	Holder  claim.Claim
	// Err is a *failure.Failure, or nil.
	Err error
}

// Members answers heartbeats; *membership.Membership implements it.
type Members interface {
	Receive(ctx context.Context, message membership.Heartbeat) (membership.Heartbeat, error)
}

// ConfigSource answers for configuration; *distribution.Distributor implements it.
type ConfigSource interface {
	FetchConfig(ctx context.Context, since int64) (distribution.Delta, error)
}

// Pools answers for the pools brokered here; *broker.Broker implements it.
type Pools interface {
	AcquireFor(ctx context.Context, ask routing.Ask) (routing.Grant, error)
	ReleaseFor(ctx context.Context, reports []routing.Report) error
	ProgressFor(ctx context.Context, daemon, pool string, running []routing.Progress) error
}

// Answers returns the encoded kept answer of a keyed request.
type Answers func(ctx context.Context, workspace, key string) (answer []byte, found bool, err error)

// Claims appends forwarded claims; one result for each, in order.
type Claims func(ctx context.Context, claims []claim.Claim) []ClaimResult

// Status returns the JSON status of this daemon.
type Status func(ctx context.Context) ([]byte, error)

// Handlers are the parts of a daemon that answer calls. A nil one answers not_found.
type Handlers struct {
	Members Members
	Config  ConfigSource
	Pools   Pools
	Answers Answers
	Claims  Claims
	Status  Status
}

// ServerOptions configures a Server. Key is required.
type ServerOptions struct {
	Key      string
	TLS      *tls.Config
	Handlers Handlers
	Logger   logrus.FieldLogger
}

// Server answers the calls of other daemons.
type Server struct {
	opts ServerOptions
}

// NewServer returns a server that is not listening yet.
func NewServer(opts ServerOptions) *Server { return &Server{opts: opts} }

// Serve answers on listener until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error { return nil }

// Shutdown stops listening and waits for the calls in progress.
func (s *Server) Shutdown(ctx context.Context) error { return nil }

// Close ends at once, with the calls in progress.
func (s *Server) Close() error { return nil }

// ClientOptions configures a Client. Key is required.
type ClientOptions struct {
	Key string
	TLS *tls.Config
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// SilenceTimeout is how long a connection may be silent before it is probed, and
	// again before it is closed with the calls that wait on it.
	SilenceTimeout time.Duration
}

// Client calls other daemons by peer address. Methods may be called concurrently.
// Every error is a *failure.Failure; PeerUnreachable means that the call got no answer.
type Client struct {
	opts ClientOptions
}

// NewClient returns a client.
func NewClient(opts ClientOptions) *Client { return &Client{opts: opts} }

// Close closes idle connections.
func (c *Client) Close() {}

// Heartbeat implements membership.Transport.
func (c *Client) Heartbeat(ctx context.Context, address string, message membership.Heartbeat) (membership.Heartbeat, error) {
	return membership.Heartbeat{}, nil
}

// FetchConfig implements distribution.Peers.
func (c *Client) FetchConfig(ctx context.Context, address string, since int64) (distribution.Delta, error) {
	return distribution.Delta{}, nil
}

// Acquire implements broker.Peers.
func (c *Client) Acquire(ctx context.Context, address string, ask routing.Ask) (routing.Grant, error) {
	return routing.Grant{}, nil
}

// Release implements broker.Peers.
func (c *Client) Release(ctx context.Context, address string, reports []routing.Report) error {
	return nil
}

// Progress implements broker.Peers.
func (c *Client) Progress(ctx context.Context, address, daemon, pool string, running []routing.Progress) error {
	return nil
}

// FetchAnswer returns the kept answer of a keyed request.
func (c *Client) FetchAnswer(ctx context.Context, address, workspace, key string) (answer []byte, found bool, err error) {
	return nil, false, nil
}

// ForwardClaims appends claims at the daemon of address; one result for each, in order.
func (c *Client) ForwardClaims(ctx context.Context, address string, claims []claim.Claim) ([]ClaimResult, error) {
	return nil, nil
}

// Status returns the JSON status of the daemon of address.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) { return nil, nil }
