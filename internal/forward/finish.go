package forward

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
	"github.com/primrosewell/primrosewell/internal/resume"
	"github.com/primrosewell/primrosewell/internal/tunnel"
)

// latencyBuckets are the bounds of the latency histograms: 1 ms to about 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// paceBuckets are the bounds of the histogram of paces, relative to usual.
var paceBuckets = tally.ValueBuckets{0.5, 0.7, 0.9, 1.1, 1.4, 2, 2.5, 3, 5, 8}

// metrics are the counters and histograms of forwarded requests.
type metrics struct {
	scope         tally.Scope
	elapsed       tally.Histogram
	firstEvent    tally.Histogram
	longestPause  tally.Histogram
	predictedWait tally.Histogram
	pace          tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("forward")
	return metrics{
		scope:         scope,
		elapsed:       scope.Histogram("elapsed", latencyBuckets),
		firstEvent:    scope.Histogram("first_event", latencyBuckets),
		longestPause:  scope.Histogram("longest_pause", latencyBuckets),
		predictedWait: scope.Histogram("predicted_wait", latencyBuckets),
		pace:          scope.Histogram("pace", paceBuckets),
	}
}

// countResponse counts a finished request by route, outcome and reason.
func (m metrics) countResponse(route string, outcome failure.Outcome, reason string) {
	m.scope.Tagged(map[string]string{"route": route, "outcome": string(outcome), "reason": reason}).Counter("answers").Inc(1)
}

// countAttempt counts an attempt at an endpoint by its result, and what was unusual about it.
func (m metrics) countAttempt(service string, result balance.Result, trace attemptTrace) {
	m.scope.Tagged(map[string]string{"service": service, "result": result.String()}).Counter("attempts").Inc(1)
	ofService := m.scope.Tagged(map[string]string{"service": service})
	if trace.skipped > 0 {
		ofService.Counter("skipped_responses").Inc(int64(trace.skipped))
	}
	if trace.unidentified {
		ofService.Counter("unidentified_responses").Inc(1)
	}
	if trace.brokenStream {
		m.scope.Tagged(map[string]string{"service": service, "framing": string(trace.framing)}).Counter("broken_streams").Inc(1)
	}
	if trace.incomplete > 0 {
		ofService.Counter("incomplete_events").Inc(1)
	}
}

// countBlockedPart counts a request that was refused because of a part of its prompt.
func (m metrics) countBlockedPart(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("blocked_parts").Inc(1)
}

// countBlockedContent counts a request that was refused because endpoints crashed under its content.
func (m metrics) countBlockedContent(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("blocked_contents").Inc(1)
}

// countLimited counts a request that was refused because the limits of all endpoints were used up.
func (m metrics) countLimited(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("limited").Inc(1)
}

// countUnreadableLimit counts a response with a limit that can't be read.
func (m metrics) countUnreadableLimit(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("unreadable_limits").Inc(1)
}

// countMalformedLoad counts a response with a load field that is malformed.
func (m metrics) countMalformedLoad(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("malformed_loads").Inc(1)
}

// countResumed counts a stream that its caller resumes.
func (m metrics) countResumed(verdict resume.Verdict) {
	m.scope.Tagged(map[string]string{"verdict": string(verdict)}).Counter("resumed_streams").Inc(1)
}

// countUnspread counts a stream that began at a version which too few gateways know.
func (m metrics) countUnspread(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("unspread_streams").Inc(1)
}

// countCarried counts a request that was sent through another gateway.
func (m metrics) countCarried(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("carried").Inc(1)
}

// recordWait records the wait predicted when an endpoint was chosen.
func (m metrics) recordWait(wait time.Duration) { m.predictedWait.RecordDuration(wait) }

// recordPace records the pace that a choice counted on, if one was known.
func (m metrics) recordPace(pace float64) {
	if pace > 0 {
		m.pace.RecordValue(pace)
	}
}

// finish sends f to the caller if no response was started, records metrics and logs the end
// of the request.
func (j *job) finish(f *failure.Failure) {
	if f != nil && !j.writer.Started() && f.Code != failure.ClientGone {
		j.writeRefusal(f)
	}
	elapsed := time.Since(j.request.Arrived)
	if j.possibleRuns > 0 && (f == nil || f.Code == failure.TimedOut) {
		j.f.durations.Record(time.Now(), j.route.Key(), elapsed)
	}
	j.f.metrics.elapsed.RecordDuration(elapsed)
	if !j.firstEvent.IsZero() {
		j.f.metrics.firstEvent.RecordDuration(j.firstEvent.Sub(j.request.Arrived))
		j.f.metrics.longestPause.RecordDuration(j.longestPause)
	}
	fields := logrus.Fields{
		"event": "request", "request_id": j.id, "status": j.status, "sends": j.placements, "elapsed": elapsed,
		"outcome": failure.Completed,
	}
	route, reason := "none", "ok"
	if j.route != nil {
		route = j.route.Name
		fields["route"], fields["service"] = route, j.service
	}
	if !j.firstEvent.IsZero() {
		fields["framing"] = j.framing
		fields["first_event"], fields["longest_pause"] = j.firstEvent.Sub(j.request.Arrived), j.longestPause
	}
	if f != nil {
		reason = string(f.Code)
		fields["outcome"], fields["code"], fields["reason"], fields["retry_after"] = f.Outcome, f.Code, f.Message, f.RetryAfter
	}
	j.f.metrics.countResponse(route, fields["outcome"].(failure.Outcome), reason)
	j.f.Log.WithFields(fields).Info("request ended")
}

// writeRefusal sends a failure that the daemon itself produced.
func (j *job) writeRefusal(f *failure.Failure) {
	fields := []httpio.Field{{Name: "Content-Type", Value: "application/json"}}
	if j.id != "" {
		fields = append(fields, httpio.Field{Name: j.f.Headers.RequestID, Value: j.id})
	}
	if f.RetryAfter > 0 {
		fields = append(fields, httpio.Field{Name: "Retry-After", Value: strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	j.status = f.Code.HTTPStatus()
	if err := j.writer.WriteResponse(j.status, fields, failure.Body(f, j.id)); err != nil {
		j.f.Log.WithFields(logrus.Fields{"event": "write_failed", "request_id": j.id, "error": err}).Info("the refusal could not be written to the caller")
	}
}

// logCarrier logs a request that is sent through another gateway.
func (a *attempt) logCarrier(conn *httpio.Conn) {
	if through, ok := conn.Conn.(*tunnel.Conn); ok {
		a.f.Log.WithFields(logrus.Fields{"event": "carried", "request_id": a.id, "endpoint": a.choice.ID, "address": a.choice.Address, "carrier": through.Carrier, "tunnel": through.ID}).Info("sent through another gateway")
		a.f.metrics.countCarried(a.service)
	}
}

// log logs an attempt that did not complete the request, one that completed it after
// another, and one whose response was unusual.
func (a *attempt) log(outcome attemptOutcome) {
	message := "attempt failed"
	if outcome.done && outcome.failure == nil {
		if a.placements == 1 && !a.trace.unusual() {
			return
		}
		message = "attempt completed"
	}
	a.f.Log.WithFields(a.trace.fields()).WithFields(logrus.Fields{
		"event": "attempt", "request_id": a.id, "service": a.service, "endpoint": a.choice.ID, "address": a.choice.Address, "send": a.placements,
		"ran": outcome.mayHaveRun, "status": outcome.status, "cause": outcome.cause, "left": time.Until(a.deadline),
	}).Info(message)
}
