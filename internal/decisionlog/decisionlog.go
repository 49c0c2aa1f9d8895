// Package decisionlog writes one log line, and counts one metric, for each routing decision.
package decisionlog

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// Recorder implements broker.DecisionRecorder. It may be called concurrently.
type Recorder struct {
	log   *logrus.Logger
	scope tally.Scope
	lines bool
}

// New returns a recorder; lines turns the log lines on, metrics are always counted.
func New(log *logrus.Logger, scope tally.Scope, lines bool) *Recorder {
	return &Recorder{log: log, scope: scope.SubScope("decisions"), lines: lines}
}

// Record notes a grant or refusal that this daemon decided.
func (r *Recorder) Record(pool string, local bool, d scheduling.Decision) {
	r.count(pool, d)
	if !r.lines {
		return
	}
	r.log.WithFields(r.fields(pool, local, d)).Info("routing decision")
}

func (r *Recorder) count(pool string, d scheduling.Decision) {
	scope := r.scope.Tagged(map[string]string{
		"pool":   pool,
		"class":  d.Request.Class,
		"kind":   string(d.Kind),
		"reason": d.Reason,
	})
	scope.Counter("total").Inc(1)
	scope.Timer("queue_wait").Record(d.QueueWait)
}

func (r *Recorder) fields(pool string, local bool, d scheduling.Decision) logrus.Fields {
	fields := logrus.Fields{
		"event":        "decision",
		"decision":     d.Kind,
		"request_id":   d.Request.RequestID,
		"attempt":      d.Request.Attempt,
		"workspace":    d.Request.Workspace,
		"profile":      d.Request.Profile,
		"class":        d.Request.Class,
		"tier":         d.Request.Tier,
		"pool":         pool,
		"entry":        d.Request.Daemon,
		"reason":       d.Reason,
		"alternatives": d.Alternatives,
		"queue_wait":   d.QueueWait,
		"alone":        local,
	}
	if d.Kind == scheduling.Granted {
		fields["endpoint"] = d.Grant.Endpoint.Name
		return fields
	}
	if d.Failure != nil {
		fields["code"] = d.Failure.Code
		fields["retry_after"] = d.Failure.RetryAfter
	}
	return fields
}
