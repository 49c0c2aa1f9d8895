// Package directory holds the endpoints that the platform lists. It decides which of
// them may receive new work while the platform is available, during an outage, and
// shortly after one. It performs no I/O and reads no clock: events and the current time
// go in, the usable endpoints come out.
package directory

import (
	"maps"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// ReturnGrace is how long after the end of a platform outage an entry that went missing
// during the outage is still used; live endpoints have registered again by then.
const ReturnGrace = 2300 * time.Millisecond

// entry is a listed endpoint, or one that is missing and may still return.
type entry struct {
	endpoint routetable.Endpoint
	// missingSince is the time since which the platform no longer lists the endpoint,
	// presumably because of an outage; zero while it is listed.
	missingSince time.Time
	// odd is set if the values of the endpoint are out of bounds. A daemon of an earlier build may
	// pass on such an endpoint, which counts in comparisons with its list but is not used.
	odd bool
}

// Directory holds the endpoint entries by ID. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*entry
	// unavailable is set while the platform can't be read.
	unavailable bool
	// availableSince is the end of the latest platform outage, zero before the first.
	availableSince time.Time
	changeCount    uint64
	changes        changeLog
	retired        retiredEndpoints
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[string]*entry), changes: newChangeLog(), retired: newRetiredEndpoints()}
}

// PlatformUnavailable records that the platform can't be read.
func (d *Directory) PlatformUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = true
}

// PlatformAvailable records that the platform can be read again.
func (d *Directory) PlatformAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		d.unavailable, d.availableSince = false, now
	}
}

// Put adds or updates an endpoint.
func (d *Directory) Put(e routetable.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(e)
}

func (d *Directory) put(e routetable.Endpoint) {
	old := d.entries[e.ID]
	if old != nil && old.missingSince.IsZero() && old.endpoint == e {
		return
	}
	d.set(e.ID, &entry{endpoint: e, odd: e.Check() != nil})
}

// set replaces an entry, or deletes it if e is nil; d.mu is held.
func (d *Directory) set(id string, e *entry) {
	if old := d.entries[id]; old != nil {
		d.changes.digest ^= hashEndpoint(old.endpoint)
		if e == nil {
			d.retired.add(old.endpoint)
		}
	}
	delete(d.entries, id)
	if e != nil {
		d.entries[id] = e
		d.changes.digest ^= hashEndpoint(e.endpoint)
	}
	d.changes.note(id)
	d.changeCount++
}

// Remove records that the platform no longer lists an endpoint. During an outage and
// within ReturnGrace after it, the endpoint may only have failed to renew its
// registration, so it stays in use until the grace period ends, unless it was draining. Remove
// reports whether the endpoint was listed.
func (d *Directory) Remove(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(now, id)
}

func (d *Directory) remove(now time.Time, id string) bool {
	old := d.entries[id]
	if old == nil || !old.missingSince.IsZero() {
		return false
	}
	if !old.endpoint.Draining && (d.unavailable || d.inGrace(now)) {
		old.missingSince = now
		d.changes.note(id)
		d.changeCount++
		return true
	}
	d.set(id, nil)
	return true
}

func (d *Directory) inGrace(now time.Time) bool {
	return !d.availableSince.IsZero() && now.Sub(d.availableSince) < ReturnGrace
}

// Replace takes over a full list: endpoints that are not in it are removed as by Remove.
func (d *Directory) Replace(now time.Time, endpoints []routetable.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replace(now, endpoints)
}

func (d *Directory) replace(now time.Time, endpoints []routetable.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		d.put(endpoint)
	}
	for id := range maps.Clone(d.entries) {
		if !listed[id] {
			d.remove(now, id)
		}
	}
}

// Expire deletes the entries that are still missing after the grace period that follows
// an outage, and returns their IDs.
func (d *Directory) Expire(now time.Time) (dropped []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable || d.inGrace(now) {
		return nil
	}
	for id, e := range d.entries {
		if !e.missingSince.IsZero() {
			d.set(id, nil)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// ExpiresIn returns the time after which Expire deletes missing entries, or false if there are none,
// or the platform is unavailable.
func (d *Directory) ExpiresIn(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return 0, false
	}
	for _, e := range d.entries {
		if !e.missingSince.IsZero() {
			return max(0, d.availableSince.Add(ReturnGrace).Sub(now)), true
		}
	}
	return 0, false
}

// ChangeCount increases with every change of an entry.
func (d *Directory) ChangeCount() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changeCount
}

// Endpoints returns every endpoint, including draining ones and missing ones that may
// still return, without those whose values are out of bounds.
func (d *Directory) Endpoints() []routetable.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	endpoints := make([]routetable.Endpoint, 0, len(d.entries))
	for _, e := range d.entries {
		if !e.odd {
			endpoints = append(endpoints, e.endpoint)
		}
	}
	return endpoints
}

// Usable returns the endpoints that may receive new work, by service. Addresses are
// reused: of several endpoints with one address, only the one that started last counts. If it
// isn't known which did, all count: an endpoint refuses requests for another.
func (d *Directory) Usable() map[string][]routetable.Endpoint {
	return d.UsableFor(func(string) bool { return true })
}

// UsableFor is Usable for the services that includes accepts. Entries of other services count for
// nothing: they may have been left by another writer.
func (d *Directory) UsableFor(includes func(service string) bool) map[string][]routetable.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := func(e *entry) bool { return !e.odd && includes(e.endpoint.Service) }
	lastStart := make(map[string]int64, len(d.entries))
	for _, e := range d.entries {
		if counts(e) {
			lastStart[e.endpoint.Address] = max(lastStart[e.endpoint.Address], e.endpoint.StartedAt)
		}
	}
	services := make(map[string][]routetable.Endpoint)
	for _, e := range d.entries {
		if counts(e) && !e.endpoint.Draining && e.endpoint.StartedAt == lastStart[e.endpoint.Address] {
			services[e.endpoint.Service] = append(services[e.endpoint.Service], e.endpoint)
		}
	}
	return services
}
