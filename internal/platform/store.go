// Package platform is the only package that knows the shape of the platform's
// object API: objects with versions, conditional updates and watches, and the
// lagging list of VMs.
package platform

import (
	"context"
	"time"
)

// Collections that primrosewell keeps in the platform.
const (
	// ConfigCollection holds profiles, workspaces, services and endpoints.
	ConfigCollection = "config"
	// ClaimCollection holds the segments of the claim log.
	ClaimCollection = "claims"
)

// MaxObjectBytes is the largest value that the platform takes.
const MaxObjectBytes = 1 << 20

// Object is one stored value. Version is assigned by the platform, grows with
// every write to the whole store, and is zero before the first write.
type Object struct {
	Collection string
	Name       string
	Version    int64
	Data       []byte
}

// List is a consistent reading of a collection as of Version.
type List struct {
	Version int64
	Items   []Object
}

// EventType names what happened to an object.
type EventType string

const (
	// Put means that the object was created or updated.
	Put EventType = "put"
	// Deleted means that the object was removed; Data is empty.
	Deleted EventType = "deleted"
	// Bookmark means that nothing changed up to the version of the nameless object.
	// Only a polling watch delivers it, after each wait.
	Bookmark EventType = "bookmark"
)

// Event is one change, in version order.
type Event struct {
	Type   EventType
	Object Object
}

// Watch delivers the changes of one collection after a version. Next blocks; it
// returns a Reason error when the watch ended, after which the holder lists again.
// A Watch is used by one goroutine; Close may be called by any.
type Watch interface {
	Next(ctx context.Context) (Event, error)
	Close()
}

// VMState is what the platform's lagging list says of a VM.
type VMState string

const (
	// VMLive means that the VM runs.
	VMLive VMState = "live"
	// VMLeaving means that the VM is being taken away.
	VMLeaving VMState = "leaving"
)

// VM is one row of the lagging list.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"` // IP number, or IP:port of its service.
	DataCentre string  `json:"data_centre"`
	Role       string  `json:"role"` // "entry" or "endpoint".
	State      VMState `json:"state"`
}

// Store is the platform's object API. All methods may be called concurrently and
// return *Error on failure. Each call, a waiting watch included, counts against
// the platform's rates.
type Store interface {
	// Get reads one object. Reads may be stale.
	Get(ctx context.Context, collection, name string) (Object, error)
	// List reads a collection whose names start with prefix.
	List(ctx context.Context, collection, prefix string) (List, error)
	// Create stores an object that does not exist; otherwise the reason is Exists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object at exactly o.Version; otherwise the reason is Conflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object at exactly version; otherwise the reason is Conflict.
	Delete(ctx context.Context, collection, name string, version int64) error
	// Watch delivers changes after version; the reason is TooOld if they are gone.
	Watch(ctx context.Context, collection string, version int64) (Watch, error)
	// VMs returns the lagging list of live and leaving VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Reason says why a call failed.
type Reason string

const (
	// NotFound means that the object does not exist.
	NotFound Reason = "not_found"
	// Exists means that the object to create exists already.
	Exists Reason = "exists"
	// Conflict means that the object is at another version.
	Conflict Reason = "conflict"
	// TooOld means that the version to watch from has been compacted away.
	TooOld Reason = "too_old"
	// WatchEnded means that the watch was cut; list again.
	WatchEnded Reason = "watch_ended"
	// RateLimited means that the call was refused before it took effect.
	RateLimited Reason = "rate_limited"
	// Unavailable means that the call certainly did not take effect.
	Unavailable Reason = "unavailable"
	// Uncertain means that the call may have taken effect.
	Uncertain Reason = "uncertain"
	// Invalid means that the platform refused the call as malformed.
	Invalid Reason = "invalid"
	// Denied means that the platform refused the client's token.
	Denied Reason = "denied"
)

// Error is the failure of a call on the platform.
type Error struct {
	Reason     Reason
	Op         string // "get", "create", and so on.
	Key        string // collection/name.
	RetryAfter time.Duration
	Cause      error
}
