package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/platform"
)

const (
	// rolePollInterval is the time between checks of whether this daemon is a watcher.
	rolePollInterval = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before the next watch; minRetryDelay
	// is also the delay between lists until a configuration is loaded.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// idleListIntervalPerMember scales the list interval of daemons that do not watch with
	// the number of members, so that together they list about once a second.
	idleListIntervalPerMember = time.Second
	minIdleListInterval       = 5 * time.Second
	// watcherRankPrefix and the data centre form the key by which members are ranked as
	// watchers.
	watcherRankPrefix = "config-watch/"
)

// platformState tracks the results of platform reads and the state of the watch.
type platformState struct {
	mu          sync.Mutex
	lastSuccess time.Time
	failing     bool
	watching    bool
	// restart is closed to end the current watch after it missed a change.
	restart chan struct{}
}

func (p *platformState) init() { p.restart = make(chan struct{}) }

func (p *platformState) recordCall(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = err != nil
	if err == nil {
		p.lastSuccess = now
	}
}

func (p *platformState) setWatching(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watching = on
}

func (p *platformState) restartChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.restart
}

func (p *platformState) restartWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.restart)
	p.restart = make(chan struct{})
}

// Status describes this daemon's configuration and its connection to the platform.
type Status struct {
	Revision int64 `json:"revision"`
	Ready    bool  `json:"ready"`
	// Watching is true if this daemon watches the platform.
	Watching bool `json:"watching"`
	// PlatformReachable is false if the last read from the platform failed, or there was none.
	PlatformReachable bool `json:"platform_reachable"`
	// PlatformAge is the time since the last successful read; zero if there was none.
	PlatformAge time.Duration `json:"platform_age_ns"`
}

// Status returns the current status.
func (d *Distributor) Status() Status {
	p := &d.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Revision: d.Revision(), Ready: d.Ready(), Watching: p.watching, PlatformReachable: !p.failing && !p.lastSuccess.IsZero()}
	if !p.lastSuccess.IsZero() {
		s.PlatformAge = d.opts.Clock.Since(p.lastSuccess)
	}
	return s
}

// shouldWatch reports whether this daemon is one of the watchers of its data centre: the
// WatchersPerDataCentre members ranked first by rendezvous hashing.
func (d *Distributor) shouldWatch() bool {
	self := d.opts.View.Self()
	local := lo.Filter(d.opts.View.Members(), func(m membership.Member, _ int) bool { return m.DataCentre == self.DataCentre })
	ranked := membership.Rank(watcherRankPrefix+self.DataCentre, local)
	for _, m := range ranked[:min(len(ranked), d.opts.WatchersPerDataCentre)] {
		if m.ID == self.ID {
			return true
		}
	}
	return false
}

// runPlatform keeps the records in sync with the platform. Watchers watch it and also
// list it every ListInterval. The other daemons only list it: at long intervals, or every
// minRetryDelay until a configuration is loaded.
func (d *Distributor) runPlatform(ctx context.Context) {
	go d.runPeriodicLists(ctx)
	delay := minRetryDelay
	for ctx.Err() == nil {
		if !d.shouldWatch() {
			d.platform.setWatching(false)
			d.sleep(ctx, rolePollInterval)
			continue
		}
		d.platform.setWatching(true)
		started := d.opts.Clock.Now()
		d.watchOnce(ctx)
		if d.opts.Clock.Since(started) > maxRetryDelay {
			delay = minRetryDelay
		}
		d.sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (d *Distributor) sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.opts.Clock.After(t):
	}
}

// watchOnce lists the collection, then applies watch events until the watch ends.
func (d *Distributor) watchOnce(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	restart := d.platform.restartChannel()
	go func() {
		select {
		case <-restart:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	version, _, err := d.listAll(watchCtx)
	if err != nil {
		return
	}
	watch, err := d.opts.Store.Watch(watchCtx, platform.ConfigCollection, version)
	if err != nil {
		d.platform.recordCall(d.opts.Clock.Now(), err)
		return
	}
	defer watch.Close()
	for {
		event, err := watch.Next(watchCtx)
		if err != nil {
			return
		}
		d.applyEvent(event)
	}
}

func (d *Distributor) applyEvent(event platform.Event) {
	d.update("watch", func(r *records) bool {
		if event.Type == platform.Deleted {
			t, ok := decodeTombstone(event.Object)
			return ok && r.remove(t)
		}
		record, ok := decodeRecord(event.Object)
		if !ok {
			return false
		}
		d.changes.add(record.ChangeID, record.Version)
		return r.put(record)
	})
}

// listAll lists the full collection and applies it to the records.
func (d *Distributor) listAll(ctx context.Context) (version int64, changed bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	listed, err := d.opts.Store.List(callCtx, platform.ConfigCollection, "")
	d.platform.recordCall(d.opts.Clock.Now(), err)
	if err != nil {
		d.opts.Scope.Counter("config_lists_failed").Inc(1)
		return 0, false, err
	}
	listedRecords := lo.FilterMap(listed.Items, func(o platform.Object, _ int) (catalog.Record, bool) { return decodeRecord(o) })
	changed = d.update("list", func(r *records) bool {
		for _, record := range listedRecords {
			d.changes.add(record.ChangeID, record.Version)
		}
		changed, stale := r.applyList(listed.Version, listedRecords)
		if stale {
			d.opts.Scope.Counter("config_lists_stale").Inc(1)
		}
		return changed
	})
	return listed.Version, changed, nil
}

// runPeriodicLists lists the collection in parallel with the watch. A change that a list
// finds first was missed by the watch, so the watch is restarted.
func (d *Distributor) runPeriodicLists(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.hasLoaded() {
			_, _, _ = d.listAll(ctx) // Retried by the next iteration.
			d.sleep(ctx, minRetryDelay)
			continue
		}
		d.sleep(ctx, d.listInterval())
		if _, changed, err := d.listAll(ctx); err == nil && changed {
			d.opts.Scope.Counter("config_changes_missed_by_watch").Inc(1)
			d.platform.restartWatch()
		}
	}
}

func (d *Distributor) listInterval() time.Duration {
	if d.shouldWatch() {
		return d.opts.ListInterval
	}
	return max(minIdleListInterval, time.Duration(len(d.opts.View.Members()))*idleListIntervalPerMember)
}

func (d *Distributor) hasLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}
