package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
)

// writeRetryDelay is the time between two tries of a write.
const writeRetryDelay = 100 * time.Millisecond

// WriteOptions goes with a change.
type WriteOptions struct {
	// ExpectedVersion is the version that the change is based on: zero for a new
	// object, nil for the one in force on this daemon.
	ExpectedVersion *int64
	// ChangedBy names the operator.
	ChangedBy string
}

// Apply checks and stores an object, then waits until the live members report it.
// Failures are InvalidObject, Conflict (which names the other change),
// PlatformUnavailable (certainly not stored) and ResultUnknown.
func (d *Distributor) Apply(ctx context.Context, kind catalog.Kind, spec []byte, w WriteOptions) (ApplyResult, error) {
	name, canonical, err := catalog.Decode(kind, spec)
	if err != nil {
		return ApplyResult{}, err
	}
	if !d.Ready() {
		return ApplyResult{}, notReady()
	}
	if err := checkReferences(d.Current(), kind, canonical); err != nil {
		return ApplyResult{}, err
	}
	record := catalog.Record{Kind: kind, Name: name, ChangeID: uuid.NewString(), ChangedBy: w.ChangedBy, Spec: canonical}
	data, err := json.Marshal(record)
	if err != nil {
		return ApplyResult{}, failure.Wrap(err, failure.Internal, "the record could not be encoded").WithOutcome(failure.NotRun)
	}
	base := d.baseVersion(record.Key(), w)
	version, err := d.store(ctx, platform.Object{Collection: platform.ConfigCollection, Name: record.Key(), Version: base, Data: data}, record.ChangeID)
	if err != nil {
		return ApplyResult{}, err
	}
	record.Version = version
	d.change("apply", func(r *records) bool {
		d.changes.add(record.ChangeID, version)
		return r.put(record)
	})
	return d.awaitInForce(ctx, name, version), nil
}

func notReady() error {
	return failure.New(failure.PlatformUnavailable, "this daemon has no configuration yet, so that the change can not be checked")
}

// baseVersion is the version that a change replaces; zero for a new object.
func (d *Distributor) baseVersion(key string, w WriteOptions) int64 {
	if w.ExpectedVersion != nil {
		return *w.ExpectedVersion
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.live[key].Version
}

// store writes an object at its version. A call whose reply was lost is resolved by
// reading back the change ID, or by the platform's refusal of a second write.
func (d *Distributor) store(ctx context.Context, o platform.Object, changeID string) (version int64, err error) {
	deadline := d.opts.Clock.Now().Add(d.opts.WriteTimeout)
	uncertain := false
	for {
		stored, writeErr := d.write(ctx, o)
		switch platform.ReasonOf(writeErr) {
		case "":
			return stored.Version, nil
		case platform.Conflict, platform.Exists, platform.NotFound:
			return d.beaten(ctx, o, changeID, uncertain, deadline)
		case platform.Invalid:
			return 0, failure.Wrap(writeErr, failure.InvalidObject, "the platform refused the object").WithOutcome(failure.NotRun)
		case platform.RateLimited, platform.Unavailable:
		default:
			uncertain = true
			if found, ok := d.readBack(ctx, o.Name, changeID); ok {
				return found, nil
			}
		}
		if !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return 0, stayedAway(writeErr, uncertain)
		}
		d.sleep(ctx, writeRetryDelay)
	}
}

func stayedAway(cause error, uncertain bool) error {
	if uncertain {
		return failure.Wrap(cause, failure.ResultUnknown, "the platform stays away, so whether the change was stored is not known; read the object back before you try again")
	}
	return failure.Wrap(cause, failure.PlatformUnavailable, "the platform stays away; the change was not stored")
}

func (d *Distributor) write(ctx context.Context, o platform.Object) (platform.Object, error) {
	bounded, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	if o.Version == 0 {
		return d.opts.Store.Create(bounded, o)
	}
	return d.opts.Store.Update(bounded, o)
}

// readBack looks for a change that may have been stored.
func (d *Distributor) readBack(ctx context.Context, name, changeID string) (version int64, found bool) {
	if version, ok := d.seenChange(changeID); ok {
		return version, true
	}
	current, err := d.get(ctx, name)
	if err == nil && current.ChangeID == changeID {
		return current.Version, true
	}
	return 0, false
}

func (d *Distributor) seenChange(changeID string) (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes.version(changeID)
}

func (d *Distributor) get(ctx context.Context, name string) (catalog.Record, error) {
	bounded, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	o, err := d.opts.Store.Get(bounded, platform.ConfigCollection, name)
	if err != nil {
		return catalog.Record{}, err
	}
	record, ok := decode(o)
	if !ok {
		record = catalog.Record{Version: o.Version}
	}
	return record, nil
}

// beaten finds out what the object was replaced by. After a lost reply that may be
// this very change. Reads as old as the version that was written over are stale,
// and tried again.
func (d *Distributor) beaten(ctx context.Context, o platform.Object, changeID string, uncertain bool, deadline time.Time) (version int64, err error) {
	for {
		if seen, ok := d.seenChange(changeID); ok {
			return seen, nil
		}
		current, getErr := d.get(ctx, o.Name)
		gone := platform.ReasonOf(getErr) == platform.NotFound && o.Version != 0
		fresh := getErr == nil && current.Version != o.Version
		switch {
		case fresh && current.ChangeID == changeID:
			return current.Version, nil
		case fresh && !uncertain && current.Version > o.Version:
			return 0, conflict(o, current)
		case gone && !uncertain:
			return 0, failure.New(failure.Conflict, o.Name+" was deleted by another change").WithOutcome(failure.NotRun)
		}
		if !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return 0, d.unresolved(o, current, fresh, uncertain)
		}
		d.sleep(ctx, writeRetryDelay)
	}
}

// unresolved is the answer when the platform shows another change on top, or
// nothing: after a lost reply this change may lie beneath it.
func (d *Distributor) unresolved(o platform.Object, current catalog.Record, fresh, uncertain bool) error {
	if uncertain {
		return failure.New(failure.ResultUnknown, "the reply was lost, and "+o.Name+" was changed again since; read it before you try again")
	}
	if fresh {
		return conflict(o, current)
	}
	return failure.New(failure.Conflict, o.Name+" is not at version "+fmt.Sprint(o.Version)+", and the other change could not be read").WithOutcome(failure.NotRun)
}

func conflict(o platform.Object, current catalog.Record) error {
	by := current.ChangedBy
	if by == "" {
		by = "an unnamed operator"
	}
	message := fmt.Sprintf("%s was expected at version %d, but %s changed it at version %d (change %s)", o.Name, o.Version, by, current.Version, current.ChangeID)
	return failure.New(failure.Conflict, message).WithOutcome(failure.NotRun)
}
