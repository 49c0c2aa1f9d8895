package claim

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the counters and the latency histogram of the log.
type metrics struct {
	scope         tally.Scope
	appends       tally.Counter
	conflicts     tally.Counter
	uncertain     tally.Counter
	reads         tally.Counter
	refused       tally.Counter
	abandoned     tally.Counter
	forwardErrors tally.Counter
	latency       tally.Histogram
}

// latencyBuckets are the buckets of the time that one claim takes.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("claim")
	return metrics{
		scope:         scope,
		appends:       scope.Counter("appends"),
		conflicts:     scope.Counter("append_conflicts"),
		uncertain:     scope.Counter("appends_uncertain"),
		reads:         scope.Counter("head_reads"),
		refused:       scope.Counter("refused"),
		abandoned:     scope.Counter("abandoned"),
		forwardErrors: scope.Counter("forward_errors"),
		latency:       scope.Histogram("seconds", latencyBuckets),
	}
}

func (m metrics) recordClaim(outcome Outcome, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"verdict": string(outcome)}).Counter("claims").Inc(1)
	m.latency.RecordDuration(elapsed)
}
