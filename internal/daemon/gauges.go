package daemon

import (
	"context"
	"time"

	"github.com/samber/do/v2"
	"github.com/uber-go/tally/v4"

	"github.com/primrosewell/primrosewell/internal/broker"
	"github.com/primrosewell/primrosewell/internal/scheduling"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// gaugeInterval is the time between readings of the queues for the metrics.
const gaugeInterval = time.Second

// reportQueues keeps the gauges of the queues brokered here up to date until ctx ends.
func (d *Daemon) reportQueues(ctx context.Context) {
	pools := do.MustInvoke[*broker.Broker](d.injector)
	scope := do.MustInvoke[*telemetry.Metrics](d.injector).Scope.SubScope("queue")
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			reportPools(scope, pools.Stats())
		}
	}
}

func reportPools(scope tally.Scope, pools []scheduling.Stats) {
	for _, p := range pools {
		for _, c := range p.Classes {
			class := scope.Tagged(map[string]string{"pool": p.Pool, "class": c.Class})
			class.Gauge("waiting").Update(float64(c.Waiting))
			class.Gauge("running").Update(float64(c.Running))
			class.Gauge("oldest_wait_seconds").Update(c.OldestWait.Seconds())
		}
	}
}
