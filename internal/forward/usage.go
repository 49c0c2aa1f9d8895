package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/routetable"
)

// began counts the request as run by an endpoint since a time, unless it is counted already.
func (j *job) began(at time.Time) {
	if j.counted || j.workspace == nil || j.f.Began == nil {
		return
	}
	j.counted = true
	j.f.Began(at, j.workspace.Name)
}

// countResponse counts a request, other than for a stream, whose response does not say that it has not
// run. It began when it was sent: an endpoint that has no room for it says so. A stream begins with its
// first event, so that a failure in its place is not counted.
func (a *attempt) countResponse(response *httpio.Response) {
	status := response.Header.StatusCode()
	switch {
	case a.isEventStream(response), claimsNotRun(status):
	case status >= fasthttp.StatusMultipleChoices && a.route.Kind == routetable.Streaming:
	case status < fasthttp.StatusMultipleChoices && !a.fromEndpoint(response):
	default:
		a.began(a.sentAt)
	}
}

// fromEndpoint reports whether a successful response is one that the endpoint itself sent.
func (a *attempt) fromEndpoint(response *httpio.Response) bool {
	return len(response.Header.ContentEncoding()) == 0 && a.isSigned(response)
}
