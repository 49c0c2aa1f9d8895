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

// gaugeInterval is the time between updates of the queue gauges.
const gaugeInterval = time.Second

// updateQueueGauges updates the gauges of the pool queues brokered here until ctx ends.
func (d *Daemon) updateQueueGauges(ctx context.Context) {
	poolBroker := do.MustInvoke[*broker.Broker](d.injector)
	scope := do.MustInvoke[*telemetry.Metrics](d.injector).Scope.SubScope("queue")
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			setPoolGauges(scope, poolBroker.Stats())
		}
	}
}

func setPoolGauges(scope tally.Scope, pools []scheduling.Stats) {
	for _, p := range pools {
		for _, c := range p.Classes {
			tagged := scope.Tagged(map[string]string{"pool": p.Pool, "class": c.Class})
			tagged.Gauge("waiting").Update(float64(c.Waiting))
			tagged.Gauge("running").Update(float64(c.Running))
			tagged.Gauge("oldest_wait_seconds").Update(c.OldestWait.Seconds())
		}
	}
}
