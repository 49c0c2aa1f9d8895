// Package httpio moves HTTP/1.1 messages over connections: a caller's side that
// notices callers who leave, and an endpoint's side that never reuses a connection in
// doubt. Header parsing is fasthttp's; what is done with a message is decided elsewhere.
package httpio

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTimeout bounds the wait for a caller to read an answer sent before its
	// whole request was read; closing at once would reset the connection.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds what is read and dropped meanwhile.
	lingerBytes = 1 << 20
	// continueLine lets a caller send the body that it announced.
	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
)

// Limits bound what callers may send. Buffers of open connections keep the limit of
// header bytes with which they were made.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
}

// Request is one request of a caller, read whole. It is valid until the handler returns.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Target is the request target as sent: path and query.
	Target string
	// Arrived is when the header had been read.
	Arrived time.Time
}

// Handler answers one request. ctx ends when the caller has left.
type Handler func(ctx context.Context, r *Request, w *Writer)

// RejectReason names why a request was answered without reaching the handler.
type RejectReason string

// Reasons of Options.OnReject.
const (
	HeaderTooLarge RejectReason = "header_too_large"
	BodyTooLarge   RejectReason = "body_too_large"
	Malformed      RejectReason = "malformed"
	TooSlow        RejectReason = "too_slow"
)

// Options configure a Server; all fields are required.
type Options struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// OnReject is told of requests that were answered here.
	OnReject func(remote net.Addr, status int, reason RejectReason)
}

// Server serves callers' connections. Its methods may be called concurrently.
type Server struct {
	options  Options
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining atomic.Bool
	active   atomic.Int64
}

// NewServer returns a server without a listener.
func NewServer(options Options) *Server {
	return &Server{options: options, conns: make(map[*serverConn]struct{})}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				continue
			}
			return err
		}
		go s.serveConn(conn)
	}
}

// Drain makes every answer from now on close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active counts the requests that have not ended.
func (s *Server) Active() int { return int(s.active.Load()) }

// CloseIdle closes the connections on which no request waits for an answer and none
// is being read.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state.CompareAndSwap(connIdle, connClosed) {
			_ = c.conn.Close()
		}
	}
}

// States of a connection.
const (
	connIdle int32 = iota
	connBusy
	connClosed
)

type serverConn struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	state  atomic.Int32
}

func (s *Server) serveConn(conn net.Conn) {
	c := &serverConn{server: s, conn: conn, reader: bufio.NewReaderSize(conn, s.options.Limits().HeaderBytes)}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	_ = conn.SetReadDeadline(time.Now().Add(s.options.Limits().IdleTimeout))
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return // The caller left, or stayed idle for too long.
		}
		if !c.state.CompareAndSwap(connIdle, connBusy) || !c.serveOne() {
			return
		}
	}
}

// serveOne reads and answers one request. It returns false when the connection is done.
func (c *serverConn) serveOne() bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if !c.read(request) {
		return false
	}
	r := &Request{
		Header:  &request.Header,
		Body:    request.Body(),
		Target:  string(request.Header.RequestURI()),
		Arrived: time.Now(),
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &Writer{conn: c.conn, bodiless: request.Header.IsHead(), close: request.Header.ConnectionClose(), draining: &c.server.draining}
	done := make(chan struct{})
	c.server.active.Add(1)
	go func() {
		defer close(done)
		defer c.server.active.Add(-1)
		c.server.options.Handler(ctx, r, w)
		w.end()
		if !w.close {
			c.state.Store(connIdle)
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout))
	}()
	_, err := c.reader.Peek(1)
	if err != nil {
		cancel() // The caller closed its side; nobody reads the answer.
	}
	<-done
	return err == nil && !w.close
}

// read reads one request, or answers why it can't be taken.
func (c *serverConn) read(request *fasthttp.Request) bool {
	limits := c.server.options.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if err := request.Header.Read(c.reader); err != nil {
		c.rejectHeader(err)
		return false
	}
	if AmbiguousLength(&request.Header) {
		c.reject(fasthttp.StatusBadRequest, Malformed)
		return false
	}
	if request.Header.ContentLength() > limits.BodyBytes {
		c.reject(fasthttp.StatusRequestEntityTooLarge, BodyTooLarge)
		return false
	}
	return c.readBody(request, limits)
}

func (c *serverConn) readBody(request *fasthttp.Request, limits Limits) bool {
	length := request.Header.ContentLength()
	if length == 0 || (length == -2 && request.Header.IsGet()) {
		return true
	}
	if request.MayContinue() {
		if _, err := c.conn.Write([]byte(continueLine)); err != nil {
			return false // The caller has left.
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	err := request.ContinueReadBody(c.reader, limits.BodyBytes, false)
	switch {
	case err == nil:
		return true
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.reject(fasthttp.StatusRequestEntityTooLarge, BodyTooLarge)
	case isTimeout(err):
		c.reject(fasthttp.StatusRequestTimeout, TooSlow)
	case isDisconnect(err):
	default:
		c.reject(fasthttp.StatusBadRequest, Malformed)
	}
	return false
}

func (c *serverConn) rejectHeader(err error) {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &small):
		c.reject(fasthttp.StatusRequestHeaderFieldsTooLarge, HeaderTooLarge)
	case isTimeout(err):
		c.reject(fasthttp.StatusRequestTimeout, TooSlow)
	case errors.As(err, &nothing), isDisconnect(err):
	default:
		c.reject(fasthttp.StatusBadRequest, Malformed)
	}
}

// reject answers a request that was not read whole and closes the connection. The
// answer says nothing of what was sent: it may hold a key.
func (c *serverConn) reject(status int, reason RejectReason) {
	c.server.options.OnReject(c.conn.RemoteAddr(), status, reason)
	w := &Writer{conn: c.conn, close: true, draining: &c.server.draining}
	if w.WriteResponse(status, nil, nil) != nil {
		return
	}
	c.linger()
}

func (c *serverConn) linger() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := make([]byte, 4<<10)
	for total := 0; total < lingerBytes; {
		n, err := c.conn.Read(buffer)
		total += n
		if err != nil {
			return
		}
	}
}
