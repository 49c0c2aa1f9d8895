package forward

import (
	"errors"
	"io"
	"time"

	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// stream passes events on as they arrive. Until the first one nothing is sent to the
// caller, so a repeatable request can still go elsewhere as a whole; later, a resumable
// stream goes on elsewhere after its last whole event.
func (j *job) stream(answer *httpio.Answer) verdict {
	fields := j.responseFields(answer)
	status := answer.Header.StatusCode()
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if writeErr := j.passOn(status, fields, buffer[:n]); writeErr != nil {
				return j.callerGone(true)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return j.streamEnded(status, fields)
		default:
			return j.streamBroke(err)
		}
	}
}

// passOn sends bytes of a stream; of a resumable one only whole events.
func (j *job) passOn(status int, fields []httpio.Field, data []byte) error {
	if j.route.Resumable {
		data = j.events.push(data)
	}
	if len(data) == 0 {
		return nil
	}
	j.noteEvent(time.Now())
	if j.writer.Started() {
		return j.writer.Event(data)
	}
	j.status = status
	return j.writer.StartStream(status, fields, data)
}

// noteEvent notes the first event and the longest pause between events.
func (j *job) noteEvent(now time.Time) {
	if j.first.IsZero() {
		j.first = now
	} else {
		j.longestPause = max(j.longestPause, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
}

func (j *job) streamEnded(status int, fields []httpio.Field) verdict {
	if !j.writer.Started() {
		j.status = status
		if err := j.writer.StartStream(status, fields, nil); err != nil {
			return j.callerGone(true)
		}
	}
	return j.sent(j.writer.Finish())
}

// streamBroke decides whether a stream that broke off may go on elsewhere.
func (j *job) streamBroke(err error) verdict {
	v := j.broken(err, "within a stream")
	if v.done || !j.writer.Started() {
		return v
	}
	j.events.drop()
	if !j.route.Resumable {
		v.done = true
		v.failure = failure.New(failure.EndpointFailed, "the stream broke off")
	}
	return v
}
