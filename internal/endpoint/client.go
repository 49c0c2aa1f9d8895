// Package endpoint holds the clients for model engines and plain services: calls
// that tell for certain whether a request may have started, a strict reader of
// streamed answers, and readers of load reports and cache events.
package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// Defaults of Options.
const (
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxConnections = 1024
	DefaultMaxIdle        = 128
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout bounds the time to connect.
	ConnectTimeout time.Duration
	// IdleTimeout closes kept connections.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections to each endpoint.
	MaxConnections int
	// MaxIdle bounds the kept connections to each endpoint.
	MaxIdle int
}

// Client calls endpoints. It keeps connections and may be used concurrently.
type Client struct {
	pooled *http.Transport
	// single makes a connection for each call. Work that may not be repeated uses it: the
	// transport repeats requests by itself on kept connections only, and a kept connection
	// that the endpoint has closed can take bytes that nobody reads, so that the call would
	// end as unknown where a new connection is refused for certain.
	single *http.Transport
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	pooled := newTransport(options)
	single := newTransport(options)
	single.DisableKeepAlives = true
	return &Client{pooled: pooled, single: single}
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	return o
}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.ConnectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxIdle,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
}

// Close closes the kept connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// countingConn counts the bytes handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p))) // counted first: a failed write may have sent a part.
	return c.Conn.Write(p)
}

// errSilent is the cause of a context that a silence timeout ended.
var errSilent = errors.New("silence timeout")

// exchange is one HTTP call with its silence timeout.
type exchange struct {
	endpoint string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	parent   context.Context
	silence  time.Duration
	conn     atomic.Pointer[countingConn]
	before   atomic.Int64
	sentOnce atomic.Bool // set when an earlier connection of the call took bytes.
}

// newExchange returns an exchange whose context ends with parent, or by its own cancel.
func newExchange(parent context.Context, endpoint string, silence time.Duration) *exchange {
	x := &exchange{endpoint: endpoint, parent: parent, silence: silence}
	traced := httptrace.WithClientTrace(parent, &httptrace.ClientTrace{GotConn: x.gotConn})
	x.ctx, x.cancel = context.WithCancelCause(traced)
	return x
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	if x.sent() {
		x.sentOnce.Store(true)
	}
	if conn, ok := info.Conn.(*countingConn); ok {
		x.before.Store(conn.written.Load())
		x.conn.Store(conn)
	}
}

// sent reports whether a byte of the request may have been written.
func (x *exchange) sent() bool {
	conn := x.conn.Load()
	return x.sentOnce.Load() || conn != nil && conn.written.Load() > x.before.Load()
}

// watch starts the silence timeout of one read; call the result when the read returns.
func (x *exchange) watch() (stop func() bool) {
	if x.silence <= 0 {
		return func() bool { return true }
	}
	return time.AfterFunc(x.silence, func() { x.cancel(errSilent) }).Stop
}

// roundTrip sends the request and waits for the head of the answer.
func (x *exchange) roundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	defer x.watch()()
	response, err := transport.RoundTrip(request.WithContext(x.ctx))
	if err != nil {
		failed := x.classify(err)
		x.cancel(nil)
		return nil, failed
	}
	return response, nil
}

// classify names the cause of a failed read or write.
func (x *exchange) classify(err error) *Error {
	e := &Error{Endpoint: x.endpoint, Sent: x.sent(), wrapped: err}
	switch {
	case x.parent.Err() != nil:
		e.Cause, e.Message = Cancelled, "the call was cancelled"
	case !e.Sent:
		e.Cause, e.Message = NotReached, "no byte of the request was written"
	case errors.Is(context.Cause(x.ctx), errSilent):
		e.Cause, e.Message = Silent, "no byte came for "+x.silence.String()
	default:
		e.Cause, e.Message = ConnectionBroken, "the connection broke"
	}
	return e
}

// fail returns an error about an answer that came.
func (x *exchange) fail(cause Cause, message string) *Error {
	return &Error{Cause: cause, Endpoint: x.endpoint, Message: message, Sent: true}
}

const secondsBits = 31

// retryAfter reads the Retry-After header; a date is ignored.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, secondsBits)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
