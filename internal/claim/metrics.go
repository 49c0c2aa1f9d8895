package claim

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts what the log does.
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

// latencyBuckets bound the time of one claim.
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

func (m metrics) verdict(v Outcome, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"verdict": string(v)}).Counter("claims").Inc(1)
	m.latency.RecordDuration(elapsed)
}
