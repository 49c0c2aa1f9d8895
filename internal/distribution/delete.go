package distribution

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/platform"
)

// Delete removes an object that no other object refers to, then waits until the live
// members report the deletion. Failures are those of Apply, and NotFound.
func (d *Distributor) Delete(ctx context.Context, kind catalog.Kind, name string, w WriteOptions) (ApplyResult, error) {
	if !d.Ready() {
		return ApplyResult{}, notReady()
	}
	key := catalog.Record{Kind: kind, Name: name}.Key()
	base := d.baseVersion(key, w)
	if base == 0 {
		return ApplyResult{}, notFound(kind, name)
	}
	if err := checkUnused(d.Current(), kind, name); err != nil {
		return ApplyResult{}, err
	}
	version, err := d.deleteObject(ctx, platform.Object{Collection: platform.ConfigCollection, Name: key, Version: base})
	if err != nil {
		return ApplyResult{}, err
	}
	d.update("delete", func(r *records) bool {
		return r.remove(Tombstone{Kind: kind, Name: name, Version: version})
	})
	return d.awaitInForce(ctx, name, version), nil
}

// deleteObject deletes an object if it is still at o.Version. It returns a platform
// version at which the object no longer existed.
func (d *Distributor) deleteObject(ctx context.Context, o platform.Object) (version int64, err error) {
	deadline := d.opts.Clock.Now().Add(d.opts.WriteTimeout)
	uncertain := false
	for {
		deleteErr := d.deleteOnce(ctx, o)
		switch platform.ReasonOf(deleteErr) {
		case "":
			return d.awaitDeletedVersion(ctx, o, deadline)
		case platform.NotFound:
			if uncertain {
				return d.awaitDeletedVersion(ctx, o, deadline)
			}
			return 0, failure.New(failure.NotFound, o.Name+" was deleted already").WithOutcome(failure.NotRun)
		case platform.Conflict:
			return d.resolveConflict(ctx, o, "", uncertain, deadline)
		case platform.RateLimited, platform.Unavailable:
		default:
			uncertain = true
		}
		if !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return 0, platformUnavailable(deleteErr, uncertain)
		}
		d.sleep(ctx, writeRetryDelay)
	}
}

func (d *Distributor) deleteOnce(ctx context.Context, o platform.Object) error {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	return d.opts.Store.Delete(callCtx, o.Collection, o.Name, o.Version)
}

// awaitDeletedVersion polls until it knows a platform version at which the object no
// longer existed. The platform's response to a delete carries no version.
func (d *Distributor) awaitDeletedVersion(ctx context.Context, o platform.Object, deadline time.Time) (int64, error) {
	for {
		if version, ok := d.readDeletedVersion(ctx, o); ok {
			return version, nil
		}
		if !d.opts.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return 0, failure.New(failure.ResultUnknown, o.Name+" was deleted, but the platform stays away, so whether it is gone everywhere is not known").WithOutcome(failure.Completed)
		}
		d.sleep(ctx, writeRetryDelay)
	}
}

func (d *Distributor) readDeletedVersion(ctx context.Context, o platform.Object) (int64, bool) {
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	listed, err := d.opts.Store.List(callCtx, o.Collection, o.Name)
	if err != nil || listed.Version <= o.Version {
		return 0, false
	}
	item, present := lo.Find(listed.Items, func(x platform.Object) bool { return x.Name == o.Name })
	switch {
	case !present:
		return listed.Version, true
	case item.Version > o.Version:
		// The object was created again later, so the deletion has a lower version.
		return item.Version - 1, true
	default:
		return 0, false
	}
}
