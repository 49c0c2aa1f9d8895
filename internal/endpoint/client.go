// Package endpoint is the client for model engines and plain services. Its calls
// report reliably whether a request may have started. It validates streamed
// responses strictly and reads load reports and cache events.
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

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
)

// Defaults of Options.
const (
	DefaultConnectTimeout     = time.Second
	DefaultIdleTimeout        = 30 * time.Second
	DefaultMaxConnections     = 1024
	DefaultMaxIdleConnections = 128
	// DefaultMaxStreamBytes is longer than any response with log probabilities of each token.
	DefaultMaxStreamBytes = 256 << 20
	// DefaultMaxPreambleBytes leaves room for comments that keep the connection open.
	DefaultMaxPreambleBytes = 4 << 20
)

// maxHeaderBytes is the maximum length of a response header, with interim responses.
const maxHeaderBytes = 64 << 10

// minStatus and maxStatus bound the status of a response (RFC 9110, section 15). The transport skips the
// informational ones and returns 101, for which no request asks, and codes that are no HTTP status.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	// ConnectTimeout is the maximum time to establish a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle pooled connection is closed.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of connections to each endpoint.
	MaxConnections int
	// MaxIdleConnections is the maximum number of idle pooled connections to each endpoint.
	MaxIdleConnections int
	// MaxStreamBytes is the maximum length of one streamed response.
	MaxStreamBytes int
	// MaxPreambleBytes is the maximum length of a streamed response before its first content.
	MaxPreambleBytes int
	// Reports bounds what reading reports holds together. Default: no limit.
	Reports *memory.Quota
	// Dial opens connections; nil means TCP with ConnectTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	// reports pools the connections on which reports are read.
	reports *httpio.Transport
	// calls opens a connection for each call. On a pooled one, a late second response to an
	// earlier request would be taken for the response of this call. Moreover,
	// http.Transport retries requests on its own, but only on pooled connections, and a
	// write to a pooled connection that the endpoint has closed can succeed although
	// nothing reads the bytes. Whether the call ran would then be unknown, whereas a new
	// connection is refused, so that the call certainly did not start.
	calls *httpio.Transport

	maxStreamBytes   int
	maxPreambleBytes int
	reportRoom       *memory.Quota
}

// NewClient returns a client with no open connections.
func NewClient(options Options) *Client {
	options = options.withDefaults()
	reports := newTransport(options)
	calls := newTransport(options)
	calls.DisableKeepAlives = true
	return &Client{reports: reports, calls: calls, maxStreamBytes: options.MaxStreamBytes, maxPreambleBytes: options.MaxPreambleBytes, reportRoom: options.Reports}
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
	if o.MaxIdleConnections <= 0 {
		o.MaxIdleConnections = DefaultMaxIdleConnections
	}
	if o.MaxStreamBytes <= 0 {
		o.MaxStreamBytes = DefaultMaxStreamBytes
	}
	if o.MaxPreambleBytes <= 0 {
		o.MaxPreambleBytes = DefaultMaxPreambleBytes
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext
	}
	return o
}

func newTransport(o Options) *httpio.Transport {
	return httpio.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := o.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: httpio.Watch(conn)}, nil
		},
		MaxConnsPerHost:     o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxIdleConnections,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}, maxHeaderBytes)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.reports.CloseIdleConnections()
	c.calls.CloseIdleConnections()
}

// countingConn counts the bytes written to the kernel. The transport writes a request while it reads
// the response, so that a reset may be reported to the write alone; the connection is watched for that.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p))) // counted first: a failed write may have sent some of the bytes.
	return c.Conn.Write(p)
}

// errSilenceTimeout is the cancellation cause of a context whose silence timeout expired.
var errSilenceTimeout = errors.New("silence timeout")

// exchange is one HTTP call. Each wait for bytes from the endpoint is limited by its
// silence timeout.
type exchange struct {
	endpoint       string
	ctx            context.Context
	cancel         context.CancelCauseFunc
	parent         context.Context
	silenceTimeout time.Duration
	conn           atomic.Pointer[countingConn]
	writtenBefore  atomic.Int64
	sentEarlier    atomic.Bool // true if bytes were written to an earlier connection of the call.
}

// newExchange returns an exchange whose context ends when parent ends or cancel is called.
func newExchange(parent context.Context, endpoint string, silenceTimeout time.Duration) *exchange {
	x := &exchange{endpoint: endpoint, parent: parent, silenceTimeout: silenceTimeout}
	traced := httptrace.WithClientTrace(parent, &httptrace.ClientTrace{GotConn: x.gotConn})
	x.ctx, x.cancel = context.WithCancelCause(traced)
	return x
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	if x.sent() {
		x.sentEarlier.Store(true)
	}
	checked, ok := info.Conn.(interface{ NetConn() net.Conn })
	if !ok {
		return
	}
	if conn, ok := checked.NetConn().(*countingConn); ok {
		x.writtenBefore.Store(conn.written.Load())
		x.conn.Store(conn)
	}
}

// sent reports whether a byte of the request may have been written.
func (x *exchange) sent() bool {
	conn := x.conn.Load()
	return x.sentEarlier.Load() || conn != nil && conn.written.Load() > x.writtenBefore.Load()
}

// startSilenceTimer starts the silence timeout of one read; the caller calls stop when the
// read returns.
func (x *exchange) startSilenceTimer() (stop func() bool) {
	if x.silenceTimeout <= 0 {
		return func() bool { return true }
	}
	return time.AfterFunc(x.silenceTimeout, func() { x.cancel(errSilenceTimeout) }).Stop
}

// roundTrip sends the request and waits for the response header.
func (x *exchange) roundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	defer x.startSilenceTimer()()
	response, err := transport.RoundTrip(request.WithContext(x.ctx))
	if err != nil {
		failed := x.classify(err)
		x.cancel(nil)
		return nil, failed
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		x.cancel(nil)
		_ = response.Body.Close()
		return nil, x.responseError(Malformed, "the status is not that of a response: "+strconv.Itoa(response.StatusCode))
	}
	return response, nil
}

// classify determines the cause of a failed read or write.
func (x *exchange) classify(err error) *Error {
	e := &Error{Endpoint: x.endpoint, Sent: x.sent(), wrapped: err}
	switch {
	case x.parent.Err() != nil:
		e.Cause, e.Message = Cancelled, "the call was cancelled"
	case !e.Sent:
		e.Cause, e.Message = NotReached, "no byte of the request was written"
	case errors.Is(err, httpio.ErrMalformed):
		e.Cause, e.Message = Malformed, "the response is malformed"
	case errors.Is(context.Cause(x.ctx), errSilenceTimeout):
		e.Cause, e.Message = TimedOut, "no byte was received for "+x.silenceTimeout.String()
	default:
		e.Cause, e.Message = ConnectionBroken, "the connection broke"
	}
	return e
}

// responseError returns an error in a response that was received.
func (x *exchange) responseError(cause Cause, message string) *Error {
	return &Error{Cause: cause, Endpoint: x.endpoint, Message: message, Sent: true}
}

const secondsBits = 31

// retryAfter parses the Retry-After header in seconds; a date is ignored.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, secondsBits)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
