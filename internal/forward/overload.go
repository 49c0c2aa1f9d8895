package forward

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// Load pattern: more prompts arrive than the endpoints prefill. A request that is accepted
// behind a long backlog misses its target, keeps the endpoint's memory and slows the streams
// beside it, and often runs out of time. It is refused at once instead, with the time after
// which the backlog has drained, least urgent requests first.

const (
	// maxWaitFactor bounds the predicted wait behind other prompts, in latency targets.
	maxWaitFactor = 1.0
	// overloadWaitShare bounds the wait as a share of the timeout while the mean wait over the
	// endpoints is beyond it, too. The whole response then takes several times as long as the
	// wait, since prompts are prefilled between all decoding steps.
	overloadWaitShare = 0.1
)

// waitLimits are the longest latency target and timeout among the requests that are not more
// urgent than the one to be accepted.
type waitLimits struct {
	target, timeout time.Duration
}

// maxWait returns the longest predicted wait with which a request is accepted. A long wait at
// one endpoint is a hot spot, which passes; a long mean wait over the endpoints is an overload.
func (l waitLimits) maxWait(meanWait time.Duration) time.Duration {
	limit := time.Duration(maxWaitFactor * float64(l.target))
	overloaded := time.Duration(overloadWaitShare * float64(l.timeout))
	if l.timeout > 0 && meanWait > overloaded {
		return min(limit, overloaded)
	}
	return limit
}

// overloaded refuses a new request whose predicted wait at the best endpoint is too long both
// for its own latency target and for those of all requests that are not more urgent: these
// must be refused first. The request has not been sent to any endpoint yet.
func (j *job) overloaded(choice *balance.Choice) *failure.Failure {
	limits := waitLimits{target: j.table.LongestTarget(j.service, j.urgency), timeout: j.table.LongestTimeout(j.service, j.urgency)}
	limit := limits.maxWait(choice.MeanWait)
	if j.placements > 1 || j.route.Target <= 0 || choice.PredictedWait <= limit {
		return nil
	}
	retryDelay := retryAfter(choice.PredictedWait-limit, time.Until(j.deadline), rand.Float64())
	return failure.New(failure.Overloaded, fmt.Sprintf("the predicted wait behind other prompts, %s, is beyond the limit of %s", choice.PredictedWait, limit)).WithRetryAfter(retryDelay)
}
