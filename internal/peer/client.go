package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/memory"
	pb "github.com/primrosewell/primrosewell/internal/peer/peerv1"
	"github.com/primrosewell/primrosewell/internal/peer/peerv1/peerv1connect"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Defaults of ClientOptions, and limits for connections and calls.
const (
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultSilenceTimeout = 400 * time.Millisecond
	// clientIdleTimeout is how long a connection without calls is kept. An idle connection
	// costs a ping each SilenceTimeout, which adds up with many peers.
	clientIdleTimeout = 2 * time.Second
	// callTimeout limits the calls that the peer answers without waiting; all but Acquire.
	callTimeout = 2 * time.Second
)

// ClientOptions configures a Client. Key is required.
type ClientOptions struct {
	Key string
	// TLS enables TLS; with Certificates set, the client authenticates itself (mutual TLS).
	TLS *tls.Config
	// DialTimeout limits the time to open a connection, and that of its TLS handshake.
	DialTimeout time.Duration
	// SilenceTimeout is how long nothing may be received on a connection before a ping is
	// sent, and then how long the reply to the ping may take before the connection is closed
	// and its pending calls fail.
	SilenceTimeout time.Duration
	// Responses bounds what calls hold together while they read responses. Default: no limit.
	Responses *memory.Quota
	// Dial opens connections; nil means TCP with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other daemons by peer address. Its methods are safe for concurrent use.
// Every error is a *failure.Failure. PeerUnreachable means that no response was received,
// so that the call may or may not have taken effect.
type Client struct {
	opts      ClientOptions
	transport *http.Transport

	mu    sync.RWMutex
	stubs map[string]peerv1connect.PeerServiceClient
}

// NewClient returns a client with defaults for the timeouts and Dial that are not set.
func NewClient(opts ClientOptions) *Client {
	opts.DialTimeout = lo.CoalesceOrEmpty(opts.DialTimeout, DefaultDialTimeout)
	opts.SilenceTimeout = lo.CoalesceOrEmpty(opts.SilenceTimeout, DefaultSilenceTimeout)
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.DialTimeout}).DialContext
	}
	var protocols http.Protocols
	protocols.SetHTTP2(opts.TLS != nil)
	protocols.SetUnencryptedHTTP2(opts.TLS == nil)
	return &Client{
		opts:  opts,
		stubs: map[string]peerv1connect.PeerServiceClient{},
		transport: &http.Transport{
			DialContext:         opts.Dial,
			TLSClientConfig:     opts.TLS,
			TLSHandshakeTimeout: opts.DialTimeout,
			ForceAttemptHTTP2:   opts.TLS != nil,
			Protocols:           &protocols,
			IdleConnTimeout:     clientIdleTimeout,

			MaxResponseHeaderBytes: httpio.MaxHeadBytes,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout:  opts.SilenceTimeout,
				PingTimeout:      opts.SilenceTimeout,
				WriteByteTimeout: 2 * opts.SilenceTimeout,
			},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Forget removes the cached stub of an address that no member has any more.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stubs, address)
}

// stub returns the cached stub for address, or creates one.
func (c *Client) stub(address string) peerv1connect.PeerServiceClient {
	c.mu.RLock()
	s, ok := c.stubs[address]
	c.mu.RUnlock()
	if ok {
		return s
	}
	scheme := lo.Ternary(c.opts.TLS != nil, "https://", "http://")
	s = peerv1connect.NewPeerServiceClient(
		&http.Client{Transport: c.opts.Responses.Transport(c.transport)},
		scheme+address,
		connect.WithInterceptors(sendKey(c.opts.Key)),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stubs[address] = s
	return s
}

// call makes one call with callTimeout.
func call[Req, Res any](ctx context.Context, address string, method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), message *Req) (*Res, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := method(bounded, connect.NewRequest(message))
	if err != nil {
		return nil, fromConnect(ctx, address, err)
	}
	return reply.Msg, nil
}

// Heartbeat implements membership.Transport.
func (c *Client) Heartbeat(ctx context.Context, address string, message membership.Heartbeat) (membership.Heartbeat, error) {
	reply, err := call(ctx, address, c.stub(address).Heartbeat, heartbeatToProto(message))
	if err != nil {
		return membership.Heartbeat{}, err
	}
	return heartbeatFromProto(reply), nil
}

// FetchConfig implements distribution.Peers.
func (c *Client) FetchConfig(ctx context.Context, address string, since int64) (distribution.Delta, error) {
	reply, err := call(ctx, address, c.stub(address).FetchConfig, &pb.FetchConfigRequest{Since: since})
	if err != nil {
		return distribution.Delta{}, err
	}
	return deltaFromProto(reply), nil
}

// Acquire implements broker.Peers. It waits for the grant without a timeout of its own,
// until the connection is lost; cancelling ctx removes the permit request from the queue.
func (c *Client) Acquire(ctx context.Context, address string, request routing.PermitRequest) (routing.Grant, error) {
	reply, err := c.stub(address).Acquire(ctx, connect.NewRequest(&pb.AcquireRequest{Ask: permitRequestToProto(request)}))
	if err != nil {
		return routing.Grant{}, fromConnect(ctx, address, err)
	}
	return grantFromProto(reply.Msg.GetGrant()), nil
}

// Release implements broker.Peers.
func (c *Client) Release(ctx context.Context, address string, reports []routing.Report) error {
	_, err := call(ctx, address, c.stub(address).Release, &pb.ReleaseRequest{Reports: convert(reports, reportToProto)})
	return err
}

// Progress implements broker.Peers.
func (c *Client) Progress(ctx context.Context, address, daemon, pool string, running []routing.Progress) error {
	message := &pb.ProgressRequest{Daemon: daemon, Pool: pool, Running: convert(running, progressToProto)}
	_, err := call(ctx, address, c.stub(address).Progress, message)
	return err
}

// FetchAnswer returns the encoded record, with the stored response, of a request with an
// idempotency key that the daemon at address dispatched.
func (c *Client) FetchAnswer(ctx context.Context, address, workspace, key string) (record []byte, found bool, err error) {
	reply, err := call(ctx, address, c.stub(address).FetchAnswer, &pb.FetchAnswerRequest{Workspace: workspace, Key: key})
	if err != nil {
		return nil, false, err
	}
	return reply.GetAnswer(), reply.GetFound(), nil
}

// ForwardClaims lets the daemon at address append claims, and returns one result for each,
// in order.
func (c *Client) ForwardClaims(ctx context.Context, address string, claims []claim.Claim) ([]ClaimResult, error) {
	reply, err := call(ctx, address, c.stub(address).ForwardClaims, &pb.ForwardClaimsRequest{Claims: convert(claims, claimToProto)})
	if err != nil {
		return nil, err
	}
	return convert(reply.GetResults(), claimResultFromProto), nil
}

// Status returns the JSON status of the daemon at address.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	reply, err := call(ctx, address, c.stub(address).Status, &pb.StatusRequest{})
	if err != nil {
		return nil, err
	}
	return reply.GetStatus(), nil
}
