package httpio

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httphead"
)

// maxInlineBodyBytes is the largest request body that is written before the response is
// read. A longer body is written concurrently with reading the response: an endpoint may
// respond, and stop reading, before it has read the complete body.
const maxInlineBodyBytes = 16 << 10

// maxInformationalResponses limits how many informational (1xx) responses may precede a
// response. Endpoints send one or two: 100 Continue and 103 Early Hints.
const maxInformationalResponses = 8

// maxSkippedResponses limits how many responses to earlier requests one exchange discards.
const maxSkippedResponses = 2

// maxSkippedBytes limits the body of a response to an earlier request that one exchange
// discards. Above it a new connection costs less than the rest of the body.
const maxSkippedBytes = 256 << 10

// discardTimeout bounds the time in which a body that nobody reads has to arrive. It mostly
// arrives with its header; after that a new connection costs less than the wait.
const discardTimeout = 50 * time.Millisecond

// requestEndTimeout bounds the wait for the end of a request body whose response has ended with the
// connection. An endpoint that still reads takes a body of the default limit (4 MiB) in it at 34 Mbit/s.
const requestEndTimeout = time.Second

// maxTrailerBytes limits the trailer of a chunked body, which is discarded.
const maxTrailerBytes = readBufferBytes

// errTrailerTooLong means that the trailer of a chunked body exceeds maxTrailerBytes.
var errTrailerTooLong = errors.New("the trailer is too long")

// Errors returned by Conn.Exchange.
var (
	// ErrMalformed means that the received bytes are not an HTTP response, or not surely one alone.
	ErrMalformed = errors.New("malformed answer")
	// ErrResponseMismatch means that no response received is known to belong to the request.
	ErrResponseMismatch = errors.New("answer to another request")
)

// Response is an endpoint's response. It is complete only when Body has been read until
// io.EOF.
type Response struct {
	Header fasthttp.ResponseHeader
	Body   io.Reader
	// Length is the length of the body in bytes, or negative if it is not known in advance.
	Length int
	// Identified is set if the response echoes the request's id.
	Identified bool
	// Skipped is the number of responses to other requests that came before this one.
	Skipped int

	conn *Conn
	// detach ends the effect of the exchange's context on the connection.
	detach func()
	// headRequest is set for responses to HEAD, which state a length but have no body.
	headRequest bool
	// writeDone is closed when the goroutine that writes a long body has ended; it is nil for a
	// short body, which has been written when the response is read.
	writeDone chan struct{}
	writeErr  error
	complete  bool
	reusable  bool
}

// Exchange sends a request, given as its header block and body, and reads the header of
// the response whose field idField echoes id. A response without that field is accepted only
// if the connection carried no request before, and the connection is not reused. Reads and
// writes fail once ctx is cancelled, until the response is released. After an error the
// endpoint may have run the request, and the connection is closed. The body must not change
// until Exchange has failed or the response is released.
func (c *Conn) Exchange(ctx context.Context, head, body []byte, idField, id string) (*Response, error) {
	response := &Response{conn: c, headRequest: bytes.HasPrefix(head, []byte("HEAD "))}
	response.detach = c.cancelWith(ctx)
	if err := response.exchange(head, body, idField, id); err != nil {
		response.detach()
		response.abort()
		return nil, err
	}
	return response, nil
}

// cancelWith makes reads and writes fail once ctx is cancelled, until detach is called. After
// detach the deadline is no longer changed: a late change would hit the next request.
func (c *Conn) cancelWith(ctx context.Context) (detach func()) {
	cancelled := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
		close(cancelled)
	})
	return func() {
		if !stop() {
			<-cancelled
		}
	}
}

// exchange sends the request and reads the header of its response.
func (response *Response) exchange(head, body []byte, idField, id string) error {
	c := response.conn
	c.recordSentID(id)
	if len(body) <= maxInlineBodyBytes {
		if _, err := c.Write(append(head, body...)); err != nil {
			return err
		}
	} else {
		response.writeDone = make(chan struct{})
		go func() {
			defer close(response.writeDone)
			request := net.Buffers{head, body}
			_, response.writeErr = request.WriteTo(c.Conn)
		}()
	}
	return response.readMatchingHeader(idField, id)
}

// readMatchingHeader reads response headers until one belongs to the request, and discards
// responses to earlier requests on this connection.
func (response *Response) readMatchingHeader(idField, id string) error {
	for range maxSkippedResponses + 1 {
		if err := response.readFinalHeader(); err != nil {
			return err
		}
		if len(response.Header.PeekAll(idField)) > 1 {
			return fmt.Errorf("%w: more than one request id", ErrMalformed)
		}
		switch echoed := string(response.Header.Peek(idField)); {
		case echoed == "" && response.conn.Uses() > 1:
			return ErrResponseMismatch // It may be a late response to an earlier request.
		case echoed == "" || echoed == id:
			response.Identified = echoed != ""
			response.setBody(response.headRequest)
			response.reusable = response.reusable && response.Identified && !response.headRequest
			return nil
		}
		response.setBody(false) // No connection that carried HEAD is reused.
		response.Skipped++
		if err := response.discardBody(); err != nil {
			return err
		}
	}
	return ErrResponseMismatch
}

// discardBody reads the body of a response to another request.
func (response *Response) discardBody() error {
	if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes+1); err == nil {
		return ErrResponseMismatch
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	response.complete = false
	return nil
}

// readFinalHeader reads the next response header that is not informational (1xx).
func (response *Response) readFinalHeader() error {
	for range maxInformationalResponses + 1 {
		err := readHeader(response.conn.reader, &response.Header)
		if err != nil {
			return err
		}
		switch code := response.Header.StatusCode(); {
		case code >= fasthttp.StatusOK:
			return nil
		case code == fasthttp.StatusSwitchingProtocols:
			return fmt.Errorf("%w: no request asks for another protocol", ErrMalformed)
		}
	}
	return fmt.Errorf("%w: too many informational responses", ErrMalformed)
}

// setBody sets Body and Length according to the framing stated in the header, and to whether
// the response is one to HEAD.
func (response *Response) setBody(toHead bool) {
	response.Length = response.Header.ContentLength()
	status := response.Header.StatusCode()
	response.reusable = !response.Header.ConnectionClose()
	switch {
	case toHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || response.Length == 0:
		response.Length, response.Body = 0, response.trackEOF(bytes.NewReader(nil))
	case response.Length > 0:
		response.Body = response.trackEOF(&fixedLengthReader{r: response.conn.reader, remaining: response.Length})
	case response.Length == -1:
		response.Body = response.trackEOF(&chunkedReader{r: response.conn.reader, chunks: httputil.NewChunkedReader(response.conn.reader)})
	default:
		response.reusable = false
		response.Body = response.trackEOF(&connectionReader{r: response.conn.reader, requestEnded: response.requestEnded})
	}
}

// Framing says what ends the body of a response.
type Framing string

// Values of Framing.
const (
	// FramedByLength means that the header states the length, or that the response has no body.
	FramedByLength Framing = "length"
	// FramedByChunks means that the last chunk ends the body.
	FramedByChunks Framing = "chunks"
	// FramedByConnection means that the body ends when the endpoint closes the connection, so that
	// the framing can't tell a whole body from one that was broken off by an orderly close.
	FramedByConnection Framing = "connection"
)

// Framing returns what ends the body.
func (response *Response) Framing() Framing {
	switch {
	case response.Length >= 0:
		return FramedByLength
	case response.Length == -1:
		return FramedByChunks
	}
	return FramedByConnection
}

// trackEOF wraps r so that the response is marked complete when r returns io.EOF.
func (response *Response) trackEOF(r io.Reader) io.Reader {
	return &eofTracker{r: r, response: response}
}

// KeepAliveTimeout returns the timeout parameter of the Keep-Alive header, at most
// maxIdleTimeout, or zero if the endpoint stated none.
func (response *Response) KeepAliveTimeout() time.Duration {
	for _, part := range strings.Split(string(response.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(min(seconds, int(maxIdleTimeout/time.Second))) * time.Second
		}
	}
	return 0
}

// CloseWhenReleased makes Release close the connection.
func (response *Response) CloseWhenReleased() { response.reusable = false }

// Discard reads the rest of a body that is not needed, so that the connection can be reused. If
// it does not arrive at once, the connection is closed when the response is released.
func (response *Response) Discard() {
	_ = response.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, response.Body, maxSkippedBytes) // After an error the response is not complete.
}

// Release returns the connection to the dialer if the exchange ended cleanly, and closes
// it otherwise.
func (response *Response) Release(d *Dialer, address string) {
	response.detach()
	if !response.connReusable() {
		response.abort()
		return
	}
	if keepAlive := response.KeepAliveTimeout(); keepAlive > 0 {
		response.conn.idleTimeout = max(keepAlive-idleMargin, keepAlive/4)
	}
	d.Put(address, response.conn)
}

// connReusable reports whether nothing of the exchange is left on the connection, and another
// request may be sent on it.
func (response *Response) connReusable() bool {
	return response.complete && response.reusable && response.requestWritten() &&
		response.conn.reader.Buffered() == 0 && response.conn.Uses() < maxRequestsPerConn
}

// abort closes the connection and waits until the request body is no longer read.
func (response *Response) abort() {
	_ = response.conn.Close()
	if response.writeDone != nil {
		<-response.writeDone
	}
}

// requestWritten reports whether the complete request has been written.
func (response *Response) requestWritten() bool {
	if response.writeDone == nil {
		return true
	}
	select {
	case <-response.writeDone:
		return response.writeErr == nil
	default: // The endpoint responded early; it must not read the rest of the body as a new request.
		return false
	}
}

// requestEnded waits for at most requestEndTimeout until the request has been written, and reports
// whether it was written completely.
func (response *Response) requestEnded() bool {
	if response.writeDone != nil {
		timer := time.NewTimer(requestEndTimeout)
		defer timer.Stop()
		select {
		case <-response.writeDone:
		case <-timer.C:
		}
	}
	return response.requestWritten()
}

// eofTracker marks its response as complete when r returns io.EOF.
type eofTracker struct {
	r        io.Reader
	response *Response
}

func (e *eofTracker) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err == io.EOF {
		e.response.complete = true
	}
	return n, err
}

// fixedLengthReader reads a body of known length and returns io.ErrUnexpectedEOF if it
// ends early.
type fixedLengthReader struct {
	r         io.Reader
	remaining int
}

func (e *fixedLengthReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(p[:min(len(p), e.remaining)])
	e.remaining -= n
	if err == io.EOF && e.remaining > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// connectionReader reads a body that ends with the connection. It returns io.ErrUnexpectedEOF unless
// the request has been written without an error: Linux reports a reset to one call alone, and if that
// is the concurrent write of the request, a read finds what looks like an orderly end.
type connectionReader struct {
	r            io.Reader
	requestEnded func() bool
}

func (c *connectionReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if err == io.EOF && !c.requestEnded() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader reads a chunked body and discards the trailer.
type chunkedReader struct {
	r      *bufio.Reader
	chunks io.Reader
	ended  bool
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	return n, c.discardTrailer()
}

// discardTrailer reads the trailer and returns io.EOF after its end.
func (c *chunkedReader) discardTrailer() error {
	lines := httphead.NewTrailerScanner()
	for total := 0; total <= maxTrailerBytes; {
		line, err := c.r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		_, ended, err := lines.Scan(line)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if ended {
			c.ended = true
			return io.EOF
		}
		total += len(line)
	}
	return errTrailerTooLong
}
