// Package daemon wires the parts of `primrosewell serve` together and runs them
// from start to graceful shutdown.
package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/ingress"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/settings"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// leaveTimeout bounds the announcement to peers that this daemon leaves.
	leaveTimeout = time.Second
	// adminShutdownTimeout bounds the wait for operators' calls at the very end.
	adminShutdownTimeout = time.Second
	// peerShutdownTimeout bounds the wait for peers' calls at the very end.
	peerShutdownTimeout = 2 * time.Second
)

// Options come from the process, not from the settings file.
type Options struct {
	// Version is shown in the status.
	Version string
	Log     *logrus.Logger
}

// Daemon is the daemon of an entry VM. Methods may be called concurrently.
type Daemon struct {
	settings settings.Settings
	options  Options
	injector do.Injector
	sockets  sockets
	// stop ends the background work of every part.
	stop context.CancelFunc

	drainOnce sync.Once
	drain     chan struct{}
	draining  atomic.Bool
}

// New opens the listeners and starts the parts; nothing is served before Run. The
// error names the setting that could not be used.
func New(ctx context.Context, s settings.Settings, options Options) (*Daemon, error) {
	opened, err := openSockets(ctx, s)
	if err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(ctx)
	d := &Daemon{
		settings: s,
		options:  options,
		injector: do.New(),
		sockets:  opened,
		stop:     stop,
		drain:    make(chan struct{}),
	}
	d.provide(background)
	if _, err := do.Invoke[*servers](d.injector); err != nil {
		stop()
		opened.close()
		return nil, failure.From(err)
	}
	return d, nil
}

// servers are the three listeners' servers; to invoke them is to start every part.
type servers struct {
	callers *ingress.Server
	admin   *admin.Server
	peers   *peer.Server
}

// Log returns the daemon's logger.
func (d *Daemon) Log() *logrus.Logger { return d.options.Log }

// Draining reports whether a graceful shutdown is under way.
func (d *Daemon) Draining() bool { return d.draining.Load() }

// Drain starts a graceful shutdown; Run returns when it is done.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.draining.Store(true)
		close(d.drain)
	})
}

// InFlight counts the callers' requests that have not ended.
func (d *Daemon) InFlight() int { return d.servers().callers.InFlight() }

// InFlightIDs names the callers' requests that have not ended.
func (d *Daemon) InFlightIDs() []string { return d.servers().callers.InFlightIDs() }

// CallersAddress is the address that callers are served on.
func (d *Daemon) CallersAddress() string { return d.sockets.callers.Addr().String() }

// AdminAddress is the address that operators are served on.
func (d *Daemon) AdminAddress() string { return d.sockets.admin.Addr().String() }

// PeerAddress is the address that other daemons are served on.
func (d *Daemon) PeerAddress() string { return d.sockets.peers.Addr().String() }

func (d *Daemon) servers() *servers { return do.MustInvoke[*servers](d.injector) }

// Ready returns nil if the daemon takes new work, else the failure that says why not.
func (d *Daemon) Ready() error {
	if d.Draining() {
		return failure.New(failure.Draining, "this daemon is shutting down")
	}
	if !do.MustInvoke[*distribution.Distributor](d.injector).Ready() {
		return failure.New(failure.PlatformUnavailable, "this daemon has no configuration yet")
	}
	return nil
}

// Run serves until Drain was called and every request in progress has ended, or
// until ctx ends, which cuts off what is in progress.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.stop()
	s := d.servers()
	d.event("start").WithFields(logrus.Fields{
		"callers": d.CallersAddress(),
		"admin":   d.AdminAddress(),
		"peers":   d.PeerAddress(),
	}).Info("daemon started")
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return s.callers.Serve(running, d.sockets.callers) })
	group.Go(func() error { return s.admin.Serve(d.sockets.admin) })
	group.Go(func() error { return s.peers.Serve(d.sockets.peers) })
	go d.reportQueues(running)
	group.Go(func() error { return d.shutDownWhenDrained(running) })
	err := group.Wait()
	d.event("stop").Info("daemon stopped")
	_ = do.MustInvoke[*telemetry.Metrics](d.injector).Close()
	return err
}

// shutDownWhenDrained waits for the order to drain, then shuts down step by step:
// readiness fails, roles move, callers' requests end, and the rest follows.
func (d *Daemon) shutDownWhenDrained(ctx context.Context) error {
	s := d.servers()
	select {
	case <-d.drain:
	case <-ctx.Done():
	}
	d.event("drain").WithField("in_flight", s.callers.InFlight()).Info("draining")
	s.callers.Drain()
	d.announceLeave(ctx)
	d.waitNotice(ctx)
	err := s.callers.Shutdown(ctx)
	d.event("drained").WithField("in_flight", s.callers.InFlight()).Info("callers' requests ended")
	d.shutDownRest(s)
	return err
}

func (d *Daemon) announceLeave(ctx context.Context) {
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	do.MustInvoke[*membership.Membership](d.injector).Leave(leave)
}

// waitNotice gives the balancer time to see the failed readiness check.
func (d *Daemon) waitNotice(ctx context.Context) {
	select {
	case <-time.After(d.settings.Drain.NoticePeriod):
	case <-ctx.Done():
	}
}

func (d *Daemon) shutDownRest(s *servers) {
	adminDone, cancelAdmin := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancelAdmin()
	_ = s.admin.Shutdown(adminDone)
	peersDone, cancelPeers := context.WithTimeout(context.Background(), peerShutdownTimeout)
	defer cancelPeers()
	if s.peers.Shutdown(peersDone) != nil {
		_ = s.peers.Close()
	}
}

func (d *Daemon) event(name string) *logrus.Entry {
	return d.options.Log.WithFields(logrus.Fields{"event": name, "vm": d.settings.VM.ID})
}
