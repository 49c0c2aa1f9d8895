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
	// rolePollInterval is the time between checks of whether this daemon watches.
	rolePollInterval = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the wait after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// idleListPerMember spreads the readings of daemons that do not watch, so that
	// together they read about once a second at any size.
	idleListPerMember = time.Second
	minIdleList       = 5 * time.Second
	// watcherPool is what the watchers are ranked for.
	watcherPool = "config-watch/"
)

// platformState is what is known of the platform's service.
type platformState struct {
	mu       sync.Mutex
	lastOK   time.Time
	failing  bool
	watching bool
	// reopen is closed to end a watch that missed something.
	reopen chan struct{}
}

func (p *platformState) init() { p.reopen = make(chan struct{}) }

func (p *platformState) note(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = err != nil
	if err == nil {
		p.lastOK = now
	}
}

func (p *platformState) setWatching(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watching = on
}

func (p *platformState) reopenChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reopen
}

func (p *platformState) endWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.reopen)
	p.reopen = make(chan struct{})
}

// Status describes this daemon's part in the distribution.
type Status struct {
	Revision int64 `json:"revision"`
	Ready    bool  `json:"ready"`
	// Watching is true if this daemon watches the platform.
	Watching bool `json:"watching"`
	// PlatformReachable is false if the last reading of the platform failed.
	PlatformReachable bool `json:"platform_reachable"`
	// PlatformAge is the time since the last successful reading; zero if there was none.
	PlatformAge time.Duration `json:"platform_age_ns"`
}

// Status returns this daemon's part in the distribution.
func (d *Distributor) Status() Status {
	p := &d.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Revision: d.Revision(), Ready: d.Ready(), Watching: p.watching, PlatformReachable: !p.failing && !p.lastOK.IsZero()}
	if !p.lastOK.IsZero() {
		s.PlatformAge = d.opts.Clock.Since(p.lastOK)
	}
	return s
}

// watches reports whether this daemon is one of those that watch for its data centre.
func (d *Distributor) watches() bool {
	self := d.opts.View.Self()
	local := lo.Filter(d.opts.View.Members(), func(m membership.Member, _ int) bool { return m.DataCentre == self.DataCentre })
	ranked := membership.Rank(watcherPool+self.DataCentre, local)
	for _, m := range ranked[:min(len(ranked), d.opts.WatchersPerDataCentre)] {
		if m.ID == self.ID {
			return true
		}
	}
	return false
}

// runPlatform reads the platform: watchers list, watch and list again now and then;
// the others list seldom, and at once while they have nothing.
func (d *Distributor) runPlatform(ctx context.Context) {
	go d.runLists(ctx)
	delay := minRetryDelay
	for ctx.Err() == nil {
		if !d.watches() {
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

// watchOnce lists, then takes in events until the watch ends.
func (d *Distributor) watchOnce(ctx context.Context) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	reopen := d.platform.reopenChannel()
	go func() {
		select {
		case <-reopen:
			cancel()
		case <-bounded.Done():
		}
	}()
	version, _, err := d.list(bounded)
	if err != nil {
		return
	}
	watch, err := d.opts.Store.Watch(bounded, platform.ConfigCollection, version)
	if err != nil {
		d.platform.note(d.opts.Clock.Now(), err)
		return
	}
	defer watch.Close()
	for {
		event, err := watch.Next(bounded)
		if err != nil {
			return
		}
		d.takeEvent(event)
	}
}

func (d *Distributor) takeEvent(event platform.Event) {
	d.change("watch", func(r *records) bool {
		if event.Type == platform.Deleted {
			t, ok := tombstone(event.Object)
			return ok && r.remove(t)
		}
		record, ok := decode(event.Object)
		if !ok {
			return false
		}
		d.changes.add(record.ChangeID, record.Version)
		return r.put(record)
	})
}

// list reads the whole collection.
func (d *Distributor) list(ctx context.Context) (version int64, changed bool, err error) {
	bounded, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	listed, err := d.opts.Store.List(bounded, platform.ConfigCollection, "")
	d.platform.note(d.opts.Clock.Now(), err)
	if err != nil {
		d.opts.Scope.Counter("config_lists_failed").Inc(1)
		return 0, false, err
	}
	found := lo.FilterMap(listed.Items, func(o platform.Object, _ int) (catalog.Record, bool) { return decode(o) })
	changed = d.change("list", func(r *records) bool {
		for _, record := range found {
			d.changes.add(record.ChangeID, record.Version)
		}
		changed, stale := r.replace(listed.Version, found)
		if stale {
			d.opts.Scope.Counter("config_lists_stale").Inc(1)
		}
		return changed
	})
	return listed.Version, changed, nil
}

// runLists reads the collection beside the watch. What it finds first was missed by
// the watch, which is then opened anew.
func (d *Distributor) runLists(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.hasLoaded() {
			_, _, _ = d.list(ctx) // Tried again below.
			d.sleep(ctx, minRetryDelay)
			continue
		}
		d.sleep(ctx, d.listInterval())
		if _, changed, err := d.list(ctx); err == nil && changed {
			d.opts.Scope.Counter("config_changes_missed_by_watch").Inc(1)
			d.platform.endWatch()
		}
	}
}

func (d *Distributor) listInterval() time.Duration {
	if d.watches() {
		return d.opts.ListInterval
	}
	return max(minIdleList, time.Duration(len(d.opts.View.Members()))*idleListPerMember)
}

func (d *Distributor) hasLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}
