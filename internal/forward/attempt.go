package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

const (
	// dialTimeout bounds the opening of a connection; within a region it takes a few
	// milliseconds, and an endpoint that is gone without a word never answers.
	dialTimeout = 250 * time.Millisecond
	// maxHeldBody bounds an answer that is read whole before it is passed on.
	maxHeldBody = 256 << 10
	// copyBuffer is the size of one read of a stream.
	copyBuffer = 4 << 10
)

// verdict is what an attempt came to.
type verdict struct {
	// done means that the caller has its final answer, or that failure is it.
	done    bool
	failure *failure.Failure
	// ran means that the endpoint may have begun to work on the request.
	ran    bool
	result balance.Result
	status int
	cause  string
}

// heldAnswer is an endpoint's own failure, passed on if nothing better comes.
type heldAnswer struct {
	status int
	fields []httpio.Field
	body   []byte
}

// attempt offers the request to one endpoint.
func (j *job) attempt(choice *balance.Choice) verdict {
	conn, err := j.f.Dialer.Get(j.ctx, choice.Address, j.id, min(dialTimeout, time.Until(j.limit)))
	if err != nil {
		if j.ctx.Err() != nil {
			return j.callerGone(false)
		}
		j.f.Dialer.Forget(choice.Address)
		return verdict{result: balance.Unreachable, cause: "connect: " + err.Error()}
	}
	j.arrivals++
	j.runs++ // Taken back if the endpoint says that it has not run it.
	_ = conn.SetDeadline(j.limit)
	stop := context.AfterFunc(j.ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	answer, err := conn.Exchange(j.head(choice), j.request.Body, j.f.Headers.RequestID, j.id)
	if err != nil {
		_ = conn.Close()
		return j.broken(err, "before an answer")
	}
	defer answer.Release(j.f.Dialer, choice.Address)
	choice.ResponseStarted(time.Now())
	return j.judge(choice, answer)
}

// head encodes the header block for the endpoint.
func (j *job) head(choice *balance.Choice) []byte {
	h := j.f.Headers
	block := make([]byte, 0, 1024)
	block = append(block, j.request.Header.Method()...)
	block = append(block, ' ')
	block = append(block, j.request.Target...)
	block = append(block, " HTTP/1.1\r\n"...)
	named := perConnection(string(j.request.Header.Peek("Connection")))
	for name, value := range j.request.Header.All() {
		lower := strings.ToLower(string(name))
		if j.f.filters.request[lower] || named[lower] || (lower == strings.ToLower(h.LastEventID) && j.events.last != "") {
			continue
		}
		block = appendField(block, httpio.Field{Name: string(name), Value: string(value)})
	}
	for _, f := range j.ownFields(choice) {
		if f.Name != "" && f.Value != "" {
			block = appendField(block, f)
		}
	}
	if len(j.request.Body) > 0 || j.request.Header.IsPost() || j.request.Header.IsPut() {
		block = appendField(block, httpio.Field{Name: "Content-Length", Value: strconv.Itoa(len(j.request.Body))})
	}
	return append(block, "\r\n"...)
}

// ownFields are the fields that the daemon sets.
func (j *job) ownFields(choice *balance.Choice) []httpio.Field {
	h := j.f.Headers
	left := max(1, time.Until(j.limit).Milliseconds())
	fields := []httpio.Field{
		{Name: h.Deadline, Value: strconv.FormatInt(left, 10)},
		{Name: h.Endpoint, Value: choice.ID},
		{Name: h.FetchFrom, Value: choice.FetchFrom},
	}
	if j.workspace != nil {
		fields = append(fields, httpio.Field{Name: h.Workspace, Value: j.workspace.Name})
	}
	if j.route.PromptAffinity {
		fields = append(fields, httpio.Field{Name: h.Priority, Value: strconv.Itoa(j.urgency)})
	}
	if j.events.last != "" {
		fields = append(fields, httpio.Field{Name: h.LastEventID, Value: j.events.last})
	}
	return fields
}

// judge decides what an answer means.
func (j *job) judge(choice *balance.Choice, answer *httpio.Answer) verdict {
	status := answer.Header.StatusCode()
	h := j.f.Headers
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		j.runs--
		j.discard(answer)
		j.f.Dialer.Forget(choice.Address)
		return verdict{result: balance.Misrouted, status: status, cause: "another endpoint has the address"}
	case h.NotRun != "" && len(answer.Header.Peek(h.NotRun)) > 0:
		j.runs--
		j.discard(answer)
		return verdict{result: balance.Full, status: status, cause: "refused by the endpoint"}
	case status >= 300:
		return j.failed(answer, status)
	case len(answer.Header.ContentEncoding()) > 0 || (h.Seal != "" && len(answer.Header.Peek(h.Seal)) == 0):
		return verdict{ran: true, result: balance.Broken, status: status, cause: "not an answer of the endpoint"}
	case j.streams(answer):
		return j.stream(answer)
	}
	body, err := readBounded(answer.Body, maxHeldBody)
	if err != nil {
		return j.broken(err, "within an answer")
	}
	j.status = status
	return j.sent(j.writer.Whole(status, j.responseFields(answer), body))
}

func (j *job) streams(answer *httpio.Answer) bool {
	return j.writer.Started() || bytes.HasPrefix(answer.Header.ContentType(), []byte("text/event-stream")) || answer.Length > maxHeldBody
}

// discard reads the rest of a small answer, so that its connection can be used again.
func (j *job) discard(answer *httpio.Answer) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxHeldBody) // An early end leaves the connection unused.
}

// failed keeps an endpoint's own failure and lets the request be tried elsewhere.
func (j *job) failed(answer *httpio.Answer, status int) verdict {
	body, err := readBounded(answer.Body, maxHeldBody)
	if err != nil {
		return j.broken(err, "within an answer")
	}
	v := verdict{ran: true, result: balance.Succeeded, status: status, cause: "the endpoint answered " + strconv.Itoa(status)}
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		// To the caller these say that nothing ran, which this endpoint did not say.
		v.result = balance.Failed
		return v
	}
	if !j.writer.Started() {
		j.answer = &heldAnswer{status: status, fields: j.responseFields(answer), body: body}
	}
	if status >= fasthttp.StatusInternalServerError {
		v.result = balance.Failed
		if status == fasthttp.StatusGatewayTimeout {
			v.result = balance.Neutral
		}
		return v
	}
	v.done, v.failure = true, j.deliverHeld()
	return v
}

// deliverHeld passes an endpoint's own failure on unchanged.
func (j *job) deliverHeld() *failure.Failure {
	if j.answer == nil {
		return failure.New(failure.EndpointFailed, "the endpoint failed within an answer")
	}
	j.status = j.answer.status
	v := j.sent(j.writer.Whole(j.answer.status, j.answer.fields, j.answer.body))
	return v.failure
}

// sent is the verdict of an answer that was written to the caller.
func (j *job) sent(err error) verdict {
	if err != nil {
		return j.callerGone(true)
	}
	return verdict{done: true, ran: true, result: balance.Succeeded, status: j.status}
}

func (j *job) callerGone(ran bool) verdict {
	return verdict{done: true, ran: ran, result: balance.Neutral, failure: failure.New(failure.ClientGone, "the caller left"), cause: "the caller left"}
}

// broken is the verdict of an exchange that ended without a whole answer.
func (j *job) broken(err error, where string) verdict {
	if j.ctx.Err() != nil {
		return j.callerGone(true)
	}
	v := verdict{ran: true, result: balance.Broken, cause: where + ": " + err.Error()}
	if time.Until(j.limit) <= minLeft {
		v.cause = "out of time " + where
		v.result = balance.Neutral
	}
	if errors.Is(err, httpio.ErrMalformed) {
		v.cause = "malformed " + where
	}
	return v
}

// responseFields are the fields passed on to the caller.
func (j *job) responseFields(answer *httpio.Answer) []httpio.Field {
	fields := make([]httpio.Field, 0, 8)
	named := perConnection(string(answer.Header.Peek("Connection")))
	for name, value := range answer.Header.All() {
		lower := strings.ToLower(string(name))
		if j.f.filters.response[lower] || named[lower] {
			continue
		}
		fields = append(fields, httpio.Field{Name: string(name), Value: string(value)})
	}
	return fields
}

var errTooLong = errors.New("the answer is too long to be held")

func readBounded(r io.Reader, most int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err == nil && len(body) > most {
		return nil, errTooLong
	}
	return body, err
}
