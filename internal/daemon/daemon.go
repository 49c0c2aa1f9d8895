// Package daemon assembles the components of `primrosewell serve` and runs them
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
	"github.com/primrosewell/primrosewell/internal/memory"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/settings"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

const (
	// leaveTimeout bounds the call that announces to peers that this daemon leaves.
	leaveTimeout = time.Second
	// adminShutdownTimeout bounds the wait for admin API calls in progress, after
	// the callers' listener has shut down.
	adminShutdownTimeout = time.Second
	// peerShutdownTimeout bounds the wait for peers' calls in progress, after
	// the admin server has shut down.
	peerShutdownTimeout = 2 * time.Second
)

// Options holds the inputs that come from the process, not from the settings file.
type Options struct {
	// Version is the program version that the status reports.
	Version string
	Log     *logrus.Logger
}

// Daemon serves callers, operators and peers on an entry VM. Its methods may be called
// concurrently.
type Daemon struct {
	settings  settings.Settings
	options   Options
	injector  do.Injector
	listeners listeners
	account   *memory.Account
	// refusalLines limits the log lines on refused connections.
	refusalLines telemetry.LineLimit
	// stopBackground ends the background work of every component.
	stopBackground context.CancelFunc

	drainOnce      sync.Once
	drainRequested chan struct{}
	draining       atomic.Bool
}

// New opens the listeners and starts the components; nothing is served before Run. If
// a setting can't be used, the error names it.
func New(ctx context.Context, s settings.Settings, options Options) (*Daemon, error) {
	d := &Daemon{settings: s, options: options, injector: do.New(), drainRequested: make(chan struct{})}
	d.account = d.newAccount(s)
	opened, err := openListeners(ctx, s, d.account)
	if err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(ctx)
	d.listeners, d.stopBackground = opened, stop
	d.provideAll(background)
	if _, err := do.Invoke[*servers](d.injector); err != nil {
		stop()
		opened.closeAll()
		return nil, failure.From(err)
	}
	return d, nil
}

// servers holds the servers of the three listeners. Resolving it from the injector
// constructs and starts every component.
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
		close(d.drainRequested)
	})
}

// InFlight returns the number of caller requests in progress.
func (d *Daemon) InFlight() int { return d.servers().callers.InFlight() }

// InFlightIDs returns the IDs of the caller requests in progress.
func (d *Daemon) InFlightIDs() []string { return d.servers().callers.InFlightIDs() }

// CallersAddress returns the address of the callers' listener.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// AdminAddress returns the address of the admin API.
func (d *Daemon) AdminAddress() string { return d.listeners.admin.Addr().String() }

// PeerAddress returns the address of the peers' listener.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

func (d *Daemon) servers() *servers { return do.MustInvoke[*servers](d.injector) }

// Ready returns nil if the daemon accepts new requests, else a failure with the reason.
func (d *Daemon) Ready() error {
	if d.Draining() {
		return failure.New(failure.Draining, "this daemon is shutting down")
	}
	if !do.MustInvoke[*distribution.Distributor](d.injector).Ready() {
		return failure.New(failure.PlatformUnavailable, "this daemon has no configuration yet")
	}
	return nil
}

// Run serves until Drain was called and every request in progress has ended, or until
// ctx ends, which aborts the requests in progress.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.stopBackground()
	d.limitMemory()
	s := d.servers()
	d.logEvent("start").WithFields(logrus.Fields{
		"callers": d.CallersAddress(),
		"admin":   d.AdminAddress(),
		"peers":   d.PeerAddress(),
	}).Info("daemon started")
	group, runCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.callers.Serve(runCtx, d.listeners.callers) })
	group.Go(func() error { return s.admin.Serve(d.listeners.admin) })
	group.Go(func() error { return s.peers.Serve(d.listeners.peers) })
	go d.updateQueueGauges(runCtx)
	go d.updateAccountGauges(runCtx)
	group.Go(func() error { return d.shutDownOnDrain(runCtx) })
	err := group.Wait()
	d.logEvent("stop").Info("daemon stopped")
	_ = do.MustInvoke[*telemetry.Metrics](d.injector).Close()
	return err
}

// shutDownOnDrain waits for Drain or the end of ctx, then shuts down in order: the
// readiness check fails, the roles pass to other daemons, the callers' listener closes
// after its last request, and the admin and peer servers follow.
func (d *Daemon) shutDownOnDrain(ctx context.Context) error {
	servers := d.servers()
	select {
	case <-d.drainRequested:
	case <-ctx.Done():
	}
	d.logEvent("drain").WithField("in_flight", servers.callers.InFlight()).Info("draining")
	servers.callers.Drain()
	d.announceLeave(ctx)
	d.awaitReadinessChecks(ctx)
	err := servers.callers.Shutdown(ctx)
	d.logEvent("drained").WithField("in_flight", servers.callers.InFlight()).Info("callers' listener shut down")
	d.shutDownAdminAndPeers(servers)
	return err
}

// announceLeave tells peers that this daemon leaves, so that they take over its roles.
func (d *Daemon) announceLeave(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	do.MustInvoke[*membership.Membership](d.injector).Leave(leaveCtx)
}

// awaitReadinessChecks keeps the callers' listener open for the notice period, so that the
// external load balancer sees the failed readiness check before connections are refused.
func (d *Daemon) awaitReadinessChecks(ctx context.Context) {
	select {
	case <-time.After(d.settings.Drain.NoticePeriod):
	case <-ctx.Done():
	}
}

func (d *Daemon) shutDownAdminAndPeers(s *servers) {
	adminCtx, cancelAdmin := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancelAdmin()
	_ = s.admin.Shutdown(adminCtx)
	peersCtx, cancelPeers := context.WithTimeout(context.Background(), peerShutdownTimeout)
	defer cancelPeers()
	if s.peers.Shutdown(peersCtx) != nil {
		_ = s.peers.Close()
	}
}

// logEvent returns a log entry with the event's name and this VM's ID.
func (d *Daemon) logEvent(name string) *logrus.Entry {
	return d.options.Log.WithFields(logrus.Fields{"event": name, "vm": d.settings.VM.ID})
}
