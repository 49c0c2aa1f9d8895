package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/memory"
)

// maxQueuedChunks is the maximum number of chunks queued for writing to the connection.
const maxQueuedChunks = 16

// responseHead is the status and content type of a response that has started.
type responseHead struct {
	status      int
	contentType string
}

// bufferedResponse buffers a response that is sent in one piece.
type bufferedResponse struct {
	held *memory.Holder
	head responseHead
	body bytes.Buffer
}

// Begin implements dispatch.Sink.
func (r *bufferedResponse) Begin(status int, contentType string) {
	r.head = responseHead{status, contentType}
}

// Write implements dispatch.Sink.
func (r *bufferedResponse) Write(p []byte) error {
	r.held.Hold(len(p)) // The request has run; others give way.
	r.body.Write(p)
	return nil
}

// streamedResponse passes chunks from the dispatcher to the HTTP server. The dispatcher
// writes to it as a dispatch.Sink; the server reads it as the response body.
type streamedResponse struct {
	conn         net.Conn
	held         *memory.Holder
	writeTimeout time.Duration
	// ctx ends when the caller has disconnected or the server has closed the body.
	ctx    context.Context
	cancel context.CancelFunc

	started chan responseHead
	chunks  chan []byte
	// taken has an element if a chunk was taken out of chunks since the last wait for room.
	taken     chan struct{}
	remaining []byte
	// endsWithClose is set if the caller uses HTTP/1.0 and takes an orderly close for the end.
	endsWithClose bool
	// lost is true if a chunk was not queued; the dispatcher sets it before it finishes.
	lost bool

	finishOnce sync.Once
	finished   chan struct{}
	result     dispatch.Result
}

func newStreamedResponse(ctx context.Context, cancel context.CancelFunc, conn net.Conn, writeTimeout time.Duration) *streamedResponse {
	return &streamedResponse{
		conn:         conn,
		held:         memory.HolderOf(conn),
		taken:        make(chan struct{}, 1),
		writeTimeout: writeTimeout,
		ctx:          ctx,
		cancel:       cancel,
		started:      make(chan responseHead, 1),
		chunks:       make(chan []byte, maxQueuedChunks),
		finished:     make(chan struct{}),
	}
}

// Begin implements dispatch.Sink.
func (r *streamedResponse) Begin(status int, contentType string) {
	r.started <- responseHead{status, contentType}
}

// Write implements dispatch.Sink. Without room in the account it waits until the caller has taken what is
// queued, so that the endpoint sends no more.
func (r *streamedResponse) Write(p []byte) error {
	for !r.held.Reserve(len(p)) && len(r.chunks) > 0 {
		select {
		case <-r.taken:
		case <-r.ctx.Done():
			r.lost = true
			return failure.New(failure.ClientGone, "the caller left")
		}
	}
	select {
	case r.chunks <- bytes.Clone(p):
		return nil
	case <-r.ctx.Done():
		r.lost = true
		return failure.New(failure.ClientGone, "the caller left")
	}
}

// finish sets the result; Write must not be called after it.
func (r *streamedResponse) finish(result dispatch.Result) {
	r.finishOnce.Do(func() {
		r.result = result
		close(r.finished)
	})
}

// Read implements io.Reader for the server. It returns io.EOF only for a response that
// completed or ended with an error event. Any other end closes the connection, so that
// a truncated response never looks complete; one that ends with the connection resets it.
func (r *streamedResponse) Read(p []byte) (int, error) {
	// The deadline applies to the write that follows, which may be that of the end; the
	// complete response has none.
	defer func() {
		r.held.Mark(memory.Writing)
		_ = r.conn.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	}()
	r.held.Mark(memory.Running)
	for len(r.remaining) == 0 {
		chunk, err := r.next()
		if r.endsWithClose {
			httpio.ResetAtClose(r.conn, !errors.Is(err, io.EOF))
		}
		if err != nil {
			return 0, err
		}
		r.remaining = chunk
		r.held.Release(len(chunk))
		select {
		case r.taken <- struct{}{}:
		default: // The writer has not looked since the last one.
		}
	}
	n := copy(p, r.remaining)
	r.remaining = r.remaining[n:]
	return n, nil
}

func (r *streamedResponse) next() ([]byte, error) {
	select {
	case chunk := <-r.chunks:
		return chunk, nil
	default:
	}
	select {
	case chunk := <-r.chunks:
		return chunk, nil
	case <-r.ctx.Done():
		return nil, failure.New(failure.ClientGone, "the caller left")
	case <-r.finished:
		return r.nextAfterFinish()
	}
}

// nextAfterFinish returns the remaining queued chunks, then the error of the response or io.EOF.
func (r *streamedResponse) nextAfterFinish() ([]byte, error) {
	select {
	case chunk := <-r.chunks:
		return chunk, nil
	default:
	}
	if r.lost {
		return nil, failure.New(failure.ClientGone, "the caller left")
	}
	if r.result.Failure != nil && !r.result.ErrorEventSent {
		return nil, r.result.Failure
	}
	return nil, io.EOF
}

// Close implements io.Closer; the server calls it when it has finished with the response.
func (r *streamedResponse) Close() error {
	r.cancel()
	return nil
}
