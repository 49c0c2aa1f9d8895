package platformstandin

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/primrosewell/primrosewell/internal/platform"
)

// inProcessStore implements platform.Store without a network, subject to the same faults.
type inProcessStore struct{ s *Server }

var _ platform.Store = inProcessStore{}

// writeResult is the outcome of a write; reason is empty on success.
type writeResult struct {
	object platform.Object
	reason platform.Reason
}

// Get implements platform.Store.
func (p inProcessStore) Get(ctx context.Context, collection, name string) (platform.Object, error) {
	c := call{op: opGet, key: collection + "/" + name}
	if err := p.s.admit(ctx, c); err != nil {
		return platform.Object{}, err
	}
	o, ok := p.s.history.get(collection, name, p.s.readVersion())
	if !ok {
		return platform.Object{}, c.newError(platform.NotFound, nil)
	}
	return o, nil
}

// List implements platform.Store.
func (p inProcessStore) List(ctx context.Context, collection, prefix string) (platform.List, error) {
	if err := p.s.admit(ctx, call{op: opList, key: collection + "/" + prefix}); err != nil {
		return platform.List{}, err
	}
	return p.s.history.list(collection, prefix, p.s.readVersion()), nil
}

// Create implements platform.Store.
func (p inProcessStore) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	c := call{op: opCreate, key: o.Collection + "/" + o.Name, write: true}
	return p.s.write(ctx, c, len(o.Data), func(now time.Time) (platform.Object, platform.Reason) { return p.s.history.create(o, now) })
}

// Update implements platform.Store.
func (p inProcessStore) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	c := call{op: opUpdate, key: o.Collection + "/" + o.Name, write: true}
	return p.s.write(ctx, c, len(o.Data), func(now time.Time) (platform.Object, platform.Reason) { return p.s.history.update(o, now) })
}

// Delete implements platform.Store.
func (p inProcessStore) Delete(ctx context.Context, collection, name string, version int64) error {
	c := call{op: opDelete, key: collection + "/" + name, write: true}
	_, err := p.s.write(ctx, c, 0, func(now time.Time) (platform.Object, platform.Reason) {
		return platform.Object{}, p.s.history.remove(collection, name, version, now)
	})
	return err
}

// Watch implements platform.Store.
func (p inProcessStore) Watch(ctx context.Context, collection string, version int64) (platform.Watch, error) {
	c := call{op: opWatch, key: collection}
	if err := p.s.admit(ctx, c); err != nil {
		return nil, err
	}
	if _, _, _, ok := p.s.history.next(collection, version); !ok {
		return nil, c.newError(platform.TooOld, nil)
	}
	return p.s.newWatch(collection, version), nil
}

// VMs implements platform.Store.
func (p inProcessStore) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := p.s.admit(ctx, call{op: opVMs, key: opVMs}); err != nil {
		return nil, err
	}
	return p.s.vms.list(p.s.options.Clock.Now()), nil
}

// call identifies one call in errors and counters.
type call struct {
	op    string
	key   string
	write bool
}

// newError returns an error for the call. Reads are never uncertain: they are unavailable instead.
func (c call) newError(reason platform.Reason, cause error) *platform.Error {
	if !c.write && reason == platform.Uncertain {
		reason = platform.Unavailable
	}
	return &platform.Error{Reason: reason, Op: c.op, Key: c.key, Cause: cause}
}

// admit counts a call and applies the outage, the rate limit and, to reads only, the delay.
func (s *Server) admit(ctx context.Context, c call) error {
	if ctx.Err() != nil {
		return c.newError(platform.Unavailable, ctx.Err())
	}
	s.stats.count(c.op)
	if reason, err := s.faults.awaitOutageEnd(ctx); reason != "" {
		return c.newError(reason, err)
	}
	if wait := s.faults.retryAfter(c.write); wait > 0 {
		s.stats.count(statRateLimited)
		e := c.newError(platform.RateLimited, nil)
		e.RetryAfter = wait
		return e
	}
	if delay := s.delay(); delay > 0 && !c.write {
		select {
		case <-ctx.Done():
			return c.newError(platform.Unavailable, ctx.Err())
		case <-s.options.Clock.After(delay):
		}
	}
	return nil
}

// write runs apply, after the delay if one is set; a delayed write takes effect even if ctx
// has ended by then.
func (s *Server) write(ctx context.Context, c call, size int, apply func(time.Time) (platform.Object, platform.Reason)) (platform.Object, error) {
	if size > platform.MaxObjectBytes {
		return platform.Object{}, c.newError(platform.Invalid, oops.Errorf("%d bytes exceed the limit of %d", size, platform.MaxObjectBytes))
	}
	if err := s.admit(ctx, c); err != nil {
		return platform.Object{}, err
	}
	var result writeResult
	if delay := s.delay(); delay > 0 {
		done := make(chan writeResult, 1)
		delayElapsed := s.options.Clock.After(delay)
		go func() {
			<-delayElapsed
			o, reason := apply(s.options.Clock.Now())
			done <- writeResult{o, reason}
		}()
		select {
		case <-ctx.Done():
			return platform.Object{}, c.newError(platform.Uncertain, ctx.Err())
		case result = <-done:
		}
	} else {
		result.object, result.reason = apply(s.options.Clock.Now())
	}
	if s.faults.loseReply() {
		s.stats.count(statLostReplies)
		return platform.Object{}, c.newError(platform.Uncertain, oops.Errorf("reply lost"))
	}
	if result.reason != "" {
		return platform.Object{}, c.newError(result.reason, nil)
	}
	return result.object, nil
}

func (s *Server) delay() time.Duration {
	return time.Duration(s.faults.get().DelayMS) * time.Millisecond
}

// readVersion returns the version that reads see under the current faults.
func (s *Server) readVersion() int64 {
	f := s.faults.get()
	var cutoff time.Time
	if f.StaleMS > 0 {
		cutoff = s.options.Clock.Now().Add(-time.Duration(f.StaleMS) * time.Millisecond)
	}
	return s.history.staleVersion(f.StaleVersions, cutoff)
}
