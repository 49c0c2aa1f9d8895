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

// writeRetryDelay is the delay between attempts of a write or delete, and between the
// reads that confirm it.
const writeRetryDelay = 100 * time.Millisecond

// WriteOptions describes the base version and the author of a change.
type WriteOptions struct {
	// ExpectedVersion is the version that the change replaces: zero for a new object, nil
	// for the version in force on this daemon.
	ExpectedVersion *int64
	// ChangedBy is the name of the operator.
	ChangedBy string
}

// Apply validates and stores an object, then waits until the live members report it.
// Failures are InvalidObject, Conflict (which names the other change),
// PlatformUnavailable (the change was not stored) and ResultUnknown.
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
	version, err := d.storeObject(ctx, platform.Object{Collection: platform.ConfigCollection, Name: record.Key(), Version: base, Data: data}, record.ChangeID)
	if err != nil {
		return ApplyResult{}, err
	}
	record.Version = version
	d.update("apply", func(r *records) bool {
		d.changes.add(record.ChangeID, version)
		return r.put(record)
	})
	return d.awaitInForce(ctx, name, version), nil
}

func notReady() error {
	return failure.New(failure.PlatformUnavailable, "this daemon has no configuration yet, so that the change can not be checked")
}

// baseVersion returns the version that a change replaces; zero for a new object.
func (d *Distributor) baseVersion(key string, w WriteOptions) int64 {
	if w.ExpectedVersion != nil {
		return *w.ExpectedVersion
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.records.live[key].Version
}

// storeObject creates the object, or updates it if it is still at o.Version. If the reply
// is lost, it finds out whether the write succeeded: it reads back the change ID, or
// retries and resolves the conflict that a second write of the same version causes.
func (d *Distributor) storeObject(ctx context.Context, o platform.Object, changeID string) (version int64, err error) {
	deadline := d.opts.Clock.Now().Add(d.opts.WriteTimeout)
	uncertain := false
	for {
		stored, writeErr := d.writeOnce(ctx, o)
		switch platform.ReasonOf(writeErr) {
		case "":
			return stored.Version, nil
		case platform.Conflict, platform.Exists, platform.NotFound:
			return d.resolveConflict(ctx, o, changeID, uncertain, deadline)
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
			return 0, platformUnavailable(writeErr, uncertain)
		}
		d.sleep(ctx, writeRetryDelay)
	}
}

// platformUnavailable returns the failure for a write that did not succeed in time. If
// uncertain is set, a reply was lost and the write may have been stored.
func platformUnavailable(cause error, uncertain bool) error {
	if uncertain {
		return failure.Wrap(cause, failure.ResultUnknown, "the platform stays away, so whether the change was stored is not known; read the object back before you try again")
	}
	return failure.Wrap(cause, failure.PlatformUnavailable, "the platform stays away; the change was not stored")
}

func (d *Distributor) writeOnce(ctx context.Context, o platform.Object) (platform.Object, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	if o.Version == 0 {
		return d.opts.Store.Create(callCtx, o)
	}
	return d.opts.Store.Update(callCtx, o)
}

// readBack looks for a change whose reply was lost, in the cache of received changes and
// on the platform.
func (d *Distributor) readBack(ctx context.Context, name, changeID string) (version int64, found bool) {
	if version, ok := d.versionOfChange(changeID); ok {
		return version, true
	}
	current, err := d.readRecord(ctx, name)
	if err == nil && current.ChangeID == changeID {
		return current.Version, true
	}
	return 0, false
}

func (d *Distributor) versionOfChange(changeID string) (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes.versionOf(changeID)
}

func (d *Distributor) readRecord(ctx context.Context, name string) (catalog.Record, error) {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	o, err := d.opts.Store.Get(callCtx, platform.ConfigCollection, name)
	if err != nil {
		return catalog.Record{}, err
	}
	record, ok := decodeRecord(o)
	if !ok {
		record = catalog.Record{Version: o.Version}
	}
	return record, nil
}

// resolveConflict reads the change that replaced the object at o.Version. After a lost
// reply that may be the change with changeID itself, which then succeeded. A read that
// shows o.Version or a lower version is stale and is retried.
func (d *Distributor) resolveConflict(ctx context.Context, o platform.Object, changeID string, uncertain bool, deadline time.Time) (version int64, err error) {
	for {
		if seen, ok := d.versionOfChange(changeID); ok {
			return seen, nil
		}
		current, getErr := d.readRecord(ctx, o.Name)
		deleted := platform.ReasonOf(getErr) == platform.NotFound && o.Version != 0
		differs := getErr == nil && current.Version != o.Version
		switch {
		case differs && current.ChangeID == changeID:
			return current.Version, nil
		case differs && !uncertain && current.Version > o.Version:
			return 0, conflictFailure(o, current)
		case deleted && !uncertain:
			return 0, failure.New(failure.Conflict, o.Name+" was deleted by another change").WithOutcome(failure.NotRun)
		}
		if !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return 0, d.unresolvedFailure(o, current, differs, uncertain)
		}
		d.sleep(ctx, writeRetryDelay)
	}
}

// unresolvedFailure returns the failure for a conflict that was not resolved in time. After
// a lost reply the result is unknown, even if another change is now stored: this change
// may have been stored before it.
func (d *Distributor) unresolvedFailure(o platform.Object, current catalog.Record, differs, uncertain bool) error {
	if uncertain {
		return failure.New(failure.ResultUnknown, "the reply was lost, and "+o.Name+" was changed again since; read it before you try again")
	}
	if differs {
		return conflictFailure(o, current)
	}
	return failure.New(failure.Conflict, o.Name+" is not at version "+fmt.Sprint(o.Version)+", and the other change could not be read").WithOutcome(failure.NotRun)
}

func conflictFailure(o platform.Object, current catalog.Record) error {
	by := current.ChangedBy
	if by == "" {
		by = "an unnamed operator"
	}
	message := fmt.Sprintf("%s was expected at version %d, but %s changed it at version %d (change %s)", o.Name, o.Version, by, current.Version, current.ChangeID)
	return failure.New(failure.Conflict, message).WithOutcome(failure.NotRun)
}
