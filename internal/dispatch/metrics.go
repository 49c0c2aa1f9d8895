package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// Values of the tag "target" of the attainment counters.
const (
	targetFirstToken    = "first_token"
	targetBetweenTokens = "between_tokens"
	targetComplete      = "complete"
	targetAll           = "all"
)

// metrics counts attainment, goodput and wasted work. It is safe for concurrent use.
type metrics struct {
	scope tally.Scope
}

func newMetrics(scope tally.Scope) *metrics { return &metrics{scope: scope.SubScope("dispatch")} }

func (m *metrics) retryDecided(action retry.Action) {
	name := "retries"
	if action == retry.Resume {
		name = "resumes"
	}
	m.scope.Counter(name).Inc(1)
}

func (m *metrics) hedgeStarted() { m.scope.Counter("hedges").Inc(1) }

func (m *metrics) attemptEnded(report routing.Report) {
	scope := m.scope.Tagged(map[string]string{"pool": report.Pool, "result": string(report.Result)})
	scope.Counter("attempts").Inc(1)
}

// requestFinished records one request. If the caller disconnected, the request counts
// neither for goodput nor for attainment, but its wasted work is counted.
func (m *metrics) requestFinished(request Request, result Result, wasted time.Duration) {
	class := m.scope.Tagged(map[string]string{"class": request.Profile.Class})
	class.Tagged(map[string]string{"outcome": string(result.Outcome)}).Counter("requests").Inc(1)
	class.Counter("wasted_tokens").Inc(int64(result.WastedTokens))
	if result.Failure != nil && result.WastedTokens > 0 {
		wasted += result.Elapsed - result.QueueWait
	}
	class.Counter("wasted_ms").Inc(wasted.Milliseconds())
	if result.Failure == nil {
		class.Counter("answers_completed").Inc(1)
		class.Counter("tokens_completed").Inc(int64(result.OutputTokens))
		class.Timer("first_token").Record(result.FirstToken)
		class.Timer("complete").Record(result.Elapsed)
	}
	if result.Failure == nil || result.Failure.Code != failure.ClientGone {
		m.attainment(class, request.Profile.Target, result)
	}
}

// attainment counts each configured target as met or missed. A request that did not
// complete missed all of them.
func (m *metrics) attainment(class tally.Scope, target catalog.Target, result Result) {
	completed := result.Failure == nil
	all := completed
	count := func(name string, limit, took time.Duration) {
		if limit <= 0 {
			return
		}
		met := completed && took <= limit
		all = all && met
		countTarget(class, name, met)
	}
	count(targetFirstToken, target.FirstToken(), result.FirstToken)
	count(targetBetweenTokens, target.BetweenTokens(), meanTokenInterval(result))
	count(targetComplete, target.Complete(), result.Elapsed)
	countTarget(class, targetAll, all)
}

func countTarget(class tally.Scope, name string, met bool) {
	counter := "attainment_missed"
	if met {
		counter = "attainment_met"
	}
	class.Tagged(map[string]string{"target": name}).Counter(counter).Inc(1)
}

// meanTokenInterval is the mean time between the tokens of the response.
func meanTokenInterval(result Result) time.Duration {
	if result.OutputTokens < 2 {
		return 0
	}
	return (result.Elapsed - result.FirstToken) / time.Duration(result.OutputTokens-1)
}
