package gateway

import (
	"time"

	"github.com/samber/do/v2"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/gossip"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/reach"
	"github.com/primrosewell/primrosewell/internal/retry"
	"github.com/primrosewell/primrosewell/internal/tunnel"
)

// updateGauges sets the gauges of the gateway's load, versions, peers and pools.
func (g *Gateway) updateGauges(scope tally.Scope, budget *retry.SharedBudget, l ledgers, now time.Time) {
	g.updateAccountGauges(scope)
	scope = scope.SubScope("gateway")
	scope.Gauge("in_flight").Update(float64(g.server.Active()))
	scope.Gauge("table_version").Update(float64(g.tableHolder.Version()))
	scope.Gauge("table_age_seconds").Update(g.tableHolder.Age(now).Seconds())
	scope.Gauge("listing_version").Update(float64(g.endpointList.PlatformVersion()))
	scope.Gauge("listing_age_seconds").Update(g.endpointList.Age(now).Seconds())
	scope.Gauge("platform_away").Update(boolToFloat(g.endpointList.PlatformUnreachable()))
	scope.Gauge("parts_blocked").Update(float64(l.parts.CountBlocked()))
	scope.Gauge("contents_blocked").Update(float64(l.contents.CountBlocked()))
	suspect, cut := do.MustInvoke[*reach.Paths](g.injector).Count()
	scope.Tagged(map[string]string{"state": string(reach.Suspect)}).Gauge("paths").Update(float64(suspect))
	scope.Tagged(map[string]string{"state": string(reach.Cut)}).Gauge("paths").Update(float64(cut))
	scope.Gauge("connections_carried").Update(float64(do.MustInvoke[*tunnel.Server](g.injector).Active()))
	scope.Gauge("connections_through_carriers").Update(float64(do.MustInvoke[*tunnel.Connector](g.injector).Carried()))
	scope.Gauge("watching").Update(boolToFloat(g.announces()))
	live, oldest := g.members.Live(now)
	scope.Gauge("peers_live").Update(float64(live))
	scope.Gauge("peers_oldest_seconds").Update(oldest.Seconds())
	for peer, age := range g.members.ContactAges(now) {
		scope.Tagged(map[string]string{"peer": peer}).Gauge("peer_age_seconds").Update(age.Seconds())
	}
	for service, pool := range g.pools.All() {
		tagged := scope.Tagged(map[string]string{"service": service})
		state := pool.Stats(now)
		tagged.Gauge("endpoints").Update(float64(state.Endpoints))
		tagged.Gauge("endpoints_ejected").Update(float64(state.Ejected))
		tagged.Gauge("endpoints_leaving").Update(float64(state.Leaving))
		tagged.Gauge("endpoints_in_backoff").Update(float64(state.InBackoff))
		tagged.Gauge("endpoints_limited").Update(float64(state.Limited))
		tagged.Gauge("endpoints_brittle").Update(float64(state.Brittle))
		tagged.Gauge("running").Update(float64(state.Running))
		tagged.Gauge("reading_tokens").Update(float64(state.PendingTokens))
		tagged.Gauge("retry_budget_left").Update(budget.Remaining(now, service))
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// observeSent returns a callback that counts the datagrams to peers and their bytes, by kind.
func observeSent(scope tally.Scope) func(kind gossip.Kind, bytes int) {
	type counters struct{ datagrams, bytes tally.Counter }
	byKind := make(map[gossip.Kind]counters) // A lookup of a tagged scope for each datagram would cost more than sending it.
	for _, kind := range gossip.Kinds() {
		tagged := scope.Tagged(map[string]string{"kind": string(kind)})
		byKind[kind] = counters{tagged.Counter("gossip_datagrams"), tagged.Counter("gossip_bytes")}
	}
	return func(kind gossip.Kind, bytes int) {
		byKind[kind].datagrams.Inc(1)
		byKind[kind].bytes.Inc(int64(bytes))
	}
}

// observeCalls returns a callback that records the count and duration of the calls to the
// platform, by operation and result.
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
