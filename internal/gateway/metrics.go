package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// observeCalls counts the calls on the platform by kind and result.
func observeCalls(scope tally.Scope) func(op string, reason platform.Reason, elapsed time.Duration) {
	return func(op string, reason platform.Reason, elapsed time.Duration) {
		if reason == "" {
			reason = "ok"
		}
		tagged := scope.Tagged(map[string]string{"op": op, "result": string(reason)})
		tagged.Counter("calls").Inc(1)
		tagged.Timer("elapsed").Record(elapsed)
	}
}
