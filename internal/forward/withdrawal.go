package forward

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// maxRetryAfterSeconds bounds an endpoint's Retry-After before it becomes a duration, which
// could not hold every number.
const maxRetryAfterSeconds = 24 * 60 * 60

// recordEndpointState records what a response says about the process that sent it, apart from
// the request: that it leaves, for how long it wants no requests, and how long work takes there.
func (a *attempt) recordEndpointState(response *httpio.Response) {
	status := response.Header.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest {
		return // Another process has the address.
	}
	now := time.Now()
	a.recordNumber(response, a.f.Headers.Limit, func(limit float64, named bool) {
		a.choice.NoteLimit(now, a.sentAt, limit, named, a.responseKind(response))
	})
	a.recordNumber(response, a.f.Headers.Brittle, func(rejections float64, named bool) {
		a.choice.NoteBrittle(now, a.sentAt, rejections, named, a.responseKind(response))
	})
	a.recordPace(now, response)
	if a.saysLeaving(response) {
		a.choice.MarkLeaving(now, a.responseKind(response))
		a.f.Dialer.CloseIdle(a.choice.Address)
		response.CloseWhenReleased()
	}
	if status == fasthttp.StatusServiceUnavailable {
		a.backoff = parseRetryAfter(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), string(response.Header.Peek(fasthttp.HeaderDate)))
		a.choice.Backoff(now, a.backoff)
	}
}

// recordNumber passes on the number that a field of a response names, or that there is none. One that
// can't be read changes nothing; of several the least counts.
func (a *attempt) recordNumber(response *httpio.Response, field string, note func(number float64, named bool)) {
	if field == "" {
		return
	}
	values := response.Header.PeekAll(field)
	readable := lo.FilterMap(values, func(value []byte, _ int) (float64, bool) { return parseLimit(string(value)) })
	if len(readable) < len(values) {
		a.f.metrics.countUnreadableLimit(a.service)
	}
	if len(values) == 0 && !a.isSigned(response) {
		return // Nothing says that it is the endpoint's.
	}
	if len(values) == 0 || len(readable) > 0 {
		note(lo.Min(readable), len(readable) > 0)
	}
}

// isSigned reports whether a response has the endpoint's signature, if endpoints sign theirs.
func (a *attempt) isSigned(response *httpio.Response) bool {
	name := a.f.Headers.ResponseSignature
	return name == "" || len(response.Header.Peek(name)) > 0
}

// parseLimit reads a decimal number of requests or rejections a second.
func parseLimit(value string) (perSecond float64, readable bool) {
	perSecond, err := strconv.ParseFloat(value, 64)
	if math.IsNaN(perSecond) || perSecond < 0 || err != nil && !math.IsInf(perSecond, 1) {
		return 0, false
	}
	return perSecond, true
}

// saysLeaving reports whether the response says that its endpoint leaves: the field is "1".
func (a *attempt) saysLeaving(response *httpio.Response) bool {
	name := a.f.Headers.Leaving
	return name != "" && string(response.Header.Peek(name)) == "1"
}

// responseKind returns the kind of a response, as the cause of a change of its endpoint's state.
func (a *attempt) responseKind(response *httpio.Response) balance.Cause {
	switch {
	case a.notRun(response):
		return balance.OnRefusal
	case response.Header.StatusCode() >= fasthttp.StatusMultipleChoices:
		return balance.OnFailure
	case a.isEventStream(response):
		return balance.OnStream
	}
	return balance.OnSuccess
}

// notRun reports whether the endpoint says that it has not run the request.
func (a *attempt) notRun(response *httpio.Response) bool {
	name := a.f.Headers.NotRun
	return name != "" && len(response.Header.Peek(name)) > 0
}

// parseRetryAfter returns the delay of a Retry-After field, or 0 if it states none: in seconds, whole or
// with a fraction, or as a date, which is compared with the response's own date as clocks differ.
func parseRetryAfter(value, responseDate string) time.Duration {
	if at, err := http.ParseTime(value); err == nil {
		if sent, err := http.ParseTime(responseDate); err == nil {
			return max(0, at.Sub(sent))
		}
		return 0
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if math.IsNaN(seconds) || seconds <= 0 || err != nil && !math.IsInf(seconds, 1) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
}

// noEndpointLeft returns the refusal of a request that no endpoint has run. While all endpoints
// ask to be left alone or name limits that are used up, it states when the first of them takes one.
func (j *job) noEndpointLeft(reason string) *failure.Failure {
	retryDelay := refusedRetryAfter + rand.N(refusedRetryJitter)
	if pool := j.f.Pools(j.service); pool != nil {
		shortage, quiet := pool.Shortage(time.Now(), j.urgency)
		if shortage == balance.AllInBackoff {
			reason, retryDelay = "every endpoint refuses requests for a time", balance.SpreadReturn(quiet, rand.Float64())
		}
		if shortage == balance.AllLimited {
			j.f.metrics.countLimited(j.service)
			reason, retryDelay = "the limits that the endpoints name are used up", max(retryDelay, balance.SpreadReturn(quiet, rand.Float64()))
		}
	}
	return failure.New(failure.NoEndpoint, "no endpoint took the request: "+reason).WithRetryAfter(retryDelay)
}
