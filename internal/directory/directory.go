// Package directory keeps the endpoints that the platform lists. It decides which
// of them may get new work while the list is fresh, away, or just back. It is pure:
// events and the time go in, the usable endpoints come out.
package directory

import (
	"maps"
	"sync"
	"time"

	"github.com/primrosewell/primrosewell/internal/routetable"
)

// ReturnGrace is how long after the store's return an entry that lapsed while it was
// away is still used; live endpoints have registered again by then.
const ReturnGrace = 2300 * time.Millisecond

// entry is an endpoint and what is known of its row.
type entry struct {
	endpoint routetable.Endpoint
	// missingSince is set while the row is absent because of an outage.
	missingSince time.Time
}

// Directory holds the rows. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*entry
	// away is set while the store can't be read.
	away bool
	// returned is when the store last came back after an outage.
	returned time.Time
	version  uint64
	changes  changes
}

// New returns an empty directory.
func New() *Directory { return &Directory{entries: make(map[string]*entry), changes: newChanges()} }

// StoreAway notes that the store can't be read.
func (d *Directory) PlatformUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// StoreBack notes that the store answers again.
func (d *Directory) PlatformAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away {
		d.away, d.returned = false, now
	}
}

// Put notes a row.
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
	d.set(e.ID, &entry{endpoint: e})
}

// set replaces an entry, or drops it if e is nil; d.mu is held.
func (d *Directory) set(id string, e *entry) {
	if old := d.entries[id]; old != nil {
		d.changes.digest ^= hashOf(old.endpoint)
	}
	delete(d.entries, id)
	if e != nil {
		d.entries[id] = e
		d.changes.digest ^= hashOf(e.endpoint)
	}
	d.changes.note(id)
	d.version++
}

// Remove notes that a row is gone. Within the grace after an outage the endpoint may
// only have failed to renew it, so it stays in use until the grace ends.
func (d *Directory) Remove(now time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(now, id)
}

func (d *Directory) remove(now time.Time, id string) {
	old := d.entries[id]
	if old == nil || !old.missingSince.IsZero() {
		return
	}
	if !old.endpoint.Draining && (d.away || d.inGrace(now)) {
		old.missingSince = now
		d.changes.note(id)
		d.version++
		return
	}
	d.set(id, nil)
}

func (d *Directory) inGrace(now time.Time) bool {
	return !d.returned.IsZero() && now.Sub(d.returned) < ReturnGrace
}

// Replace notes a whole list.
func (d *Directory) Replace(now time.Time, rows []routetable.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.ID] = true
		d.put(row)
	}
	for id := range maps.Clone(d.entries) {
		if !listed[id] {
			d.remove(now, id)
		}
	}
}

// Expire drops entries still missing when the grace after an outage has ended.
func (d *Directory) Expire(now time.Time) (dropped []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away || d.inGrace(now) {
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

// Version changes with every change of the endpoints in use.
func (d *Directory) ChangeCount() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Rows returns every entry, draining ones and those within the grace included.
func (d *Directory) Endpoints() []routetable.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := make([]routetable.Endpoint, 0, len(d.entries))
	for _, e := range d.entries {
		rows = append(rows, e.endpoint)
	}
	return rows
}

// Usable returns the endpoints that may get new work, by service. Of several rows
// with one address the latest born is used: addresses are reused.
func (d *Directory) Usable() map[string][]routetable.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	holder := make(map[string]routetable.Endpoint, len(d.entries))
	for _, e := range d.entries {
		if other, taken := holder[e.endpoint.Address]; !taken || other.StartedAt < e.endpoint.StartedAt {
			holder[e.endpoint.Address] = e.endpoint
		}
	}
	services := make(map[string][]routetable.Endpoint)
	for _, endpoint := range holder {
		if !endpoint.Draining {
			services[endpoint.Service] = append(services[endpoint.Service], endpoint)
		}
	}
	return services
}
