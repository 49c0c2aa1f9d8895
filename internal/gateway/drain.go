package gateway

import (
	"context"
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/drain"
	"github.com/primrosewell/primrosewell/internal/tunnel"
)

const (
	// deregistrationDelay is how long the load balancer may still send new connections after
	// the readiness check starts to fail: two failed checks, one second apart, plus network
	// delay.
	deregistrationDelay = 2600 * time.Millisecond
	// exitMargin is the part of the grace period reserved for stopping the process: the
	// platform kills it when the period ends. With a short grace period it is at most
	// maxExitShare of it, so that requests get nearly all of the period.
	exitMargin   = 900 * time.Millisecond
	maxExitShare = 1.0 / 8
	// maxAcceptShare is the part of a short grace period during which new connections are
	// accepted; the requests accepted last have the rest of it to complete.
	maxAcceptShare = 1.0 / 2
	// maxAnswerShare is the part of the time reserved for stopping in which requests that are ended get
	// their answers.
	maxAnswerShare = 1.0 / 2
	// drainPollInterval is the interval at which the number of requests in progress is checked, and
	// abortPollInterval that at the end.
	drainPollInterval = 50 * time.Millisecond
	abortPollInterval = 5 * time.Millisecond
)

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int { return g.server.Active() }

// Drain starts a graceful shutdown: the readiness check fails, responses close their
// connections, requests that would not end in time are refused, and Run returns when no request is in
// progress or the grace period ends.
func (g *Gateway) Drain() {
	if g.draining.CompareAndSwap(false, true) {
		g.setStop(time.Now())
		g.server.Drain()
		close(g.drainRequested)
	}
}

// drainTimes returns how long new connections are accepted after the start of the drain,
// and the time after which requests still in progress are abandoned.
func drainTimes(grace time.Duration) (acceptFor, giveUpAfter time.Duration) {
	share := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	return min(deregistrationDelay, share(maxAcceptShare)), grace - min(exitMargin, share(maxExitShare))
}

// setStop plans the end of a drain that started at a time. A grace period that is raised meanwhile holds
// for it, too.
func (g *Gateway) setStop(started time.Time) {
	_, giveUpAfter := drainTimes(g.inForce.Load().Drain.Grace)
	at := started.Add(giveUpAfter)
	if before := g.stopAt.Load(); before == nil || at.After(*before) {
		g.stopAt.Store(&at)
	}
}

// plannedStop returns when a draining gateway ends the requests in progress.
func (g *Gateway) plannedStop() (drain.Stop, bool) {
	at := g.stopAt.Load()
	if at == nil {
		return drain.Stop{}, false
	}
	return drain.Stop{At: *at, Alone: len(g.members.Carriers()) == 0}, true
}

// awaitDrain waits for the load balancer to stop sending connections, closes the listener
// and waits for the requests in progress and for the connections that it carries for peers. Until then idle
// connections stay open, and requests on them are refused: a caller that sends one while its connection is closed gets
// no answer. At the planned stop, requests still in progress are ended and answered.
func (g *Gateway) awaitDrain(ctx context.Context, listener net.Listener) {
	started := time.Now()
	grace := g.inForce.Load().Drain.Grace
	acceptFor, giveUpAfter := drainTimes(grace)
	g.log.WithFields(logrus.Fields{"event": "drain", "in_flight": g.server.Active(), "connections": g.server.Busy(), "grace": grace, "stop_in": time.Until(*g.stopAt.Load())}).Info("draining")
	go g.resignDuties(ctx)
	sleep(ctx, acceptFor)
	g.shuttingDown.Store(true)
	if err := listener.Close(); err != nil {
		g.log.WithFields(logrus.Fields{"event": "listener_failed", "listener": "callers", "error": err}).Warn("the callers' listener did not close")
	}
	carrying := do.MustInvoke[*tunnel.Server](g.injector)
	for {
		g.setStop(started)
		if g.server.Busy() == 0 && carrying.Active() == 0 || time.Now().After(*g.stopAt.Load()) || ctx.Err() != nil {
			break
		}
		sleep(ctx, drainPollInterval)
	}
	aborted := g.server.Active()
	g.abortRequests(ctx, time.Duration(maxAnswerShare*float64(grace-giveUpAfter)))
	g.log.WithFields(logrus.Fields{
		"event": "drained", "aborted": aborted, "in_flight": g.server.Active(), "connections": g.server.Busy(), "carried": carrying.Active(), "took": time.Since(started),
	}).Info("drained")
}

// abortRequests ends the requests in progress, closes the idle connections and waits until the callers have
// their answers, for a limited time.
func (g *Gateway) abortRequests(ctx context.Context, limit time.Duration) {
	g.server.Abort()
	g.server.CloseIdle()
	for deadline := time.Now().Add(limit); g.server.Busy() > 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		sleep(ctx, abortPollInterval)
	}
}
