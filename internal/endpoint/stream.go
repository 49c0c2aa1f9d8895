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
	// drainTimeout is the maximum wait for the end of the body after the [DONE] marker, so
	// that the engine does not take the call for cancelled.
	drainTimeout  = 20 * time.Millisecond
	maxDrainBytes = 4 << 10
	doneMarker    = "[DONE]"
)

// Stream reads one streamed response. It must be used by one goroutine, which may call
// Close at any time.
type Stream struct {
	exchange  *exchange
	body      *boundedReader
	next      func() (sse.Event, error, bool)
	stop      func()
	validator responseValidator
	complete  bool
	// maxBytes is the maximum length of the response once it has content.
	maxBytes int
}

// newStream returns a stream of at most maxBytes, and of maxPreambleBytes before its first
// content.
func newStream(x *exchange, body io.ReadCloser, maxPreambleBytes, maxBytes int) *Stream {
	recorder := &boundedReader{body: body, limit: min(maxPreambleBytes, maxBytes)}
	events := sse.Read(recorder, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &Stream{exchange: x, body: recorder, next: next, stop: stop, maxBytes: maxBytes}
}

// Next returns the next chunk, io.EOF after the [DONE] marker of a complete response,
// or an *Error. A response that ends without a finish reason followed by the marker is
// an error.
func (s *Stream) Next() (Chunk, error) {
	if s.complete {
		return Chunk{}, io.EOF
	}
	defer s.exchange.startSilenceTimer()()
	event, err, ok := s.next()
	if !ok || err != nil {
		return Chunk{}, s.truncatedError()
	}
	if event.Data == doneMarker {
		return Chunk{}, s.finish()
	}
	chunk, problem := parseChunk(event)
	if problem == "" {
		problem = s.validator.validate(chunk)
	}
	if problem != "" {
		return Chunk{}, s.exchange.responseError(Malformed, problem)
	}
	if chunk.errorMessage != "" {
		return Chunk{}, s.exchange.responseError(Failed, chunk.errorMessage)
	}
	if chunk.HasContent() {
		s.body.limit = s.maxBytes
	}
	return chunk, nil
}

// truncatedError returns the error of a response that ended before its [DONE] marker.
func (s *Stream) truncatedError() *Error {
	if errors.Is(s.body.err, errTooLong) {
		return s.exchange.responseError(Malformed, "the response is longer than allowed")
	}
	if s.body.err != nil && !errors.Is(s.body.err, io.EOF) {
		return s.exchange.classify(s.body.err)
	}
	if s.body.err == nil {
		return s.exchange.responseError(Malformed, "an event is longer than allowed")
	}
	return s.exchange.responseError(Malformed, "the response ended without the [DONE] marker")
}

func (s *Stream) finish() error {
	if !s.validator.finished {
		return s.exchange.responseError(Malformed, "the [DONE] marker came before the finish reason")
	}
	s.complete = true
	return io.EOF
}

// Close ends the call and closes its connection. After a complete response it first waits
// up to drainTimeout for the end of the body.
func (s *Stream) Close() {
	if s.complete {
		timer := time.AfterFunc(drainTimeout, func() { s.exchange.cancel(nil) })
		_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
		timer.Stop()
	}
	s.exchange.cancel(nil)
	s.stop()
	_ = s.body.body.Close()
}

// errTooLong ends a body that is longer than its limit.
var errTooLong = errors.New("the body is longer than allowed")

// boundedReader limits the length of the body and records the error that ended it.
type boundedReader struct {
	body  io.ReadCloser
	read  int
	limit int
	err   error
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		r.err = errTooLong
		return 0, r.err
	}
	n, err := r.body.Read(p[:min(len(p), r.limit-r.read)])
	r.read += n
	if err != nil {
		r.err = err
	}
	return n, err
}
