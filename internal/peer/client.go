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
	"github.com/primrosewell/primrosewell/internal/membership"
	pb "github.com/primrosewell/primrosewell/internal/peer/peerv1"
	"github.com/primrosewell/primrosewell/internal/peer/peerv1/peerv1connect"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Defaults of ClientOptions and bounds of calls that do not wait in a queue.
const (
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultSilenceTimeout = 400 * time.Millisecond
	// clientIdleTimeout is how long a connection without calls is kept. A kept one is
	// probed each SilenceTimeout, which adds up when there are many peers.
	clientIdleTimeout = 2 * time.Second
	// callTimeout bounds the calls that are answered at once.
	callTimeout = 2 * time.Second
)

// ClientOptions configures a Client. Key is required.
type ClientOptions struct {
	Key string
	// TLS makes the client speak TLS; Certificates in it make it mutual.
	TLS *tls.Config
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// SilenceTimeout is how long a connection may be silent before it is probed, and
	// again before it is closed with the calls that wait on it.
	SilenceTimeout time.Duration
	// Dial replaces the dialler; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls other daemons by peer address. Methods may be called concurrently.
// Every error is a *failure.Failure; PeerUnreachable means that no answer came, so
// that the call may or may not have taken effect.
type Client struct {
	opts      ClientOptions
	transport *http.Transport

	mu    sync.RWMutex
	stubs map[string]peerv1connect.PeerServiceClient
}

// NewClient returns a client.
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

// Forget drops what is kept for an address that no member has any more.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stubs, address)
}

func (c *Client) stub(address string) peerv1connect.PeerServiceClient {
	c.mu.RLock()
	s, ok := c.stubs[address]
	c.mu.RUnlock()
	if ok {
		return s
	}
	scheme := lo.Ternary(c.opts.TLS != nil, "https://", "http://")
	s = peerv1connect.NewPeerServiceClient(
		&http.Client{Transport: c.transport},
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

// call makes one call that is answered at once.
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

// Acquire implements broker.Peers. It waits for as long as the connection lives;
// cancelling ctx takes the ask out of the queue.
func (c *Client) Acquire(ctx context.Context, address string, ask routing.PermitRequest) (routing.Grant, error) {
	reply, err := c.stub(address).Acquire(ctx, connect.NewRequest(&pb.AcquireRequest{Ask: askToProto(ask)}))
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

// FetchAnswer returns the kept answer of a keyed request.
func (c *Client) FetchAnswer(ctx context.Context, address, workspace, key string) (answer []byte, found bool, err error) {
	reply, err := call(ctx, address, c.stub(address).FetchAnswer, &pb.FetchAnswerRequest{Workspace: workspace, Key: key})
	if err != nil {
		return nil, false, err
	}
	return reply.GetAnswer(), reply.GetFound(), nil
}

// ForwardClaims appends claims at the daemon of address; one result for each, in order.
func (c *Client) ForwardClaims(ctx context.Context, address string, claims []claim.Claim) ([]ClaimResult, error) {
	reply, err := call(ctx, address, c.stub(address).ForwardClaims, &pb.ForwardClaimsRequest{Claims: convert(claims, claimToProto)})
	if err != nil {
		return nil, err
	}
	return convert(reply.GetResults(), claimResultFromProto), nil
}

// Status returns the JSON status of the daemon of address.
func (c *Client) Status(ctx context.Context, address string) ([]byte, error) {
	reply, err := call(ctx, address, c.stub(address).Status, &pb.StatusRequest{})
	if err != nil {
		return nil, err
	}
	return reply.GetStatus(), nil
}
