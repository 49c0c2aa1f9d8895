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
func (j *job) forwardStream(response *httpio.Response) attemptOutcome {
	fields := j.responseFields(response)
	status := response.Header.StatusCode()
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if writeErr := j.relay(status, fields, buffer[:n]); writeErr != nil {
				return j.callerDisconnected(true)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return j.finishStream(status, fields)
		default:
			return j.streamFailed(err)
		}
	}
}

// relay sends received bytes to the caller; for a resumable stream only complete events.
func (j *job) relay(status int, fields []httpio.Field, data []byte) error {
	if j.route.Resumable {
		data = j.events.push(data)
	}
	if len(data) == 0 {
		return nil
	}
	j.recordEvent(time.Now())
	j.trace.forwarded += len(data)
	if j.writer.Started() {
		return j.writer.WriteChunk(data)
	}
	j.status = status
	return j.writer.StartStream(status, fields, data)
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
func (j *job) finishStream(status int, fields []httpio.Field) attemptOutcome {
	j.recordCompletion()
	if !j.writer.Started() {
		j.status = status
		if err := j.writer.StartStream(status, fields, nil); err != nil {
			return j.callerDisconnected(true)
		}
	}
	return j.writeOutcome(j.writer.Finish())
}

// streamFailed decides whether a broken stream may continue at another endpoint.
func (j *job) streamFailed(err error) attemptOutcome {
	outcome := j.exchangeFailed(err, "within a stream")
	j.trace.incomplete = len(j.events.pending)
	if outcome.done || !j.writer.Started() {
		return outcome
	}
	j.events.discardPending()
	if !j.route.Resumable {
		outcome.done = true
		outcome.failure = failure.New(failure.EndpointFailed, "the stream broke off")
	}
	return outcome
}
