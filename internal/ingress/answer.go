package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// queuedChunks bounds the chunks that wait for the connection to take them.
const queuedChunks = 16

// head is the status line and type of an answer that has begun.
type head struct {
	status      int
	contentType string
}

// wholeAnswer collects an answer that is sent in one piece.
type wholeAnswer struct {
	head head
	body bytes.Buffer
}

// Begin implements dispatch.Sink.
func (a *wholeAnswer) Begin(status int, contentType string) { a.head = head{status, contentType} }

// Write implements dispatch.Sink.
func (a *wholeAnswer) Write(p []byte) error {
	a.body.Write(p)
	return nil
}

// streamAnswer passes chunks from the dispatcher to the server's writer. It is a
// dispatch.Sink on one side and the response's body reader on the other.
type streamAnswer struct {
	conn  net.Conn
	stall time.Duration
	// gone ends when the caller has left or the server has closed the body.
	gone   context.Context
	cancel context.CancelFunc

	begun  chan head
	chunks chan []byte
	rest   []byte

	finishOnce sync.Once
	finished   chan struct{}
	result     dispatch.Result
}

func newStreamAnswer(ctx context.Context, cancel context.CancelFunc, conn net.Conn, stall time.Duration) *streamAnswer {
	return &streamAnswer{
		conn:     conn,
		stall:    stall,
		gone:     ctx,
		cancel:   cancel,
		begun:    make(chan head, 1),
		chunks:   make(chan []byte, queuedChunks),
		finished: make(chan struct{}),
	}
}

// Begin implements dispatch.Sink.
func (a *streamAnswer) Begin(status int, contentType string) { a.begun <- head{status, contentType} }

// Write implements dispatch.Sink.
func (a *streamAnswer) Write(p []byte) error {
	select {
	case a.chunks <- bytes.Clone(p):
		return nil
	case <-a.gone.Done():
		return failure.New(failure.ClientGone, "the caller left")
	}
}

// finish states the result; nothing is written after it.
func (a *streamAnswer) finish(result dispatch.Result) {
	a.finishOnce.Do(func() {
		a.result = result
		close(a.finished)
	})
}

// Read implements io.Reader for the server. It returns io.EOF only for an answer
// that ended as the dispatcher meant it to; any other end breaks the connection,
// so that a cut answer never looks whole.
func (a *streamAnswer) Read(p []byte) (int, error) {
	for len(a.rest) == 0 {
		chunk, err := a.next()
		if err != nil {
			return 0, err
		}
		a.rest = chunk
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	// The deadline covers the write that follows; there is none on the answer as a whole.
	_ = a.conn.SetWriteDeadline(time.Now().Add(a.stall))
	return n, nil
}

func (a *streamAnswer) next() ([]byte, error) {
	select {
	case chunk := <-a.chunks:
		return chunk, nil
	default:
	}
	select {
	case chunk := <-a.chunks:
		return chunk, nil
	case <-a.gone.Done():
		return nil, failure.New(failure.ClientGone, "the caller left")
	case <-a.finished:
		return a.last()
	}
}

// last returns what was queued before the end, then the end.
func (a *streamAnswer) last() ([]byte, error) {
	select {
	case chunk := <-a.chunks:
		return chunk, nil
	default:
	}
	if a.result.Failure != nil && !a.result.ErrorEventSent {
		return nil, a.result.Failure
	}
	return nil, io.EOF
}

// Close implements io.Closer; the server calls it when the response is done with.
func (a *streamAnswer) Close() error {
	a.cancel()
	return nil
}
