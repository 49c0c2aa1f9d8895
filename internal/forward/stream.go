package forward

import (
	"errors"
	"io"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// forwardStream forwards events as they arrive. Nothing is sent to the caller before the first
// one, so until then a repeatable request can be retried in full at another endpoint; later, a
// resumable stream continues at another endpoint after its last complete event.
func (a *attempt) forwardStream(response *httpio.Response) attemptOutcome {
	fields := a.responseFields(response)
	status := response.Header.StatusCode()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writeErr := a.relay(status, fields, buffer[:n]); writeErr != nil {
				return a.callerDisconnected(true)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return a.finishStream(status, fields)
		default:
			return a.streamFailed(err)
		}
	}
}

// relay sends received bytes to the caller; for a resumable stream only complete events.
func (a *attempt) relay(status int, fields []httpio.Field, data []byte) error {
	if a.route.Resumable {
		data = a.events.push(data)
		a.lastEventID = a.events.lastID
	}
	if len(data) == 0 {
		return nil
	}
	a.recordEvent(time.Now())
	a.trace.forwarded += len(data)
	if a.writer.Started() {
		return a.writer.WriteChunk(data)
	}
	a.status = status
	return a.writer.StartStream(status, fields, data)
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

// finishStream ends the caller's stream. A stream without events still gets its header.
func (a *attempt) finishStream(status int, fields []httpio.Field) attemptOutcome {
	a.recordCompletion()
	if !a.writer.Started() {
		a.status = status
		if err := a.writer.StartStream(status, fields, nil); err != nil {
			return a.callerDisconnected(true)
		}
	}
	return a.writeOutcome(a.writer.Finish())
}

// streamFailed decides whether a broken stream may continue at another endpoint.
func (a *attempt) streamFailed(err error) attemptOutcome {
	outcome := a.exchangeFailed(err, "within a stream")
	a.trace.incomplete = len(a.events.pending)
	if outcome.done || !a.writer.Started() {
		return outcome
	}
	if !a.route.Resumable {
		outcome.done = true
		outcome.failure = failure.New(failure.EndpointFailed, "the stream broke off")
	}
	return outcome
}
