// Package platform is the client for the platform's object API: versioned objects, conditional
// updates, watches, and a list of VMs that lags behind the real state. No other package depends
// on the shape of that API.
package platform

import (
	"context"
	"time"
)

// Collections in which primrosewell stores its objects.
const (
	// ConfigCollection holds profiles, workspaces, services and endpoints.
	ConfigCollection = "config"
	// ClaimCollection holds the segments of the claim log.
	ClaimCollection = "claims"
)

// MaxObjectBytes is the largest Data of an object that the platform accepts.
const MaxObjectBytes = 1 << 20

// Object is one stored value. Version is assigned by the platform, grows with
// every write to the whole store, and is zero before the first write.
type Object struct {
	Collection string
	Name       string
	Version    int64
	Data       []byte
}

// List is a consistent snapshot of a collection at Version.
type List struct {
	// Era is the platform's era, or 0 if it states none; see Event.
	Era     int64
	Version int64
	Items   []Object
}

// EventType is the kind of change that an event reports.
type EventType string

const (
	// Put means that the object was created or updated.
	Put EventType = "put"
	// Deleted means that the object was removed; Data is empty.
	Deleted EventType = "deleted"
	// Bookmark means that nothing else changed up to the version of Object, whose name is empty.
	// Only a polling watch delivers it, after each poll without changes.
	Bookmark EventType = "bookmark"
)

// Event is one change of a collection. A watch delivers events in version order.
type Event struct {
	Type EventType
	// Era is the platform's era when it sent the event, or 0 if it states none. If it differs
	// from that of the list from which the watch started, the platform has come back from an
	// older copy of its data and the collection must be listed again.
	Era    int64
	Object Object
}

// Watch delivers the changes of one collection after a version. Next blocks until the next event;
// it returns an *Error when the watch has ended, after which the caller must list the collection
// again. Next must be called from one goroutine at a time; Close may be called from any.
type Watch interface {
	Next(ctx context.Context) (Event, error)
	Close()
}

// VMState is the state of a VM in the platform's list, which lags behind the real state.
type VMState string

const (
	// VMLive means that the VM runs.
	VMLive VMState = "live"
	// VMLeaving means that the VM is being removed.
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // IP address, or IP:port of its service.
	DataCentre string  `json:"data_centre"`
	Role       string  `json:"role"` // "entry" or "endpoint".
	State      VMState `json:"state"`
}

// Store is the platform's object API. All methods may be called concurrently and
// return *Error on failure. Each call counts against the platform's rate limits, also one that
// waits for the changes of a watch.
type Store interface {
	// Get reads one object. Reads may be stale.
	Get(ctx context.Context, collection, name string) (Object, error)
	// List returns the objects of a collection whose names start with prefix.
	List(ctx context.Context, collection, prefix string) (List, error)
	// Create stores an object that does not exist; otherwise the reason is Exists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object at exactly o.Version; otherwise the reason is Conflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object at exactly version; otherwise the reason is Conflict.
	Delete(ctx context.Context, collection, name string, version int64) error
	// Watch delivers the changes after version; the reason is TooOld if the platform no longer has
	// them.
	Watch(ctx context.Context, collection string, version int64) (Watch, error)
	// VMs returns the list of live and leaving VMs, which lags behind the real state.
	VMs(ctx context.Context) ([]VM, error)
}

// Reason says why a call failed.
type Reason string

const (
	// NotFound means that the object does not exist.
	NotFound Reason = "not_found"
	// Exists means that the object to create exists already.
	Exists Reason = "exists"
	// Conflict means that the stored object has another version than the call requires.
	Conflict Reason = "conflict"
	// TooOld means that the version to watch from has been compacted away.
	TooOld Reason = "too_old"
	// WatchEnded means that the watch has ended; the caller must list the collection again.
	WatchEnded Reason = "watch_ended"
	// RateLimited means that a rate limit refused the call before it took effect.
	RateLimited Reason = "rate_limited"
	// Unavailable means that the call certainly did not take effect.
	Unavailable Reason = "unavailable"
	// Uncertain means that the call may have taken effect.
	Uncertain Reason = "uncertain"
	// Invalid means that the platform refused the call as malformed.
	Invalid Reason = "invalid"
	// Denied means that the platform rejected the client's token.
	Denied Reason = "denied"
)

// Error is the error of a call to the platform.
type Error struct {
	Reason     Reason
	Op         string        // "get", "create", and so on.
	Key        string        // collection/name.
	RetryAfter time.Duration // Delay before a retry, or 0 if the platform states none.
	Cause      error
	// Silent is set if the call was sent on an open connection, and no whole response came in time.
	Silent bool
	// lostWithKeptConn is set if the call was sent on a connection that had been used before, and
	// got no whole response there.
	lostWithKeptConn bool
}
