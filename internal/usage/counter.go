package usage

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// maxUnconfirmed bounds the requests that are held until the clock is confirmed, at 40 bytes each.
	// Above it they are counted by the clock as it is.
	maxUnconfirmed = 20_000
	// sealedRepeats is how often a sealed sum is sent, and sealedInterval the time between two: a gateway
	// that missed all of them could not restore it after the platform has lost it.
	sealedRepeats, sealedInterval = 3, time.Second
)

// Counter counts the requests of this process and tells the other gateways. It is safe for concurrent
// use.
type Counter struct {
	windows Windows
	clock   *Clock

	mu sync.Mutex
	// unconfirmed are requests that began while the clock was not confirmed.
	unconfirmed []begun
	counts      map[int64]*ownCounts
	sealed      map[int64]*announcement
}

type begun struct {
	at        time.Duration
	workspace string
}

// ownCounts are this process's counts in a window.
type ownCounts struct {
	counts map[string]int64
	sum    int64
	// unsent are the workspaces whose counts have changed since they were last sent.
	unsent map[string]bool
}

// announcement is a sealed sum that is sent to the other gateways.
type announcement struct {
	counts map[string]int64
	sum    int64
	unsent []string
	sent   int
	sentAt time.Duration
}

// NewCounter returns a counter without counts.
func NewCounter(windows Windows, clock *Clock) *Counter {
	return &Counter{windows: windows, clock: clock, counts: make(map[int64]*ownCounts), sealed: make(map[int64]*announcement)}
}

// Began counts a request that an endpoint began to run at an instant of the boot clock.
func (c *Counter) Began(at time.Duration, workspace string) {
	if workspace == "" || len(workspace) > MaxNameBytes {
		return // Receivers refuse such a name.
	}
	trueTime, confirmed := c.clock.At(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !confirmed && len(c.unconfirmed) < maxUnconfirmed {
		c.unconfirmed = append(c.unconfirmed, begun{at, workspace})
		return
	}
	c.count(c.windows.At(trueTime), workspace)
}

func (c *Counter) count(window int64, workspace string) {
	own := c.counts[window]
	if own == nil {
		own = &ownCounts{counts: make(map[string]int64), unsent: make(map[string]bool)}
		c.counts[window] = own
	}
	if _, exists := own.counts[workspace]; !exists && len(own.counts) >= maxWorkspaces {
		return
	}
	own.counts[workspace]++
	own.sum++
	own.unsent[workspace] = true
}

// update assigns the requests that waited for the clock to windows, and drops windows whose reports
// have been due.
func (c *Counter) update(now time.Time, confirmed bool) {
	if confirmed {
		for _, b := range c.unconfirmed {
			at, _ := c.clock.At(b.at)
			c.count(c.windows.At(at), b.workspace)
		}
		c.unconfirmed = nil
	}
	for window := range c.counts {
		if c.windows.due(window).Before(now) {
			delete(c.counts, window)
		}
	}
	for window := range c.sealed {
		if c.windows.due(window).Add(c.windows.Due).Before(now) {
			delete(c.sealed, window)
		}
	}
}

// Announce makes the counter tell the other gateways a sum that is stored at the platform.
func (c *Counter) Announce(window int64, counts map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed[window] == nil {
		c.sealed[window] = &announcement{counts: counts, sum: lo.Sum(lo.Values(counts)), unsent: sortedNames(counts)}
	}
}

// Resend makes the counter send all counts of windows again, as a receiver asked for them.
func (c *Counter) Resend(windows []int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, window := range windows {
		if own := c.counts[window]; own != nil {
			for workspace := range own.counts {
				own.unsent[workspace] = true
			}
		}
	}
}

// Clock returns a report without counts.
func (c *Counter) Clock(boot time.Duration) Report {
	now, confirmed := c.clock.At(boot)
	return Report{Clock: now.UnixNano(), Confirmed: confirmed}
}

// Reports returns what is to be sent to the watchers now: counts that have changed since the last call
// or were asked for. There is always a report, as it says up to when this process has counted.
func (c *Counter) Reports(boot time.Duration) []Report {
	now, confirmed := c.clock.At(boot)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(now, confirmed)
	p := newPacker(Report{Clock: now.UnixNano(), Confirmed: confirmed})
	open := sortedKeys(c.counts)
	more := false
	for _, window := range open {
		own := c.counts[window]
		header := WindowCounts{Window: window, Sum: own.sum, Workspaces: len(own.counts)}
		for _, name := range p.add(header, sortedNames(own.unsent), own.counts, countsOf) {
			delete(own.unsent, name)
		}
		more = more || len(own.unsent) > 0
	}
	for _, window := range sortedKeys(c.sealed) {
		c.sealed[window].send(p, window, boot)
	}
	for i := range p.reports {
		p.reports[i].More = more || i < len(p.reports)-1
	}
	return p.reports
}

func (a *announcement) send(p *packer, window int64, boot time.Duration) {
	if a.sent == sealedRepeats {
		return
	}
	if len(a.unsent) == 0 && a.sent > 0 {
		if boot-a.sentAt < sealedInterval {
			return
		}
		a.unsent = sortedNames(a.counts)
	}
	header := WindowCounts{Window: window, Sum: a.sum, Workspaces: len(a.counts)}
	added := p.add(header, a.unsent, a.counts, sealedOf)
	a.unsent = a.unsent[len(added):]
	if len(a.unsent) == 0 {
		a.sent++
		a.sentAt = boot
	}
}

// Own returns this process's counts of all open windows, in one report of any size.
func (c *Counter) Own(boot time.Duration) Report {
	now, confirmed := c.clock.At(boot)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(now, confirmed)
	r := Report{Clock: now.UnixNano(), Confirmed: confirmed}
	for _, window := range sortedKeys(c.counts) {
		own := c.counts[window]
		names := sortedNames(own.counts)
		r.Windows = append(r.Windows, WindowCounts{
			Window: window, Sum: own.sum, Workspaces: len(names), Names: names,
			Counts: lo.Map(names, func(name string, _ int) int64 { return own.counts[name] }),
		})
	}
	return r
}

func sortedNames[V any](of map[string]V) []string { return sortedKeys(of) }

func sortedKeys[K int64 | string, V any](of map[K]V) []K {
	keys := lo.Keys(of)
	slices.Sort(keys)
	return keys
}
