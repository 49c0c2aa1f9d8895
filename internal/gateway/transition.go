package gateway

import (
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/balance"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// noteTransition logs a transition, and has other gateways told of a limit that ended.
func (g *Gateway) noteTransition(t balance.Transition) {
	if !t.SentAt.IsZero() {
		g.limitEnds.Ended(t.At, t.Endpoint, t.SentAt)
	}
	g.logTransition(t)
}

// logTransition logs and counts the beginning or the end of an endpoint's state.
func (g *Gateway) logTransition(t balance.Transition) {
	change, message := "ends", "an endpoint's state ends"
	if t.Begins {
		change, message = "begins", "an endpoint's state begins"
	}
	fields := logrus.Fields{
		"event": "endpoint_state", "endpoint": t.Endpoint.ID, "address": t.Endpoint.Address, "service": t.Endpoint.Service, "started_at": t.Endpoint.StartedAt,
		"state": t.State, "change": change, "cause": t.Cause, "for": t.At.Sub(t.Since),
	}
	if t.State == balance.StateBackoff {
		fields["asked"], fields["left"] = t.Asked, max(0, t.Until.Sub(t.At))
	}
	if t.State == balance.StateLimited {
		fields["limit"], fields["sharing"], fields["daemons"] = t.Limit, t.Sharing, g.fleet.Size()
	}
	if t.State == balance.StateBrittle {
		fields["rejections"] = t.Limit
	}
	g.log.WithFields(fields).Info(message)
	scope := do.MustInvoke[*telemetry.Metrics](g.injector).Scope.SubScope("gateway")
	scope.Tagged(map[string]string{"service": t.Endpoint.Service, "state": string(t.State), "change": change, "cause": string(t.Cause)}).Counter("endpoint_states").Inc(1)
}
