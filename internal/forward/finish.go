package forward

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/httpio"
)

// latencyBuckets are the bounds of the latency histograms: 1 ms to about 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// metrics are the counters and histograms of forwarded requests.
type metrics struct {
	scope      tally.Scope
	elapsed    tally.Histogram
	firstEvent tally.Histogram
	pause      tally.Histogram
	wait       tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("forward")
	return metrics{
		scope:      scope,
		elapsed:    scope.Histogram("elapsed", latencyBuckets),
		firstEvent: scope.Histogram("first_event", latencyBuckets),
		pause:      scope.Histogram("longest_pause", latencyBuckets),
		wait:       scope.Histogram("predicted_wait", latencyBuckets),
	}
}

func (m metrics) answered(route string, outcome failure.Outcome, reason string) {
	m.scope.Tagged(map[string]string{"route": route, "outcome": string(outcome), "reason": reason}).Counter("answers").Inc(1)
}

// attempted counts how an attempt at an endpoint ended.
func (m metrics) attempted(service string, result balance.Result) {
	m.scope.Tagged(map[string]string{"service": service, "result": result.String()}).Counter("attempts").Inc(1)
}

// waited records the predicted wait of a placement.
func (m metrics) waited(wait time.Duration) { m.wait.RecordDuration(wait) }

// finish answers a failure that is still owed and writes the request's last line.
func (j *job) finish(f *failure.Failure) {
	if f != nil && !j.writer.Started() && f.Code != failure.ClientGone {
		j.refuse(f)
	}
	elapsed := time.Since(j.request.Arrived)
	j.f.metrics.elapsed.RecordDuration(elapsed)
	if !j.first.IsZero() {
		j.f.metrics.firstEvent.RecordDuration(j.first.Sub(j.request.Arrived))
		j.f.metrics.pause.RecordDuration(j.longestPause)
	}
	fields := logrus.Fields{
		"event": "request", "request_id": j.id, "status": j.status, "sends": j.sends, "elapsed": elapsed,
		"outcome": failure.Completed,
	}
	route, reason := "none", "ok"
	if j.route != nil {
		route = j.route.Name
		fields["route"], fields["service"] = route, j.service
	}
	if !j.first.IsZero() {
		fields["first_event"], fields["longest_pause"] = j.first.Sub(j.request.Arrived), j.longestPause
	}
	if f != nil {
		reason = string(f.Code)
		fields["outcome"], fields["code"], fields["reason"], fields["retry_after"] = f.Outcome, f.Code, f.Message, f.RetryAfter
	}
	j.f.metrics.answered(route, fields["outcome"].(failure.Outcome), reason)
	j.f.Log.WithFields(fields).Info("request ended")
}

// refuse answers with a failure of the daemon's own.
func (j *job) refuse(f *failure.Failure) {
	fields := []httpio.Field{{Name: "Content-Type", Value: "application/json"}}
	if j.id != "" {
		fields = append(fields, httpio.Field{Name: j.f.Headers.RequestID, Value: j.id})
	}
	if f.RetryAfter > 0 {
		fields = append(fields, httpio.Field{Name: "Retry-After", Value: strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	j.status = f.Code.HTTPStatus()
	if err := j.writer.Whole(j.status, fields, failure.Body(f, j.id)); err != nil {
		j.f.Log.WithFields(logrus.Fields{"event": "write_failed", "request_id": j.id, "error": err}).Info("the caller left before its refusal was written")
	}
}

// logAttempt notes an attempt that did not answer the caller.
func (j *job) logAttempt(choice *balance.Choice, v verdict) {
	if v.done && v.failure == nil {
		return
	}
	j.f.Log.WithFields(logrus.Fields{
		"event": "attempt", "request_id": j.id, "service": j.service, "endpoint": choice.ID, "address": choice.Address,
		"ran": v.ran, "status": v.status, "cause": v.cause, "left": time.Until(j.limit),
	}).Info("attempt failed")
}
