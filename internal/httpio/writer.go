package httpio

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/primrosewell/primrosewell/internal/memory"
)

// maxCopiedBody is the size in bytes up to which a response body is copied behind its header, so that
// both take one packet.
const maxCopiedBody = 16 << 10

// writeTimeout limits the duration of each write. It ends a response whose caller does not read.
const writeTimeout = 10 * time.Second

// Errors returned by Writer if a call does not fit what has been sent. Nothing is sent then.
var (
	// ErrResponseStarted means that the response has been started already.
	ErrResponseStarted = errors.New("the response has been started already")
	// ErrNoStream means that no stream is in progress.
	ErrNoStream = errors.New("no stream is in progress")
)

// Field is a header field of a response.
type Field struct {
	Name, Value string
}

// Writer sends the response to one request: either WriteResponse, or StartStream,
// WriteChunk and Finish. If the handler returns without finishing the response, the
// connection is closed, so that the caller can't take the response for complete. A Writer
// must be used by one goroutine only.
type Writer struct {
	conn     net.Conn
	held     *memory.Holder
	buffer   []byte
	close    bool
	draining *atomic.Bool
	// bodyless is set for responses to HEAD, and from the header on for a status without a body.
	bodyless bool
	// unchunked is set for callers that use HTTP/1.0, whose streams end with the connection.
	unchunked bool
	started   bool
	// streaming is set while chunks may follow.
	streaming bool
	finished  bool
}

// Started reports whether sending of the response has started.
func (w *Writer) Started() bool { return w.started }

// WriteResponse sends a complete response.
func (w *Writer) WriteResponse(status int, fields []Field, body []byte) error {
	if w.started {
		return ErrResponseStarted
	}
	w.appendHeader(status, fields)
	if w.bodyless {
		body = nil
	} else {
		w.buffer = append(w.buffer, "Content-Length: "...)
		w.buffer = strconv.AppendInt(w.buffer, int64(len(body)), 10)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.buffer = append(w.buffer, "\r\n"...)
	w.finished = true
	if len(body) <= maxCopiedBody {
		w.buffer, body = append(w.buffer, body...), nil
	}
	return w.send(body)
}

// StartStream sends the header of a chunked response together with its first bytes.
func (w *Writer) StartStream(status int, fields []Field, first []byte) error {
	if w.started {
		return ErrResponseStarted
	}
	w.streaming = true
	w.close = w.close || w.unchunked
	if w.unchunked {
		ResetAtClose(w.conn, true)
	}
	w.appendHeader(status, fields)
	if !w.bodyless && !w.unchunked {
		w.buffer = append(w.buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	w.buffer = append(w.buffer, "\r\n"...)
	w.appendChunk(first)
	return w.flush()
}

// WriteChunk sends data as the next chunk, without buffering.
func (w *Writer) WriteChunk(data []byte) error {
	if !w.streaming {
		return ErrNoStream
	}
	w.appendChunk(data)
	return w.flush()
}

// Finish sends the last chunk, which ends a stream.
func (w *Writer) Finish() error {
	if !w.streaming {
		return ErrNoStream
	}
	w.streaming = false
	if !w.bodyless && !w.unchunked {
		w.buffer = append(w.buffer, "0\r\n\r\n"...)
	}
	w.finished = true
	err := w.flush()
	if w.unchunked && err == nil {
		ResetAtClose(w.conn, false)
	}
	return err
}

func (w *Writer) appendChunk(data []byte) {
	if len(data) == 0 || w.bodyless {
		return
	}
	if w.unchunked {
		w.buffer = append(w.buffer, data...)
		return
	}
	w.buffer = strconv.AppendInt(w.buffer, int64(len(data)), 16)
	w.buffer = append(w.buffer, "\r\n"...)
	w.buffer = append(w.buffer, data...)
	w.buffer = append(w.buffer, "\r\n"...)
}

func (w *Writer) appendHeader(status int, fields []Field) {
	w.started = true
	w.bodyless = w.bodyless || status == http.StatusNoContent || status == http.StatusNotModified
	w.close = w.close || w.draining.Load()
	w.buffer = append(w.buffer, "HTTP/1.1 "...)
	w.buffer = strconv.AppendInt(w.buffer, int64(status), 10)
	w.buffer = append(w.buffer, ' ')
	w.buffer = append(w.buffer, http.StatusText(status)...)
	w.buffer = append(w.buffer, "\r\n"...)
	w.buffer = appendFields(w.buffer, fields)
	if w.close {
		w.buffer = append(w.buffer, "Connection: close\r\n"...)
	}
}

func appendFields(buffer []byte, fields []Field) []byte {
	for _, f := range fields {
		buffer = append(buffer, f.Name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, f.Value...)
		buffer = append(buffer, "\r\n"...)
	}
	return buffer
}

func (w *Writer) flush() error { return w.send(nil) }

// send writes what is buffered, and a body behind it.
func (w *Writer) send(body []byte) error {
	if len(w.buffer) == 0 {
		return nil
	}
	w.held.Mark(memory.Writing)
	defer w.held.Mark(memory.Running)
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.conn.Write(w.buffer)
	if err == nil && len(body) > 0 {
		_, err = w.conn.Write(body)
	}
	w.buffer = w.buffer[:0]
	if err != nil {
		w.close, w.streaming = true, false // A part of the bytes may have been sent.
	}
	return err
}

// closeUnfinished closes the connection if the response is not finished.
func (w *Writer) closeUnfinished() {
	if !w.finished {
		w.close = true
		_ = w.conn.Close()
	}
}
