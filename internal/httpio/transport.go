package httpio

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/primrosewell/primrosewell/internal/httphead"
)

// MaxHeadBytes is a limit for the heads of responses that are no endpoint's: those of the platform, of
// peers and of carriers. Their fields take some hundred bytes; an intermediary adds a few more.
const MaxHeadBytes = 16 << 10

// Transport is an http.Transport that returns no response with a malformed head (see httphead). Its errors
// and those of a body with a malformed trailer wrap ErrMalformed then.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that takes maxHeadBytes for the head of a response, together with the
// informational ones before it. base must have a DialContext, and must not be used otherwise.
func NewTransport(base *http.Transport, maxHeadBytes int) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn, heads: headReader{r: conn, limit: maxHeadBytes}}, nil
	}
	base.MaxResponseHeaderBytes = int64(maxHeadBytes)
	return &Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	checked := false
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		var conn *headConn
		if conn, checked = info.Conn.(*headConn); checked {
			conn.heads.expectHead()
		}
	}})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if !checked { // The bytes below TLS are not those of a head.
		err = checkFields(response.Header)
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &trailerReader{ReadCloser: response.Body, trailer: &response.Trailer}
	return response, nil
}

// checkFields checks fields that a parser has accepted.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		for _, value := range values {
			if err := httphead.CheckField(name, value); err != nil {
				return fmt.Errorf("%w: %w", ErrMalformed, err)
			}
		}
	}
	return nil
}

// trailerReader reads a body that does not end with a malformed trailer.
type trailerReader struct {
	io.ReadCloser
	// trailer is filled at the end of the body.
	trailer *http.Header
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkFields(*t.trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// headConn is a connection of a Transport.
type headConn struct {
	net.Conn
	heads headReader
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) { return c.heads.Read(p) }

// NetConn returns the connection below.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// headReader passes on the bytes of responses, and ends in place of a head's last line if the head is
// malformed.
type headReader struct {
	r     io.Reader
	limit int
	// expected is set by expectHead.
	expected atomic.Bool

	reading bool
	lines   httphead.Scanner
	// line is the beginning of a line, and size the bytes of the heads of this response before it.
	line []byte
	size int
}

// NewHeadReader returns a reader of one response, whose head is checked as in a Transport.
func NewHeadReader(r io.Reader, maxHeadBytes int) io.Reader {
	h := &headReader{r: r, limit: maxHeadBytes}
	h.expectHead()
	return h
}

// expectHead says that the bytes that are read from now on begin with a head.
func (h *headReader) expectHead() { h.expected.Store(true) }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if h.expected.Swap(false) && !h.reading {
		h.reading, h.lines, h.size = true, httphead.Scanner{}, 0
	}
	if !h.reading {
		return n, err
	}
	if malformed := h.check(p[:n]); malformed != nil {
		return 0, fmt.Errorf("%w: %w", ErrMalformed, malformed)
	}
	return n, err
}

// check checks the next bytes, until the final head has ended.
func (h *headReader) check(p []byte) error {
	h.line = append(h.line, p...)
	for {
		n, ended, err := h.lines.Scan(h.line)
		if err != nil {
			return err
		}
		h.line = h.line[n:]
		h.size += n
		switch {
		case ended && !h.lines.Informational():
			h.reading, h.line = false, nil
			return h.checkSize(0)
		case !ended:
			return h.checkSize(len(h.line))
		}
		h.lines = httphead.Scanner{}
	}
}

// checkSize fails if the heads are too long together with further bytes.
func (h *headReader) checkSize(further int) error {
	if h.size+further > h.limit {
		return errHeadTooLong
	}
	return nil
}
