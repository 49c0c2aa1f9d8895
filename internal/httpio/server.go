// Package httpio implements HTTP/1.1 connections: a server that cancels a request when its
// caller disconnects, and a client that reuses a connection to an endpoint only after a
// clean exchange. fasthttp parses the headers; routing and forwarding of the messages are
// left to other packages.
package httpio

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/memory"
)

const (
	// continueResponse tells a caller that sent Expect: 100-continue to send the body.
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	// connectionBytes is what a connection takes beside its read buffer: two stacks, the writer and the
	// kernel's receive buffer.
	connectionBytes = 20<<10 + memory.InboundReceiveBytes
	// lastLook is how long an idle connection that is to be closed is read once more. It need only suffice to read what
	// has arrived; a close with unread bytes would reset the connection.
	lastLook = 10 * time.Millisecond
)

// Limits are the size and time limits for callers' requests. Those in force when a request begins
// hold for it, and IdleTimeout as it is when the time is over.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
}

// Request is a complete request of a caller. It is valid until the handler returns.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Target is the request target as received: path and query.
	Target string
	// Arrived is the time at which header and body had been read.
	Arrived time.Time
	// Held accounts for what is held for the caller; nil accounts for nothing.
	Held *memory.Holder
}

// ErrAborted is the cause with which a handler's context ends because of Server.Abort.
var ErrAborted = errors.New("the server ends the requests in progress")

// Handler handles one request. ctx is cancelled when the caller disconnects, and with ErrAborted as its
// cause by Server.Abort, after which the caller can still get a response.
type Handler func(ctx context.Context, r *Request, w *Writer)

// RejectReason states why the server rejected a request without calling the handler.
type RejectReason string

// Values of RejectReason.
const (
	HeaderTooLarge RejectReason = "header_too_large"
	BodyTooLarge   RejectReason = "body_too_large"
	Malformed      RejectReason = "malformed"
	TooSlow        RejectReason = "too_slow"
	// NoRoom means that the account of memory has no room for the request.
	NoRoom RejectReason = "no_room"
)

// Options configure a Server; all fields but Account are required.
type Options struct {
	// Account accounts for what is held for callers. Default: nothing is.
	Account *memory.Account
	Handler Handler
	// Limits returns the current limits.
	Limits func() Limits
	// OnReject is called before the server rejects a request with a status. header is nil if it was not read.
	// It returns the response.
	OnReject func(remote net.Addr, status int, reason RejectReason, header *fasthttp.RequestHeader) Rejection
}

// Rejection is the response to a request that was not read completely.
type Rejection struct {
	Status int
	// RetryAfter is when the caller may send the request again, or 0 if it is not to.
	RetryAfter time.Duration
	// Fields are further header fields.
	Fields []Field
	// Body is in JSON.
	Body []byte
}

// Server serves callers' connections. Its methods are safe for concurrent use.
type Server struct {
	options  Options
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining atomic.Bool
	// aborting is set by Abort.
	aborting atomic.Bool
	active   atomic.Int64
}

// NewServer returns a server without a listener.
func NewServer(options Options) *Server {
	return &Server{options: options, conns: make(map[*serverConn]struct{})}
}

// Serve accepts connections until the listener fails or is closed, and returns its error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			if memory.IsShortage(err) {
				time.Sleep(memory.AcceptPause)
				continue
			}
			return err
		}
		// The account decides before the next connection is accepted, so that descriptors stay bounded.
		if c := s.admit(conn); c != nil {
			go s.serveConn(c)
		}
	}
}

// Drain makes every response from now on close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests whose handler is running.
func (s *Server) Active() int { return int(s.active.Load()) }

// Busy returns the number of connections on which a request is being read or handled, whose caller
// may still be reading the last response, or that CloseIdle has not closed yet.
func (s *Server) Busy() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.Load() != connIdle {
			n++
		}
	}
	return n
}

// Abort ends the requests in progress and those that come later. Handlers get ErrAborted, and
// requests that are being read are rejected as TooSlow.
func (s *Server) Abort() {
	s.Drain()
	s.aborting.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}

// CloseIdle begins to close the connections on which no request is being read or handled. A request that
// has arrived is handled first.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// States of a serverConn.
const (
	connIdle int32 = iota
	connBusy
	// connClosing is the state of an idle connection that closes unless a request has arrived.
	connClosing
)

type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	held   *memory.Holder
	state  atomic.Int32
	// phase guards the fields below.
	phase sync.Mutex
	// reading is set while a request is being read.
	reading bool
	// cancel ends the context of the request that is being handled; nil if there is none.
	cancel context.CancelCauseFunc
	// idleSince is the time since which no request is read or handled, while the state is connIdle.
	idleSince time.Time
	// gaveWay is set if the connection has to give way; a request that is being read is refused.
	gaveWay bool
}

// admit returns a connection that there is room for, or closes it and returns nil.
func (s *Server) admit(conn net.Conn) *serverConn {
	c := &serverConn{server: s, conn: conn}
	headerBytes := s.options.Limits().HeaderBytes
	held, err := s.options.Account.Open(memory.Callers, int64(headerBytes+connectionBytes), conn.RemoteAddr().String(), c.giveWay)
	if err != nil {
		_ = conn.Close()
		return nil
	}
	c.held, c.reader = held, bufio.NewReaderSize(conn, headerBytes)
	return c
}

func (s *Server) serveConn(c *serverConn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.conn.Close()
		c.held.Close()
	}()
	c.beginIdle()
	for {
		if err := c.awaitByte(); err != nil {
			return // The caller closed the connection, or IdleTimeout passed.
		}
		c.state.Store(connBusy)
		if !c.serveRequest() {
			return
		}
	}
}

// giveWay ends the connection because others need what it holds. A request that is being read is refused,
// unless the connection is closed at once.
func (c *serverConn) giveWay(_ *memory.Holder, atOnce bool) {
	c.phase.Lock()
	defer c.phase.Unlock()
	c.gaveWay = true
	if atOnce || !c.reading {
		_ = c.conn.Close()
		return
	}
	_ = c.conn.SetReadDeadline(time.Now())
}

// beginIdle starts the idle timeout.
func (c *serverConn) beginIdle() {
	c.idleSince = time.Now()
	_ = c.conn.SetReadDeadline(c.idleSince.Add(c.server.options.Limits().IdleTimeout))
	c.state.Store(connIdle)
	c.held.SetState(memory.Idle)
}

// closeIdle ends the wait for the next request if the connection is idle.
func (c *serverConn) closeIdle() {
	c.phase.Lock()
	defer c.phase.Unlock()
	if c.state.CompareAndSwap(connIdle, connClosing) {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// awaitByte blocks until the connection has a byte to read. While it is idle, it is bounded by the
// idle timeout, which may have been raised since the connection became idle, and by CloseIdle.
func (c *serverConn) awaitByte() error {
	for {
		_, err := c.reader.Peek(1)
		if err == nil || !isTimeout(err) {
			return err
		}
		again, last := c.extendIdle()
		if last {
			_, err = c.reader.Peek(1)
		}
		if last || !again {
			return err
		}
	}
}

// extendIdle sets a later read deadline for an idle connection whose deadline has passed, and reports whether it is to
// be read again, and for the last time.
func (c *serverConn) extendIdle() (again, last bool) {
	c.phase.Lock()
	defer c.phase.Unlock()
	now := time.Now()
	switch c.state.Load() {
	case connClosing:
		_ = c.conn.SetReadDeadline(now.Add(lastLook))
		return true, true
	case connIdle:
		deadline := c.idleSince.Add(c.server.options.Limits().IdleTimeout)
		if deadline.After(now) {
			_ = c.conn.SetReadDeadline(deadline)
			return true, false
		}
	}
	return false, false
}

// serveRequest reads and handles one request. It returns false when the connection must be
// closed.
func (c *serverConn) serveRequest() bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	body, ok := c.readRequest(request)
	if !ok {
		return false
	}
	defer c.held.Release(cap(body))
	r := &Request{
		Header:  &request.Header,
		Body:    body,
		Target:  string(request.Header.RequestURI()),
		Arrived: time.Now(),
		Held:    c.held,
	}
	ctx, cancel := c.beginHandling()
	defer c.endHandling()
	w := &Writer{
		conn: c.conn, bodyless: request.Header.IsHead(), unchunked: !request.Header.IsHTTP11(),
		close: request.Header.ConnectionClose(), draining: &c.server.draining, held: c.held,
	}
	done := make(chan struct{})
	c.server.active.Add(1)
	go func() {
		defer close(done)
		defer c.server.active.Add(-1)
		c.server.options.Handler(ctx, r, w)
		w.closeUnfinished()
		if w.close {
			_ = c.conn.SetReadDeadline(time.Now()) // Nothing more is read.
			return
		}
		c.beginIdle()
	}()
	err := c.awaitByte()
	if err != nil {
		cancel(nil) // The caller closed the connection, so that nobody reads the response.
	}
	<-done
	if w.close && w.finished {
		memory.Linger(c.conn, c.held)
	}
	return err == nil && !w.close
}

// beginHandling returns the context of a request that has been read.
func (c *serverConn) beginHandling() (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c.phase.Lock()
	defer c.phase.Unlock()
	c.cancel, c.reading = cancel, false
	_ = c.conn.SetReadDeadline(time.Time{})
	if c.server.aborting.Load() {
		cancel(ErrAborted)
	}
	return ctx, cancel
}

func (c *serverConn) endHandling() {
	c.phase.Lock()
	defer c.phase.Unlock()
	c.cancel(nil)
	c.cancel = nil
}

// abort ends the request that is being handled, or the reading of one.
func (c *serverConn) abort() {
	c.phase.Lock()
	defer c.phase.Unlock()
	switch {
	case c.cancel != nil:
		c.cancel(ErrAborted)
	case c.reading:
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// limitReading limits the time to read the next part of a request.
func (c *serverConn) limitReading(d time.Duration) {
	c.phase.Lock()
	defer c.phase.Unlock()
	c.reading = true
	if c.server.aborting.Load() || c.gaveWay {
		d = 0
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
}

// readRequest reads one request and returns its body. It returns false if it rejected the request or the
// caller disconnected.
func (c *serverConn) readRequest(request *fasthttp.Request) (body []byte, ok bool) {
	limits := c.server.options.Limits()
	c.held.SetState(memory.Reading)
	c.limitReading(limits.HeaderTimeout)
	if err := c.awaitHeader(limits.HeaderBytes); err != nil {
		c.rejectHeader(err)
		return nil, false
	}
	if err := request.Header.Read(c.reader); err != nil {
		c.rejectHeader(err)
		return nil, false
	}
	if AmbiguousLength(&request.Header) {
		c.reject(fasthttp.StatusBadRequest, Malformed, &request.Header)
		return nil, false
	}
	if request.Header.ContentLength() > limits.BodyBytes {
		c.reject(fasthttp.StatusRequestEntityTooLarge, BodyTooLarge, &request.Header)
		return nil, false
	}
	return c.readBody(request, limits)
}

// awaitHeader blocks until a complete request header is buffered. If the limit has been raised since
// the read buffer was created, the buffer grows when a header needs it.
func (c *serverConn) awaitHeader(limit int) error {
	for {
		err := awaitHeader(c.reader, limit)
		if !errors.Is(err, bufio.ErrBufferFull) || c.reader.Size() >= limit {
			return err
		}
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c.conn), limit)
	}
}

// readBody reads the body of a request, with room of the account. What is held on return is the capacity
// of the body.
func (c *serverConn) readBody(request *fasthttp.Request, limits Limits) (body []byte, ok bool) {
	length := request.Header.ContentLength()
	if length == 0 || length == -2 { // Without a framing there is no body.
		return nil, c.begin(request)
	}
	if request.MayContinue() {
		if _, err := c.conn.Write([]byte(continueResponse)); err != nil {
			return nil, false // The caller has disconnected.
		}
	}
	c.limitReading(limits.BodyTimeout)
	err := request.ContinueReadBodyStream(c.reader, limits.BodyBytes, false)
	if err == nil {
		body, err = memory.ReadBody(request.BodyStream(), c.held, length, limits.BodyBytes)
	}
	if err == nil && c.begin(request) {
		return body, true
	}
	c.held.Release(cap(body))
	switch {
	case err == nil: // Rejected by begin.
	case errors.Is(err, memory.ErrTooLarge):
		c.reject(fasthttp.StatusRequestEntityTooLarge, BodyTooLarge, &request.Header)
	case errors.Is(err, memory.ErrNoRoom) || isTimeout(err) && c.held.GaveWay():
		c.reject(fasthttp.StatusServiceUnavailable, NoRoom, &request.Header)
	case isTimeout(err):
		c.reject(fasthttp.StatusRequestTimeout, TooSlow, &request.Header)
	case isDisconnect(err):
	default:
		c.reject(fasthttp.StatusBadRequest, Malformed, &request.Header)
	}
	return nil, false
}

// begin marks a request that has been read as running, from when on it does not give way. It rejects the
// request if that had to give way before.
func (c *serverConn) begin(request *fasthttp.Request) bool {
	if c.held.SetState(memory.Running) {
		return true
	}
	c.reject(fasthttp.StatusServiceUnavailable, NoRoom, &request.Header)
	return false
}

func (c *serverConn) rejectHeader(err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var nothingRead fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &smallBuffer), errors.Is(err, bufio.ErrBufferFull), errors.Is(err, errHeaderTooLarge):
		c.reject(fasthttp.StatusRequestHeaderFieldsTooLarge, HeaderTooLarge, nil)
	case isTimeout(err) && c.held.GaveWay():
		c.reject(fasthttp.StatusServiceUnavailable, NoRoom, nil)
	case isTimeout(err):
		c.reject(fasthttp.StatusRequestTimeout, TooSlow, nil)
	case errors.As(err, &nothingRead), isDisconnect(err):
	default:
		c.reject(fasthttp.StatusBadRequest, Malformed, nil)
	}
}

// reject sends an error response to a request that was not read completely. The response
// repeats nothing of a header that was not read, which may contain an API key anywhere.
func (c *serverConn) reject(status int, reason RejectReason, header *fasthttp.RequestHeader) {
	c.phase.Lock()
	c.reading = false
	c.phase.Unlock()
	rejection := c.server.options.OnReject(c.conn.RemoteAddr(), status, reason, header)
	w := &Writer{conn: c.conn, close: true, draining: &c.server.draining}
	fields := append([]Field{{Name: "Content-Type", Value: "application/json"}}, rejection.Fields...)
	if rejection.RetryAfter > 0 {
		fields = append(fields, Field{Name: "Retry-After", Value: strconv.FormatFloat(rejection.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	if w.WriteResponse(rejection.Status, fields, rejection.Body) != nil {
		return
	}
	memory.Linger(c.conn, c.held)
}
