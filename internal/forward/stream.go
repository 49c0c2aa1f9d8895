package forward

import (
	"cmp"
	"errors"
	"io"
	"time"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/eventstream"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// maxEventBytes bounds an event of a resumable stream, which is buffered until it is complete.
const maxEventBytes = 1 << 20

// unaccountedEventBytes is how much of an event is held without asking for room, which the room of the
// caller's connection covers.
const unaccountedEventBytes = 16 << 10

// errNoRoom breaks a stream for whose event there is no room.
var errNoRoom = errors.New("no room for an event")

// errEventTooBig breaks a stream whose connection did not fail.
var errEventTooBig = errors.New("an event exceeds the buffer limit")

// stream is a response that is forwarded as it arrives.
type stream struct {
	*attempt
	response *httpio.Response
	// fields are the header fields that the caller gets if the stream begins here.
	fields []httpio.Field
	// resumable is set if the stream can continue at another endpoint.
	resumable bool
	// reserved is the room that is held for an event that is not complete.
	reserved int
	// position is where the received bytes end.
	position eventstream.Position
}

// forwardStream forwards events as they arrive. Nothing is sent to the caller before the first
// one, so until then a repeatable request can be retried in full at another endpoint; later, a
// resumable stream continues at another endpoint after its last complete event.
func (a *attempt) forwardStream(response *httpio.Response) attemptOutcome {
	s := &stream{
		attempt: a, response: response, fields: a.responseFields(response),
		resumable: a.route.Resumable && a.isEventStream(response),
	}
	defer func() { a.request.Held.Release(s.reserved) }()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			relayErr := s.relay(buffer[:n])
			if errors.Is(relayErr, errNotTheRest) {
				return s.failed(relayErr)
			}
			if relayErr != nil {
				return a.callerDisconnected(true)
			}
		}
		switch {
		case !s.holdPending():
			outcome := s.failed(errNoRoom)
			outcome.result = balance.Neutral // It is not the endpoint's fault.
			return outcome
		case len(s.events.blocks.Pending()) > maxEventBytes:
			return s.failed(errEventTooBig)
		case err == nil:
		case !errors.Is(err, io.EOF):
			return s.failed(err)
		default:
			if endErr := s.checkEnd(); endErr != nil {
				return s.failed(endErr)
			}
			return s.finish()
		}
	}
}

// holdPending asks for room for the part of an event that is held until the event is complete. Events of a
// few KB need none.
func (s *stream) holdPending() bool {
	missing := len(s.events.blocks.Pending()) - s.reserved
	if missing <= unaccountedEventBytes {
		return true
	}
	if !s.request.Held.Reserve(missing) {
		return false
	}
	s.reserved += missing
	return true
}

// relay sends received bytes to the caller; for a resumable stream only complete events. The error is
// errNotTheRest, or that of the write.
func (s *stream) relay(data []byte) error {
	s.position.Push(data)
	if s.position.Events() > 0 {
		s.began(time.Now())
		s.noteEvents(time.Now(), s.position.Events())
	}
	var notTheRest error
	if s.resumable {
		data, notTheRest = s.events.push(data)
		s.lastEventID = s.events.lastID
	}
	if len(data) == 0 {
		return notTheRest
	}
	s.recordEvent(time.Now())
	return cmp.Or(s.write(data), notTheRest)
}

// write sends data to the caller, after the header if that has not been sent.
func (s *stream) write(data []byte) error {
	s.trace.forwarded += len(data)
	s.framing = s.trace.framing
	if s.writer.Started() {
		return s.writer.WriteChunk(data)
	}
	s.status = s.response.Header.StatusCode()
	s.streamBegan(s.choice)
	return s.writer.StartStream(s.status, s.fields, data)
}

// checkEnd returns why a stream that has ended is incomplete although its framing allows the end,
// or nil.
func (s *stream) checkEnd() error {
	if !s.isEventStream(s.response) {
		return nil
	}
	return cmp.Or(s.position.CheckEnd(s.response.Framing() != httpio.FramedByConnection), s.events.checkEnd())
}

// finish ends the caller's stream. A stream without events still gets its header, and comments
// behind the last event are passed on.
func (s *stream) finish() attemptOutcome {
	s.recordCompletion()
	s.noteComplete(time.Now())
	if rest := s.events.rest(); len(rest) > 0 || !s.writer.Started() {
		if err := s.write(rest); err != nil {
			return s.callerDisconnected(true)
		}
	}
	return s.writeOutcome(s.writer.Finish())
}

// recordEvent records the time of the first event and the longest pause between events.
func (j *job) recordEvent(now time.Time) {
	if j.firstEvent.IsZero() {
		j.firstEvent = now
	} else {
		j.longestPause = max(j.longestPause, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
}

// failed decides whether a broken stream may continue at another endpoint.
func (s *stream) failed(err error) attemptOutcome {
	outcome := s.exchangeFailed(err, "within a stream")
	s.trace.brokenStream = true
	s.trace.incomplete = s.position.Pending()
	if outcome.done || !s.writer.Started() {
		return outcome
	}
	if !s.resumable || s.events.unordered {
		outcome.done = true
		outcome.failure = failure.New(failure.EndpointFailed, "the stream broke off")
	}
	return outcome
}
