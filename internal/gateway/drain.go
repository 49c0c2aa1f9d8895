package gateway

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// rotationTime is how long the balancer may still send new connections after the
	// readiness check began to fail: two missed checks, a second apart, and their way.
	rotationTime = 2600 * time.Millisecond
	// exitMargin is the part of the grace time that is left for ending the process; the
	// platform kills what is still there at its end.
	exitMargin = 900 * time.Millisecond
	// drainPoll is the time between two looks at the requests in progress.
	drainPoll = 50 * time.Millisecond
)

// InFlight counts the requests that have not ended.
func (g *Gateway) InFlight() int { return g.server.Active() }

// Drain begins the shutdown: the readiness check fails, answers close their connections,
// and Run returns once nothing is in progress or the grace time is over.
func (g *Gateway) Drain() {
	if g.draining.CompareAndSwap(false, true) {
		g.server.Drain()
		close(g.drain)
	}
}

// finish waits for the balancer to look elsewhere and for the requests in progress.
func (g *Gateway) finish(ctx context.Context, listener net.Listener) {
	started := time.Now()
	limit := started.Add(g.settings.Drain.Grace - exitMargin)
	g.log.WithFields(logrus.Fields{"event": "drain", "in_flight": g.server.Active(), "grace": g.settings.Drain.Grace}).Info("draining")
	sleep(ctx, min(rotationTime, time.Until(limit)))
	if err := listener.Close(); err != nil {
		g.log.WithFields(logrus.Fields{"event": "listener_failed", "listener": "callers", "error": err}).Warn("the callers' listener did not close")
	}
	for {
		g.server.CloseIdle()
		if g.server.Active() == 0 || time.Now().After(limit) || ctx.Err() != nil {
			break
		}
		sleep(ctx, drainPoll)
	}
	g.log.WithFields(logrus.Fields{"event": "drained", "in_flight": g.server.Active(), "took": time.Since(started)}).Info("drained")
}
