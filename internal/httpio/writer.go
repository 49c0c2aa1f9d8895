package httpio

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// writeStall ends an answer whose caller takes no bytes for so long.
const writeStall = 10 * time.Second

// Field is one header field.
type Field struct {
	Name, Value string
}

// Writer sends the answer to one request: Whole, or StartStream, Event and Finish. An
// answer that is not finished closes the connection, so that it can't look complete.
// It is used by one goroutine.
type Writer struct {
	conn     net.Conn
	buffer   []byte
	close    bool
	draining *atomic.Bool
	// bodiless is set for answers to HEAD.
	bodiless bool
	started  bool
	finished bool
}

// Started reports whether a byte of the answer has been sent.
func (w *Writer) Started() bool { return w.started }

// Whole sends a complete answer.
func (w *Writer) WriteResponse(status int, fields []Field, body []byte) error {
	w.head(status, fields)
	if !w.bodiless && status != http.StatusNoContent && status != http.StatusNotModified {
		w.buffer = append(w.buffer, "Content-Length: "...)
		w.buffer = strconv.AppendInt(w.buffer, int64(len(body)), 10)
		w.buffer = append(w.buffer, "\r\n"...)
	}
	w.buffer = append(w.buffer, "\r\n"...)
	if !w.bodiless {
		w.buffer = append(w.buffer, body...)
	}
	w.finished = true
	return w.flush()
}

// StartStream sends the header of an answer of unknown length together with its first bytes.
func (w *Writer) StartStream(status int, fields []Field, first []byte) error {
	w.head(status, fields)
	w.buffer = append(w.buffer, "Transfer-Encoding: chunked\r\n\r\n"...)
	w.chunk(first)
	return w.flush()
}

// Event sends the next bytes at once.
func (w *Writer) WriteChunk(data []byte) error {
	w.chunk(data)
	return w.flush()
}

// Finish marks a stream as complete.
func (w *Writer) Finish() error {
	w.buffer = append(w.buffer, "0\r\n\r\n"...)
	w.finished = true
	return w.flush()
}

func (w *Writer) chunk(data []byte) {
	if len(data) == 0 {
		return
	}
	w.buffer = strconv.AppendInt(w.buffer, int64(len(data)), 16)
	w.buffer = append(w.buffer, "\r\n"...)
	w.buffer = append(w.buffer, data...)
	w.buffer = append(w.buffer, "\r\n"...)
}

func (w *Writer) head(status int, fields []Field) {
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

func (w *Writer) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}
	w.started = true
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeStall))
	_, err := w.conn.Write(w.buffer)
	w.buffer = w.buffer[:0]
	if err != nil {
		w.close = true
	}
	return err
}

// end closes the connection under an answer that was left unfinished.
func (w *Writer) end() {
	if !w.finished {
		w.close = true
		_ = w.conn.Close()
	}
}
