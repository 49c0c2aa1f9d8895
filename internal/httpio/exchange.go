package httpio

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// inlineBody is the most body bytes that are written before the answer is read. A
// longer body is written while the answer is awaited: an endpoint may answer, and
// stop reading, before it has read the whole of it.
const inlineBody = 16 << 10

// maxSkippedAnswers bounds the answers to earlier requests that are dropped.
const maxSkippedAnswers = 2

// Errors of an exchange.
var (
	// ErrMalformed means that bytes came that are no answer.
	ErrMalformed = errors.New("malformed answer")
	// ErrStranger means that only answers to other requests came.
	ErrStranger = errors.New("answer to another request")
)

// Answer is the answer of an endpoint. Read the body from Body until io.EOF; only then
// is the answer complete.
type Response struct {
	Header fasthttp.ResponseHeader
	Body   io.Reader
	// Length is the length of the body, or negative if only its end tells.
	Length int

	conn *Conn
	// bodiless is set for answers to HEAD, which state a length and have no body.
	bodiless bool
	sent     chan error
	wrote    bool
	complete bool
	reusable bool
}

// Exchange sends a request, given as its header block and body, and reads the header
// of the answer whose idField echoes id. After an error the endpoint may have run the
// request; the caller closes the connection.
func (c *Conn) Exchange(head, body []byte, idField, id string) (*Response, error) {
	a := &Response{conn: c, bodiless: bytes.HasPrefix(head, []byte("HEAD "))}
	c.carry(id)
	if len(body) <= inlineBody {
		if _, err := c.Write(append(head, body...)); err != nil {
			return nil, err
		}
		a.wrote = true
	} else {
		a.sent = make(chan error, 1)
		go func() {
			_, err := c.Write(append(head, body...))
			a.sent <- err
		}()
	}
	if err := a.readHeader(idField, id); err != nil {
		return nil, err
	}
	return a, nil
}

// readHeader skips answers to earlier requests on this connection.
func (a *Response) readHeader(idField, id string) error {
	for range maxSkippedAnswers + 1 {
		if err := a.readOneHeader(); err != nil {
			return err
		}
		a.frame()
		echoed := string(a.Header.Peek(idField))
		if echoed == "" || echoed == id {
			return nil
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return err
		}
		a.complete = false
	}
	return ErrStranger
}

func (a *Response) readOneHeader() error {
	for {
		a.Header.Reset()
		if _, err := a.conn.reader.Peek(1); err != nil {
			return err // The connection's own error: the parser's would hide it.
		}
		if err := a.Header.Read(a.conn.reader); err != nil {
			if isTimeout(err) || isDisconnect(err) {
				return err
			}
			return errors.Join(ErrMalformed, err)
		}
		if code := a.Header.StatusCode(); code >= 200 {
			return nil
		}
	}
}

// frame sets the body's reader by the framing that the header states.
func (a *Response) frame() {
	a.Length = a.Header.ContentLength()
	status := a.Header.StatusCode()
	a.reusable = !a.Header.ConnectionClose()
	switch {
	case a.bodiless || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || a.Length == 0:
		a.Length, a.Body = 0, a.ending(bytes.NewReader(nil))
	case a.Length > 0:
		a.Body = a.ending(&exactReader{r: a.conn.reader, left: a.Length})
	case a.Length == -1:
		a.Body = a.ending(&chunkReader{r: a.conn.reader, chunks: httputil.NewChunkedReader(a.conn.reader)})
	default:
		a.reusable = false
		a.Body = a.ending(a.conn.reader)
	}
}

func (a *Response) ending(r io.Reader) io.Reader { return &endNoter{r: r, a: a} }

// KeepFor is how long the endpoint said that it keeps the idle connection; zero if it
// said nothing.
func (a *Response) KeepFor() time.Duration {
	for _, part := range strings.Split(string(a.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Release gives the connection back to the dialer if the exchange ended cleanly, and
// closes it otherwise.
func (a *Response) Release(d *Dialer, address string) {
	if !a.complete || !a.reusable || !a.bodyWritten() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	if keep := a.KeepFor(); keep > 0 {
		a.conn.keepFor = max(keep-idleMargin, keep/4)
	}
	d.Put(address, a.conn)
}

func (a *Response) bodyWritten() bool {
	if a.wrote {
		return true
	}
	select {
	case err := <-a.sent:
		a.wrote = err == nil
	default: // The endpoint answered early; the rest must not be read as a next request.
	}
	return a.wrote
}

type endNoter struct {
	r io.Reader
	a *Response
}

func (e *endNoter) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err == io.EOF {
		e.a.complete = true
	}
	return n, err
}

// exactReader reads a body of a stated length; an early end is an error.
type exactReader struct {
	r    io.Reader
	left int
}

func (e *exactReader) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(p[:min(len(p), e.left)])
	e.left -= n
	if err == io.EOF && e.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkReader reads a chunked body and the trailer after it.
type chunkReader struct {
	r      *bufio.Reader
	chunks io.Reader
	ended  bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	for {
		line, err := c.r.ReadSlice('\n')
		if err == io.EOF {
			return n, io.ErrUnexpectedEOF
		}
		if err != nil {
			return n, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			c.ended = true
			return n, io.EOF
		}
	}
}
