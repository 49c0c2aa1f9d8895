package endpoint

import (
	"errors"
	"io"
	"iter"
	"time"

	"github.com/tmaxmax/go-sse"
)

const (
	maxEventBytes = 1 << 20
	// drainTime bounds the wait for the end of the body after the end mark, so that the
	// connection can be kept.
	drainTime  = 20 * time.Millisecond
	drainBytes = 4 << 10
	doneMark   = "[DONE]"
)

// Stream reads one streamed answer. It is used by one goroutine; Close may follow
// at any time in that goroutine.
type Stream struct {
	x     *exchange
	body  *notingReader
	next  func() (sse.Event, error, bool)
	stop  func()
	check answerCheck
	done  bool
}

func newStream(x *exchange, body io.ReadCloser) *Stream {
	noting := &notingReader{body: body}
	events := sse.Read(noting, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{x: x, body: noting, next: next, stop: stop}
}

// Next returns the next chunk, io.EOF after the end mark of a whole answer, or an
// *Error. An answer that ends in any other way than by its finish reason and the end
// mark is an error.
func (s *Stream) Next() (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	defer s.x.watch()()
	event, err, ok := s.next()
	if !ok || err != nil {
		return Chunk{}, s.cut()
	}
	if event.Data == doneMark {
		return Chunk{}, s.finish()
	}
	chunk, problem := parseChunk(event)
	if problem == "" {
		problem = s.check.add(chunk)
	}
	if problem != "" {
		return Chunk{}, s.x.fail(Malformed, problem)
	}
	if chunk.errorMessage != "" {
		return Chunk{}, s.x.fail(Failed, chunk.errorMessage)
	}
	return chunk, nil
}

// cut explains an answer that ended before its end mark.
func (s *Stream) cut() *Error {
	if s.body.err != nil && !errors.Is(s.body.err, io.EOF) {
		return s.x.classify(s.body.err)
	}
	if s.body.err == nil {
		return s.x.fail(Malformed, "an event is longer than allowed")
	}
	return s.x.fail(Malformed, "the answer ended without its end mark")
}

func (s *Stream) finish() error {
	if !s.check.finished {
		return s.x.fail(Malformed, "the end mark came before the finish reason")
	}
	s.done = true
	return io.EOF
}

// Close ends the call. After a whole answer it waits briefly for the end of the body,
// so that the connection is kept; before that it closes the connection at once.
func (s *Stream) Close() {
	if s.done {
		timer := time.AfterFunc(drainTime, func() { s.x.cancel(nil) })
		_, _ = io.CopyN(io.Discard, s.body, drainBytes)
		timer.Stop()
	}
	s.x.cancel(nil)
	s.stop()
	_ = s.body.body.Close()
}

// notingReader remembers how the body ended.
type notingReader struct {
	body io.ReadCloser
	err  error
}

// Read implements io.Reader.
func (r *notingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}
