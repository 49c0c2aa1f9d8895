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
	// platform kills what is still there at its end. It is exitShare of a short grace at
	// most, so that requests have nearly all of it.
	exitMargin = 900 * time.Millisecond
	exitShare  = 1.0 / 8
	// acceptShare is the part of a short grace in which new connections are taken; those
	// that came last have the rest to end.
	acceptShare = 1.0 / 2
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

// drainTimes returns how long after the signal new connections are taken, and when the
// requests still in progress are given up.
func drainTimes(grace time.Duration) (accept, limit time.Duration) {
	share := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	return min(rotationTime, share(acceptShare)), grace - min(exitMargin, share(exitShare))
}

// finish waits for the balancer to look elsewhere and for the requests in progress.
func (g *Gateway) finish(ctx context.Context, listener net.Listener) {
	started := time.Now()
	accept, last := drainTimes(g.settings.Drain.Grace)
	limit := started.Add(last)
	g.log.WithFields(logrus.Fields{"event": "drain", "in_flight": g.server.Active(), "grace": g.settings.Drain.Grace}).Info("draining")
	sleep(ctx, accept)
	g.closing.Store(true)
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
